package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

func hasExit(effects []dtstate.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(dtstate.Exit); ok {
			return true
		}
	}
	return false
}

// A refusal sent during the graceful shutdown must be stored before the router exits. In a
// fault run the shutdown ended while callers were still connected, so refusals were lost.
func TestShutdownWaitsForRefusalsToBeStored(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	g.Expect(hasExit(s.Step(dtstate.StopRequested{}, now))).To(BeFalse())
	effects := s.Step(dtstate.RequestArrived{Request: "late", Account: "a", Group: "g-0", Deadline: now.Add(time.Second)}, now)
	g.Expect(findRefusal(effects).Reason).To(Equal(dtstate.ReasonStopping))
	g.Expect(hasExit(s.Step(dtstate.IntakeClosed{}, now))).To(BeFalse())
	var put *dtstate.PlatformCall
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range s.Step(dtstate.TimerFired{}, now) {
			if c, ok := e.(dtstate.PlatformCall); ok && c.Value.Refusals != nil {
				put = &c
			}
		}
		if put != nil {
			break
		}
	}
	g.Expect(put).NotTo(BeNil())
	g.Expect(put.Value.Refusals.Pages[0].Items[0].Request).To(BeEquivalentTo("late"))
	g.Expect(hasExit(s.Step(dtstate.PlatformCallCompleted{CallID: put.CallID, Status: dtstate.PlatformOK, Revision: 1}, now))).To(BeTrue())
}

// A request that still waits when the time of a graceful shutdown is over must be refused by the reducer, so
// that the refusal is numbered and stored, and the router must not wait for it any longer.
func TestRequestsThatWaitAtTheEndOfAShutdownAreRefused(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	chat := dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Chat: 1, Deadline: now.Add(time.Minute)}
	order := chat
	order.Order = &dtstate.OrderKey{Key: "k", CreatedAt: now}
	for name, test := range map[string]struct {
		arrived dtstate.RequestArrived
		then    func(s *dtstate.State)
		ran     dtstate.Execution
	}{
		"waiting for a slot":  {chat, func(*dtstate.State) {}, dtstate.NotExecuted},
		"waiting for a claim": {order, func(*dtstate.State) {}, dtstate.NotExecuted},
		"cut at its server": {chat, func(s *dtstate.State) {
			s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.SlotGrant{Request: "q", Attempt: 1, Server: "s-0"}}, now)
			s.Step(dtstate.AttemptEnded{Request: "q", Attempt: 1, Outcome: dtstate.OutcomeCut}, now)
		}, dtstate.ExecutionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFleetState(1, 3, 4, 1, now)
			s.Step(test.arrived, now)
			test.then(s)
			s.Step(dtstate.StopRequested{}, now)
			g.Expect(s.Entry.Requests).To(HaveKey(dtstate.RequestID("q")))
			refusal := findRefusal(s.Step(dtstate.DrainTimedOut{}, now))
			g.Expect(refusal).To(HaveField("Reason", dtstate.ReasonStopping))
			g.Expect(refusal).To(HaveField("Ran", test.ran))
			g.Expect(refusal).To(HaveField("Number", BeEquivalentTo(1)))
			g.Expect(s.Entry.Requests).To(BeEmpty())
			g.Expect(s.Ledger.Unstored()).To(BeEquivalentTo(1))
		})
	}
}

// A request that runs at a server may end after the time of a graceful shutdown, but is not sent again.
func TestRequestThatRunsAtTheEndOfAShutdownIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	s.Entry.RetryBudget = 1
	s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Chat: 1, Deadline: now.Add(time.Minute)}, now)
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.SlotGrant{Request: "q", Attempt: 1, Server: "s-0"}}, now)
	s.Step(dtstate.StopRequested{}, now)
	s.Step(dtstate.DrainTimedOut{}, now)
	g.Expect(s.Entry.Requests).To(HaveKey(dtstate.RequestID("q")))
	refusal := findRefusal(s.Step(dtstate.AttemptEnded{Request: "q", Attempt: 1, Outcome: dtstate.OutcomeOverloaded}, now))
	g.Expect(refusal).To(HaveField("Reason", dtstate.ReasonStopping))
	g.Expect(refusal).To(HaveField("Ran", dtstate.NotExecuted))
}
