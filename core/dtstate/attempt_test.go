package dtstate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// runAttempt sends a request through a router whose only server ends the first attempt with an outcome, and
// returns the effects of that end.
func runAttempt(s *dtstate.State, n int, outcome dtstate.Outcome, now time.Time) []dtstate.Effect {
	id := dtstate.RequestID(fmt.Sprint("q", n))
	s.Step(dtstate.RequestArrived{Request: id, Account: "a", Group: "g-0", Chat: uint64(n), Deadline: now.Add(time.Minute)}, now)
	return s.Step(dtstate.AttemptEnded{Request: id, Attempt: 1, Outcome: outcome}, now)
}

// A router that restarts must not retry more than the ratio of the requests that it has answered since, or
// restarts in a row add up to any number of retries.
func TestRestartedRouterRetriesOnlyWhatItHasEarned(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	for range 3 {
		s := newFleetState(1, 1, 1, 1, now)
		s.Step(dtstate.TimerFired{}, now)
		s.Step(dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 1}}, now)
		g.Expect(findRefusal(runAttempt(s, 0, dtstate.OutcomeOverloaded, now)).Reason).To(Equal(dtstate.ReasonRetryBudget))
		const answersPerRetry = 11 // Ten times 0.1 is a little less than one.
		for i := range answersPerRetry {
			runAttempt(s, 1+i, dtstate.OutcomeCompleted, now)
		}
		g.Expect(findRefusal(runAttempt(s, 100, dtstate.OutcomeOverloaded, now)).Reason).To(Equal(dtstate.ReasonNone))
		g.Expect(findRefusal(runAttempt(s, 101, dtstate.OutcomeOverloaded, now)).Reason).To(Equal(dtstate.ReasonRetryBudget))
		now = now.Add(time.Second)
	}
}

// An owner that has restarted does not know which requests have crashed servers, so that a third server crashes
// unless the entry router tells it.
func TestOwnerIsToldOfKnownCrashes(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	const digest = 7
	crash := dtstate.CrashRecord{Digest: digest, Server: "s-0", AtMs: uint64(now.UnixMilli())}
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.Gossip{Announcements: []dtstate.Announcement{{Crash: &crash}}}}, now)
	effects := s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Digest: digest, Deadline: now.Add(time.Minute)}, now)
	req, _ := slotRequestIn(effects)
	g.Expect(req).NotTo(BeNil())
	g.Expect(req.Crashes).To(BeEquivalentTo(1))
}
