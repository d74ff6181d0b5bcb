package dtrelay

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestConnReturnedAfterCloseStaysOpen guards against a connection that an exchange returns while the
// relay is being closed and that nothing closes then.
func TestConnReturnedAfterCloseStaysOpen(t *testing.T) {
	g := NewWithT(t)
	p := newIdlePool()
	p.close()
	server, client := net.Pipe()
	p.put("10.0.0.1:80", &serverConn{Conn: client, idleTimeout: time.Minute}, 4, time.Now())
	_ = server.SetReadDeadline(time.Now().Add(time.Second))
	_, err := server.Read(make([]byte, 1))
	g.Expect(err).To(MatchError("EOF"))
}
