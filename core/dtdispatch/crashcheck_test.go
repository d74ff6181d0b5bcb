package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// newAskingRouter returns a router whose servers state what they do at a status path, or not.
func newAskingRouter(t *testing.T, servers int, statusPath string) *router {
	t.Helper()
	r := newRouter(t, servers)
	service := r.state.Config.Services["a"]
	service.StatusPath = statusPath
	r.state.Config.Services["a"] = service
	return r
}

// loseStream has a server drop the connection of a stream at some progress.
func (r *router) loseStream(n dtdispatch.RequestNumber, progress dtdispatch.Progress) {
	r.endAttempt(n, r.state.Requests[n].Attempt, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.Progress = progress })
}

// TestServerThatDropsItsCheckIsTakenForAlive guards against requests that crash server after server: the kernel accepts the
// check for a process that has just ended, or a proxy does, and drops it. A sound server without room for another connection
// does so, too, and one that is stopped or full is silent.
func TestServerThatDropsItsCheckIsTakenForAlive(t *testing.T) {
	if !*knownRedFlag {
		t.Skip("listed in KNOWN-RED.txt")
	}
	lost := dtdispatch.ServerChecked{Connected: true, Lost: true}
	answered := dtdispatch.ServerChecked{Connected: true, Answered: true}
	accepted := dtdispatch.ServerChecked{Connected: true}
	refused := dtdispatch.ServerChecked{Refused: true}
	const header, events, none = dtdispatch.ProgressHeader, dtdispatch.ProgressEvents, dtdispatch.ProgressNone
	for name, tc := range map[string]struct {
		statusPath string
		progress   dtdispatch.Progress
		isServing  bool // Another request is in progress at the server.
		checked    []dtdispatch.ServerChecked
		crashes    int
	}{
		"it refuses":                             {"/status", none, false, []dtdispatch.ServerChecked{refused}, 1},
		"it drops the check, then refuses":       {"/status", none, false, []dtdispatch.ServerChecked{lost, refused}, 1},
		"it drops the check for good":            {"/status", header, false, []dtdispatch.ServerChecked{lost, lost}, 1},
		"it drops the check after events":        {"/status", events, false, []dtdispatch.ServerChecked{lost, lost}, 1},
		"it drops the check, another is back":    {"/status", events, false, []dtdispatch.ServerChecked{lost, {Connected: true, Replaced: true}}, 1},
		"another is back":                        {"/status", events, false, []dtdispatch.ServerChecked{{Connected: true, Replaced: true}}, 1},
		"it has no room and serves others":       {"/status", header, true, []dtdispatch.ServerChecked{lost, lost}, 0},
		"it has no room and took no request":     {"/status", none, false, []dtdispatch.ServerChecked{lost, lost}, 0},
		"it drops the check, then answers":       {"/status", events, false, []dtdispatch.ServerChecked{lost, answered}, 0},
		"it answers":                             {"/status", events, false, []dtdispatch.ServerChecked{answered}, 0},
		"it is stopped or full":                  {"/status", events, false, []dtdispatch.ServerChecked{accepted}, 0},
		"it is not asked and accepts":            {"", events, false, []dtdispatch.ServerChecked{accepted, accepted}, 0},
		"it is not asked, accepts, then refuses": {"", events, false, []dtdispatch.ServerChecked{accepted, refused}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newAskingRouter(t, 1, tc.statusPath)
			n := r.sendRequest("/live/x")
			r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
			if tc.isServing {
				r.sendRequest("/live/x")
			}
			r.now = r.now.Add(time.Second)
			digest := r.state.Requests[n].Digest
			r.loseStream(n, tc.progress)
			effects := r.effects
			for _, checked := range tc.checked {
				checks := effectsOf[dtdispatch.CheckServer](effects)
				r.Expect(checks).To(HaveLen(1))
				r.Expect(checks[0].StatusPath).To(Equal(tc.statusPath))
				checked.Server = checks[0].Server
				r.step(checked)
				effects = r.advance(300 * time.Millisecond)
			}
			r.Expect(r.state.Crashes.Count(digest)).To(Equal(tc.crashes))
			r.Expect(r.state.Crashes.Suspects).To(BeEmpty())
		})
	}
}
