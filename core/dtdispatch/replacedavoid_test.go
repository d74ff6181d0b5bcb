package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestServerThatIsBackUnderItsIDIsAvoided guards against a listed server that gets no requests, since its former incarnation
// has crashed: it has just answered the check of that.
func TestServerThatIsBackUnderItsIDIsAvoided(t *testing.T) {
	r := newAskingRouter(t, 1, "/status")
	n := r.sendRequest("/live/x")
	r.loseStream(n, dtdispatch.ProgressEvents)
	list := testServers(1)
	list[0].Start++
	r.now = r.now.Add(10 * time.Millisecond)
	r.listServers(2, list...)
	r.step(dtdispatch.ServerChecked{Server: "s0", Connected: true, Replaced: true})
	if h := r.state.Health["s0"]; h != nil {
		r.Expect(h.AvoidUntil.After(r.now)).To(BeFalse(), "avoided")
		r.Expect(h.DownAt.IsZero()).To(BeTrue(), "taken for down since it is listed")
	}
}
