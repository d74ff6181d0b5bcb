package dtrelay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFullServerIsTakenForGone guards against whole responses of a busy server that are cut: it answers a request for its health
// like any other while it is full, without its ID, and any other server declines the request with 421.
func TestFullServerIsTakenForGone(t *testing.T) {
	p := newStatusPlay(t, serveStatus(t, answering("HTTP/1.1 503 S\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n")))
	p.check.KnownSince = time.Now()
	p.keep(p.check.KnownSince.Add(-time.Second))
	checked := p.run()
	p.Expect(checked.Answered || checked.Named).To(BeTrue(), "%+v", checked)
}
