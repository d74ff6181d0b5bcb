package dtrelay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestStartOfALeavingServerIsIgnored guards against streams of two versions: a process that is not the listed incarnation says so with
// a status other than 200, as one that is leaving may, and gets the request. The check of the end of a response heeds such a start.
func TestStartOfALeavingServerIsIgnored(t *testing.T) {
	p := newTunnelPlay(t, false, true, "")
	server := &namingServer{status: statusOf(503, "s1", 8)}
	p.reducer.address, p.reducer.status = serveStatus(t, server.serve), "/status"
	p.reducer.setVia("")
	p.Expect(p.call("a").result.Outcome).To(Equal(dtdispatch.OutcomeRestarted))
	server.mu.Lock()
	defer server.mu.Unlock()
	p.Expect(server.requests).To(BeZero())
}
