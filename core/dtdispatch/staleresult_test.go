package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestFormerIncarnationIsAskedForAfterARestart guards against a crash that is not counted: the next incarnation of a server is listed before
// the loss of a connection to the former one is read, and a check that asks for the next one is answered. It must show nothing then,
// or that the former one has gone.
func TestFormerIncarnationIsAskedForAfterARestart(t *testing.T) {
	r := newAskingRouter(t, 1, "/status")
	n := r.sendRequest("/stream/x")
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
	r.now = r.now.Add(10 * time.Millisecond)
	list := testServers(1)
	list[0].Start = r.now.UnixMilli()
	r.listServers(2, list...)
	r.loseStream(n, dtdispatch.ProgressEvents)
	checks := effectsOf[dtdispatch.CheckServer](r.effects)
	r.Expect(checks).To(HaveLen(1))
	r.Expect(checks[0].Start).To(Equal(int64(1)), "of the incarnation that the request was sent to")
}

// TestRequestOfEitherIncarnationIsBlamed guards against a sound request that is blocked: the connection may have led to the next
// incarnation already, which lives.
func TestRequestOfEitherIncarnationIsBlamed(t *testing.T) {
	for name, tc := range map[string]struct {
		checked dtdispatch.ServerChecked
		crashes int
	}{
		"the next one answers": {dtdispatch.ServerChecked{Connected: true, Replaced: true}, 0},
		"both have gone":       {dtdispatch.ServerChecked{Refused: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newAskingRouter(t, 1, "/status")
			n := r.sendRequest("/stream/x")
			digest := r.state.Requests[n].Digest
			r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
			r.now = r.now.Add(10 * time.Millisecond)
			list := testServers(1)
			list[0].Start = r.now.UnixMilli()
			r.listServers(2, list...)
			r.Expect(r.state.Requests[n].ServerStart).NotTo(Equal(r.state.Requests[n].SentStart))
			r.loseStream(n, dtdispatch.ProgressEvents)
			tc.checked.Server = "s0"
			r.step(tc.checked)
			r.Expect(r.state.Crashes.Count(digest)).To(Equal(tc.crashes))
			r.Expect(r.state.Crashes.Suspects).To(BeEmpty())
		})
	}
}
