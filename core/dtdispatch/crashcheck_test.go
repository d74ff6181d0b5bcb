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
			effects, logged := r.effects, []dtdispatch.LogRecord(nil)
			for _, checked := range tc.checked {
				checks := effectsOf[dtdispatch.CheckServer](effects)
				r.Expect(checks).To(HaveLen(1))
				r.Expect(checks[0].StatusPath).To(Equal(tc.statusPath))
				checked.Server = checks[0].Server
				for _, record := range effectsOf[dtdispatch.LogRecord](r.step(checked)) {
					if record.Event == "crash_suspect" {
						logged = append(logged, record)
					}
				}
				effects = r.advance(300 * time.Millisecond)
			}
			r.Expect(r.state.Crashes.Count(digest)).To(Equal(tc.crashes))
			r.Expect(r.state.Crashes.Suspects).To(BeEmpty())
			r.Expect(logged).To(HaveLen(1))
			r.Expect(logged[0].Detail).NotTo(BeEmpty())
		})
	}
}

// TestServerThatCrashesWhileItIsCheckedIsTakenForAlive guards against a crash that is not counted: the server has answered
// the check that follows a lost connection, and ends then.
func TestServerThatCrashesWhileItIsCheckedIsTakenForAlive(t *testing.T) {
	r := newAskingRouter(t, 1, "/status")
	first, second := r.sendRequest("/live/x"), r.sendRequest("/live/x")
	digest := r.state.Requests[second].Digest
	r.loseStream(first, dtdispatch.ProgressEvents)
	r.now = r.now.Add(time.Millisecond)
	r.loseStream(second, dtdispatch.ProgressEvents)
	r.Expect(effectsOf[dtdispatch.CheckServer](r.effects)).To(BeEmpty(), "while it is being checked")
	r.step(dtdispatch.ServerChecked{Server: "s0", Connected: true, Answered: true})
	r.Expect(effectsOf[dtdispatch.CheckServer](r.advance(300 * time.Millisecond))).To(HaveLen(1))
	r.step(dtdispatch.ServerChecked{Server: "s0", Refused: true})
	r.Expect(r.state.Crashes.Count(digest)).To(Equal(1))
}

// TestServerThatDropsManyConnectionsIsAskedForEach guards against status requests without end to a server in trouble.
func TestServerThatDropsManyConnectionsIsAskedForEach(t *testing.T) {
	const count, most = 60, 5 // Four a second, and the first.
	for name, tc := range map[string]struct {
		checked  dtdispatch.ServerChecked
		interval time.Duration // Between two losses.
		most     int
	}{
		"it has crashed":                {dtdispatch.ServerChecked{Refused: true}, 0, 1},
		"it lives":                      {dtdispatch.ServerChecked{Connected: true, Answered: true}, 0, 1},
		"it lives, within a second":     {dtdispatch.ServerChecked{Connected: true, Answered: true}, 16 * time.Millisecond, most},
		"it has no room, in one second": {dtdispatch.ServerChecked{Connected: true, Lost: true}, 16 * time.Millisecond, most},
	} {
		t.Run(name, func(t *testing.T) {
			r := newAskingRouter(t, 1, "/status")
			var numbers []dtdispatch.RequestNumber
			for range count {
				numbers = append(numbers, r.sendRequest("/single/x"))
			}
			asked := 0
			var checks []dtdispatch.CheckServer
			for _, n := range numbers {
				r.loseStream(n, dtdispatch.ProgressNone)
				checks = append(checks, effectsOf[dtdispatch.CheckServer](r.effects)...)
				if tc.interval > 0 {
					r.now = r.now.Add(tc.interval)
					checks = append(checks, effectsOf[dtdispatch.CheckServer](r.step(dtdispatch.TimerFired{}))...)
					asked += r.answerChecks(checks, tc.checked)
					checks = nil
				}
			}
			asked += r.answerChecks(checks, tc.checked)
			r.Expect(asked).To(BeNumerically("<=", tc.most))
			r.Expect(asked).To(BeNumerically(">", 0))
			r.advance(time.Second)
			r.Expect(r.state.Crashes.Checks).To(HaveLen(len(r.state.Crashes.Suspects)))
		})
	}
}

// answerChecks applies a result to checks and returns how many of them ask for a status.
func (r *router) answerChecks(checks []dtdispatch.CheckServer, checked dtdispatch.ServerChecked) int {
	asked := 0
	for _, check := range checks {
		if check.StatusPath != "" {
			asked++
			checked.Server = check.Server
			r.step(checked)
		}
	}
	return asked
}

// TestKeptConnectionEndsACut guards against a router that takes itself for connected again: a server has answered on a
// connection that was open before, while no new one can be opened. A check that no router has made shows nothing either.
func TestKeptConnectionEndsACut(t *testing.T) {
	r := newAskingRouter(t, 3, "/status")
	n := r.sendRequest("/live/x")
	id := r.onlySend().Server
	r.loseStream(n, dtdispatch.ProgressEvents)
	reach := r.state.Reach["a"]
	openedAt := reach.OpenedAt
	r.now = r.now.Add(10 * time.Millisecond)
	r.step(dtdispatch.ServerChecked{Server: id, Connected: true, Answered: true})
	r.Expect(reach.OpenedAt).To(Equal(openedAt))
	r.Expect(reach.Failed).To(BeEmpty())
	r.state.Tunnels.Suspected[id] = true
	r.step(dtdispatch.ServerChecked{Server: id})
	r.Expect(reach.Failed).To(BeEmpty())
}

// TestServerIsTakenForCrashedAfterAPause guards against crashes of sound servers: the router stood still while it checked one,
// and the time for the check had passed before it could connect.
func TestServerIsTakenForCrashedAfterAPause(t *testing.T) {
	for pause, crashes := range map[time.Duration]int{500 * time.Millisecond: 1, 3 * time.Second: 0} {
		r := newAskingRouter(t, 1, "/status")
		n := r.sendRequest("/live/x")
		digest := r.state.Requests[n].Digest
		r.loseStream(n, dtdispatch.ProgressEvents)
		r.now = r.now.Add(pause)
		r.step(dtdispatch.ServerChecked{Server: "s0"})
		r.Expect(r.state.Crashes.Count(digest)).To(Equal(crashes), pause.String())
	}
}

// TestLinkThatResetsIsTakenForCrashes guards against sound prompt parts that are blocked: a link of this router accepts and
// resets all connections, so that several servers drop their checks. Other routers reach them.
func TestLinkThatResetsIsTakenForCrashes(t *testing.T) {
	for name, tc := range map[string]struct {
		checked dtdispatch.ServerChecked // By way of another router.
		crashes int
	}{
		"another router has an answer": {dtdispatch.ServerChecked{Connected: true, Answered: true, Via: "r2"}, 0},
		"it is dropped there, too":     {dtdispatch.ServerChecked{Connected: true, Lost: true, Via: "r2"}, 1},
		"no router could ask":          {dtdispatch.ServerChecked{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, 2, "r1", "r2", "r3")
			r := n.routers["r1"]
			service := r.state.Config.Services["a"]
			service.StatusPath = "/status"
			r.state.Config.Services["a"] = service
			var checks []dtdispatch.CheckServer
			digests, seen := []uint64(nil), map[dtdispatch.ServerID]bool{}
			for len(seen) < 2 {
				number := r.sendRequest("/live/x")
				send := r.onlySend()
				r.step(dtdispatch.ResponseStarted{Number: number, Attempt: 1, ConnectedAt: r.now})
				if seen[send.Server] {
					r.endAttempt(number, 1, dtdispatch.OutcomeCompleted)
					continue
				}
				seen[send.Server] = true
				digests = append(digests, r.state.Requests[number].Digest)
			}
			for number := range r.state.Requests {
				r.loseStream(number, dtdispatch.ProgressEvents)
				checks = append(checks, effectsOf[dtdispatch.CheckServer](r.effects)...)
			}
			for _, check := range checks {
				r.step(dtdispatch.ServerChecked{Server: check.Server, Connected: true, Lost: true})
			}
			again := effectsOf[dtdispatch.CheckServer](r.advance(300 * time.Millisecond))
			r.Expect(again).To(HaveLen(2))
			tunneled := effectsOf[dtdispatch.CheckServer](r.step(dtdispatch.ServerChecked{Server: again[0].Server, Connected: true, Lost: true}))
			r.Expect(tunneled).To(HaveLen(1))
			r.Expect(tunneled[0].Via).NotTo(BeEmpty())
			tc.checked.Server = again[0].Server
			r.step(tc.checked)
			crashes := 0
			for _, digest := range digests {
				crashes += r.state.Crashes.Count(digest)
			}
			r.Expect(crashes).To(Equal(tc.crashes))
		})
	}
}
