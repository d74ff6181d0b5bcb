package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestResponseOfAServerThatIsGoneLooksComplete covers the end of a response that ends with its connection: it is complete only
// if the process of its server has answered since. The kernel accepts connections for a process that is killed or stopped,
// a proxy does for one that is gone, and after a pause of the router the end may be old.
func TestResponseOfAServerThatIsGoneLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		isPaused       bool
		checked        dtdispatch.ServerChecked
		want           dtdispatch.Effect
		connectedAfter time.Duration // Since the request was sent; negative if it was sent on a connection that had been idle.
	}{
		"the server answers":                   {false, dtdispatch.ServerChecked{Connected: true, Answered: true}, dtdispatch.CompleteResponse{Number: 1}, -time.Second},
		"a connection is accepted":             {false, dtdispatch.ServerChecked{Connected: true}, dtdispatch.EndAttempt{Number: 1}, 50 * time.Millisecond},
		"the server does not accept in time":   {false, dtdispatch.ServerChecked{}, dtdispatch.EndAttempt{Number: 1}, 0},
		"the server ends before it answers":    {false, dtdispatch.ServerChecked{Connected: true, Lost: true}, dtdispatch.EndAttempt{Number: 1, ServerGone: true}, 0},
		"another server answers":               {false, dtdispatch.ServerChecked{Connected: true, Replaced: true}, dtdispatch.EndAttempt{Number: 1, ServerGone: true}, 0},
		"another router has reached it":        {false, dtdispatch.ServerChecked{Connected: true, Answered: true, Via: "r2"}, dtdispatch.EndAttempt{Number: 1}, 0},
		"the server is gone":                   {false, dtdispatch.ServerChecked{Refused: true}, dtdispatch.EndAttempt{Number: 1, ServerGone: true}, 0},
		"the router has just had a long pause": {true, dtdispatch.ServerChecked{Connected: true, Answered: true}, dtdispatch.EndAttempt{Number: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 2)
			r.sendRequest("/stream/x")
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt})
			if tc.isPaused {
				r.step(dtdispatch.Paused{Gap: 3 * time.Second})
			}
			sentAt := r.now
			r.now = r.now.Add(time.Second)
			effects := r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt, ConnectedAt: sentAt.Add(tc.connectedAfter)})
			if !tc.isPaused {
				r.Expect(effects).To(ContainElement(dtdispatch.CheckServer{
					Server: send.Server, Start: send.Start, Number: send.Number, Address: send.Address, StatusPath: "/status", KnownSince: sentAt.Add(max(tc.connectedAfter, 0)),
					Deadline: r.now.Add(send.StreamIdleTimeout), MaxIdleConns: send.MaxIdleConns,
				}))
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
				effects = r.step(dtdispatch.ServerChecked{Server: check.Server, Number: check.Number, Connected: true, Answered: true})
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

// TestServerIsWaitedForBeyondItsTolerance guards against a caller who waits for the end of a response longer than for any event
// of it, or for the rest of a body, as its server does not answer.
func TestServerIsWaitedForBeyondItsTolerance(t *testing.T) {
	const elapsed = 100 * time.Millisecond
	for path, deadlineOf := range map[string]func(*router, dtdispatch.SendRequest) time.Time{
		"/stream/x": func(r *router, send dtdispatch.SendRequest) time.Time { return r.now.Add(send.StreamIdleTimeout) },
		"/live/x":   func(_ *router, send dtdispatch.SendRequest) time.Time { return send.Deadline },
		"/read/x":   func(_ *router, send dtdispatch.SendRequest) time.Time { return send.HeaderDeadline.Add(elapsed) },
		"/once/x":   func(_ *router, send dtdispatch.SendRequest) time.Time { return send.Deadline },
	} {
		t.Run(path, func(t *testing.T) {
			r := newRouter(t, 1)
			r.sendRequest(path)
			send := r.onlySend()
			r.now = r.now.Add(elapsed)
			checks := effectsOf[dtdispatch.CheckServer](r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt}))
			r.Expect(checks).To(HaveLen(1))
			r.Expect(checks[0].Deadline).To(Equal(deadlineOf(r, send)))
		})
	}
}

// TestEndIsLoggedAsWhatItWas guards against a cut that can't be told from a whole response in the log.
func TestEndIsLoggedAsWhatItWas(t *testing.T) {
	for outcome, checked := range map[string]dtdispatch.ServerChecked{
		"proved":     {Connected: true, Answered: true},
		"unanswered": {Connected: true},
		"lost":       {Connected: true, Lost: true},
		"refused":    {Refused: true},
		"replaced":   {Connected: true, Replaced: true},
	} {
		t.Run(outcome, func(t *testing.T) {
			r := newRouter(t, 1)
			r.sendRequest("/stream/x")
			send := r.onlySend()
			r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt, LastEvent: "9"})
			r.now = r.now.Add(20 * time.Millisecond)
			checked.Server, checked.Number, checked.Detail = send.Server, send.Number, "why"
			records := logRecords(r.step(checked), "response_end")
			r.Expect(records).To(HaveLen(1))
			r.Expect([]any{records[0].Outcome, records[0].Detail, records[0].LastEvent, records[0].Waited}).To(Equal([]any{outcome, "why", "9", 20 * time.Millisecond}))
		})
	}
}

// TestResponsesOfServersThatNameNoStartAreRefused guards against servers whose status does not name their incarnation, and whose
// plain responses would all be refused. Their streams are cut, as such a server may have been restarted under its ID.
func TestResponsesOfServersThatNameNoStartAreRefused(t *testing.T) {
	for path, isComplete := range map[string]bool{"/once/x": true, "/read/x": true, "/stream/x": false, "/live/x": false} {
		t.Run(path, func(t *testing.T) {
			r := newRouter(t, 1)
			r.sendRequest(path)
			send := r.onlySend()
			r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt})
			effects := r.step(dtdispatch.ServerChecked{Server: send.Server, Number: send.Number, Connected: true, Named: true})
			r.Expect(effectsOf[dtdispatch.CompleteResponse](effects)).To(HaveLen(map[bool]int{true: 1}[isComplete]))
			r.Expect(effectsOf[dtdispatch.EndAttempt](effects)).To(HaveLen(map[bool]int{false: 1}[isComplete]))
			r.Expect(logRecords(effects, "response_end")[0].Outcome).To(Equal("named"))
		})
	}
}

// TestRestartRightAfterARequestIsTakenForItsServer guards against a stream that looks complete as its server was killed and restarted
// under its ID. The list names the later start, and for the version of the stream that counts as the one that has sent it, if the
// connection was opened within the time that an entry may take, or since the server was last taken for down.
func TestRestartRightAfterARequestIsTakenForItsServer(t *testing.T) {
	for name, connectedAfter := range map[string]time.Duration{"connected before": -50 * time.Millisecond, "connected since": 50 * time.Millisecond} {
		for _, path := range []string{"/stream/x", "/live/x", "/once/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				r := newRouter(t, 1)
				r.advance(time.Second)
				r.listServers(2, testServers(1)...)
				r.advance(time.Second)
				r.sendRequest(path)
				send := r.onlySend()
				r.now = r.now.Add(100 * time.Millisecond)
				list := testServers(1)
				list[0].Start++
				connectedAt := r.now.Add(connectedAfter)
				r.listServers(3, list...)
				r.now = r.now.Add(100 * time.Millisecond)
				r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, ConnectedAt: connectedAt})
				effects := r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt, ConnectedAt: connectedAt})
				r.Expect(effectsOf[dtdispatch.EndAttempt](effects)).To(HaveLen(1))
				r.Expect(effectsOf[dtdispatch.CheckServer](effects)).To(BeEmpty())
			})
		}
	}
}

// TestServerThatWasRestartedAndHasLeftIsAsked guards against the same where the entry of the later process is gone again: the process
// that is asked must be the one that the request was sent to.
func TestServerThatWasRestartedAndHasLeftIsAsked(t *testing.T) {
	r := newRouter(t, 1)
	r.sendRequest("/stream/x")
	send := r.onlySend()
	r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, ConnectedAt: r.now.Add(50 * time.Millisecond)})
	r.now = r.now.Add(100 * time.Millisecond)
	list := testServers(1)
	list[0].Start++
	r.listServers(2, list...)
	r.Expect(r.state.Requests[send.Number].ServerStart).To(Equal(list[0].Start))
	r.listServers(3)
	checks := effectsOf[dtdispatch.CheckServer](r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt}))
	r.Expect(checks).To(HaveLen(1))
	r.Expect(checks[0].Start).To(Equal(send.Start))
}
