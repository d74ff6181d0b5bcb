package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestResponseOfAServerThatIsGoneLooksComplete covers the end of a response that ends with its connection: whether it is
// complete depends on whether its server still accepts connections, which says nothing after a pause of the router.
func TestResponseOfAServerThatIsGoneLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		isPaused bool
		checked  dtdispatch.ServerChecked
		want     dtdispatch.Effect
	}{
		"the server lives":                     {false, dtdispatch.ServerChecked{Connected: true}, dtdispatch.CompleteResponse{Number: 1}},
		"the server does not accept in time":   {false, dtdispatch.ServerChecked{}, dtdispatch.CompleteResponse{Number: 1}},
		"the server is gone":                   {false, dtdispatch.ServerChecked{Refused: true}, dtdispatch.EndAttempt{Number: 1, ServerGone: true}},
		"the router has just had a long pause": {true, dtdispatch.ServerChecked{Connected: true}, dtdispatch.EndAttempt{Number: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 2)
			r.sendRequest("/stream/x")
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt})
			if tc.isPaused {
				r.step(dtdispatch.Paused{Gap: 3 * time.Second})
			}
			effects := r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt})
			if !tc.isPaused {
				r.Expect(effects).To(ContainElement(dtdispatch.CheckServer{Server: send.Server, Start: send.Start, Number: send.Number, Address: send.Address}))
				tc.checked.Server, tc.checked.Number = send.Server, send.Number
				effects = r.step(tc.checked)
			}
			r.Expect(effects).To(ContainElement(tc.want))
			r.Expect(r.state.Requests).To(HaveLen(1), "until the relay has ended the attempt")
		})
	}
}

// TestResponseOfAServerThatIsBackLooksComplete covers the end of a response that is read late, as its caller reads slowly: its
// server was killed, and another process accepts connections at its address.
func TestResponseOfAServerThatIsBackLooksComplete(t *testing.T) {
	completed := dtdispatch.Effect(dtdispatch.CompleteResponse{Number: 1})
	ended := dtdispatch.Effect(dtdispatch.EndAttempt{Number: 1})
	for name, tc := range map[string]struct {
		beforeEnd   func(r *router, list []dtdispatch.Server) // list holds the server of the response only.
		beforeCheck func(r *router)
		want        dtdispatch.Effect
	}{
		"the same server": {nil, nil, completed},
		"its entry has been written again": {func(r *router, list []dtdispatch.Server) {
			list[0].Seq++
			r.listServers(3, list...)
		}, nil, completed},
		"under its ID": {func(r *router, list []dtdispatch.Server) {
			list[0].Start++
			r.listServers(3, list...)
		}, nil, ended},
		"under another ID": {func(r *router, list []dtdispatch.Server) {
			list[0].ID = "s9"
			r.listServers(3, list...)
		}, nil, ended},
		"the server has left and still serves": {func(r *router, _ []dtdispatch.Server) { r.listServers(3) }, nil, completed},
		"the router has a pause before the check": {nil, func(r *router) {
			r.now = r.now.Add(3 * time.Second)
			r.step(dtdispatch.Paused{Gap: 3 * time.Second})
		}, ended},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 1)
			r.sendRequest("/stream/x")
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, ConnectedAt: r.now})
			r.advance(time.Second)
			r.listServers(2, testServers(1)...)
			r.advance(time.Second)
			if tc.beforeEnd != nil {
				tc.beforeEnd(r, testServers(1))
			}
			effects := r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt})
			for _, check := range effectsOf[dtdispatch.CheckServer](effects) {
				if tc.beforeCheck != nil {
					tc.beforeCheck(r)
				}
				effects = r.step(dtdispatch.ServerChecked{Server: check.Server, Number: check.Number, Connected: true})
			}
			r.Expect(effects).To(ContainElement(tc.want))
		})
	}
}

// TestSoundServersAreAvoidedAfterAPause guards against sound servers that are avoided after a pause of the router, since
// responses had ended meanwhile that it can't tell from broken ones.
func TestSoundServersAreAvoidedAfterAPause(t *testing.T) {
	r := newRouter(t, 1)
	for range 8 {
		r.sendRequest("/once/x")
	}
	r.now = r.now.Add(3 * time.Second)
	r.step(dtdispatch.Paused{Gap: 3 * time.Second})
	for n := range dtdispatch.RequestNumber(8) {
		ended := effectsOf[dtdispatch.EndAttempt](r.step(dtdispatch.ResponseClosed{Number: n + 1, Attempt: 1}))
		r.Expect(ended).To(Equal([]dtdispatch.EndAttempt{{Number: n + 1}}))
		r.endAttempt(n+1, 1, dtdispatch.OutcomeUnconfirmed)
		r.Expect(r.onlyRefusal().Status).To(Equal(502))
	}
	health := r.state.Health["s0"]
	r.Expect(health.IsAvoided(r.now)).To(BeFalse())
	r.Expect(health.LostAt).To(BeZero())
}
