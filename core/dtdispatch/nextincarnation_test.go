package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestLossOfTheNextIncarnationIsTakenForACrash guards against sound requests that are blocked: a server has crashed and is back
// under its ID, which a check shows, and the process that has answered it has dropped another connection.
func TestLossOfTheNextIncarnationIsTakenForACrash(t *testing.T) {
	r := newAskingRouter(t, 1, "/status")
	n := r.sendRequest("/live/x")
	crashing := r.state.Requests[n].Digest
	r.loseStream(n, dtdispatch.ProgressEvents)
	list := testServers(1)
	list[0].Start++
	r.now = r.now.Add(10 * time.Millisecond)
	r.listServers(2, list...)
	n = r.sendRequest("/live/x")
	sound := r.state.Requests[n].Digest
	r.loseStream(n, dtdispatch.ProgressNone) // As by a server without room for another connection.
	r.step(dtdispatch.ServerChecked{Server: "s0", Connected: true, Replaced: true})
	r.Expect(r.state.Crashes.Count(crashing)).To(Equal(1))
	r.Expect(r.state.Crashes.Count(sound)).To(Equal(0))
}
