package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// nextSlotRequest runs the timers of a state until it sends a slot request, for one second at most.
func nextSlotRequest(s *dtstate.State, now *time.Time) (*dtstate.SlotRequest, dtstate.RouterID) {
	const tick = 10 * time.Millisecond
	for end := now.Add(time.Second); now.Before(end); {
		*now = now.Add(tick)
		if req, to := slotRequestIn(s.Step(dtstate.TimerFired{}, *now)); req != nil {
			return req, to
		}
	}
	return nil, ""
}

// A queued request may be lost with its owner's restart, or with the forwarded request or the grant that a link dropped. In runs of
// the fleet the caller then waited for the whole deadline, although servers were free.
func TestQueuedRequestIsRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	first, owner := slotRequestIn(s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Chat: 1, Deadline: now.Add(10 * time.Second)}, now))
	g.Expect(first).NotTo(BeNil())
	queued := dtstate.MessageReceived{From: owner, Message: &dtstate.SlotQueued{Request: "q", Attempt: first.Attempt}}
	for range 4 {
		s.Step(queued, now)
		req, to := nextSlotRequest(s, &now)
		g.Expect(req).NotTo(BeNil(), "a queued request is requested again")
		g.Expect(to).To(Equal(owner))
		g.Expect(req.Attempt).To(Equal(first.Attempt), "it keeps its place in the queue")
	}
	now = now.Add(500 * time.Millisecond)
	g.Expect(s.Step(dtstate.TimerFired{}, now)).To(ContainElement(dtstate.RecordEvent{Name: "ask_unanswered", Subject: string(owner), Request: "q"}), "it is requested elsewhere")
}

// A repeated request that waits for its home server must not wait there twice, which would take two slots for it.
func TestRepeatedRequestWaitsForItsHomeServerOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 1, 4, 1, now)
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.SlotRequest{EntryRouter: "r-0-1", Request: "other", Attempt: 1, Group: "g-0", RemainingMs: 10_000}}, now)
	og := s.Owner.Groups["g-0"]
	g.Expect(og.Queue.Len()).To(Equal(1))
	req := &dtstate.SlotRequest{EntryRouter: "r-0-1", Request: "q", Attempt: 1, Group: "g-0", RemainingMs: 10_000}
	og.HomeWaiters = []dtstate.HomeWaiter{{SlotRequest: req, Home: "s-0", Until: now.Add(time.Second)}}
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: req}, now)
	g.Expect(og.HomeWaiters).To(HaveLen(1))
	g.Expect(og.Queue.Len()).To(Equal(1))
}
