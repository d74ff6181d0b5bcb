package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestStatusRequestsOverloadAColdServer guards against cold servers that get more requests in a second than they tolerate: each
// response that ends with its connection has its server asked for its status, which is a request like any other at a server whose
// status needs a slot.
func TestStatusRequestsOverloadAColdServer(t *testing.T) {
	r := newAskingRouter(t, 1, "/healthz")
	service := r.state.Config.Services["a"]
	service.NamesStart = false
	r.state.Config.Services["a"] = service
	cold := testServers(1)
	cold[0].Start, cold[0].Seq, cold[0].ColdFor = 2, 2, 10*time.Second
	r.listServers(2, cold...)
	requests, statuses := 0, 0
	for range 200 { // One second.
		n := r.sendRequest("/single/x")
		if len(effectsOf[dtdispatch.SendRequest](r.effects)) == 1 {
			requests++
			effects := r.step(dtdispatch.ResponseClosed{Number: n, Attempt: 1, ConnectedAt: r.now})
			statuses += len(effectsOf[dtdispatch.CheckServer](effects))
			r.step(dtdispatch.ServerChecked{Server: "s0", Number: n, Connected: true, Answered: true})
			r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
		}
		r.now = r.now.Add(5 * time.Millisecond)
		r.step(dtdispatch.TimerFired{})
	}
	r.Expect(requests).To(BeNumerically(">", 0))
	r.Expect(float64((requests+statuses)*r.state.RouterCount())).To(BeNumerically("<=", service.ColdRate*bounds.ColdFactor+bounds.ColdTolerance), "%d requests and %d for the status at each of %d routers", requests, statuses, r.state.RouterCount())
}
