package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// platformCall returns the get or put among effects and fails if there is none.
func platformCall(g *WithT, effects []dtstate.Effect) dtstate.PlatformCall {
	for _, e := range effects {
		if c, ok := e.(dtstate.PlatformCall); ok && c.Op <= dtstate.PlatformPut {
			return c
		}
	}
	g.Expect(effects).To(ContainElement(BeAssignableToTypeOf(dtstate.PlatformCall{})))
	return dtstate.PlatformCall{}
}

// claimReplies returns the claim replies sent to other routers.
func claimReplies(effects []dtstate.Effect) []*dtstate.ClaimReply {
	var out []*dtstate.ClaimReply
	for _, e := range effects {
		if send, ok := e.(dtstate.SendPeer); ok {
			if m, ok := send.Message.(*dtstate.ClaimReply); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

// newClaimRequest returns a request to acquire the claim on key "k".
func newClaimRequest(entry dtstate.RouterID, id dtstate.RequestID, now time.Time) *dtstate.ClaimRequest {
	return &dtstate.ClaimRequest{EntryRouter: entry, Request: id, Op: dtstate.ClaimAcquire, Account: "a", Key: "k", KeyCreatedAtMs: now.UnixMilli(), BodyHash: 1}
}

// A claim request that arrives twice must wait for the platform write. Found by TestFaults
// with seed 7: the repeated request was answered from a row that was not written yet.
func TestRepeatedClaimIsNotAcquiredBeforeWrite(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	entry := dtstate.RouterID("r-0-1")
	step := func(ev dtstate.Event) []dtstate.Effect {
		now = now.Add(time.Millisecond)
		return append([]dtstate.Effect(nil), s.Step(ev, now)...)
	}
	read := platformCall(g, step(dtstate.MessageReceived{From: entry, Message: newClaimRequest(entry, "first", now)}))
	step(dtstate.MessageReceived{From: entry, Message: newClaimRequest(entry, "first", now)})
	step(dtstate.MessageReceived{From: "r-0-2", Message: newClaimRequest("r-0-2", "second", now)})
	effects := step(dtstate.PlatformCallCompleted{CallID: read.CallID, Status: dtstate.PlatformOK})
	g.Expect(claimReplies(effects)).To(BeEmpty())
	write := platformCall(g, effects)
	g.Expect(write.Op).To(Equal(dtstate.PlatformPut))

	other := dtstate.PlatformValue{Claims: &dtstate.ClaimPage{Rows: []dtstate.ClaimRow{
		{Account: "a", Key: "k", Request: "other", Body: 1, AtMs: uint64(now.UnixMilli()), State: dtstate.OrderClaimed},
	}}}
	reread := platformCall(g, step(dtstate.PlatformCallCompleted{CallID: write.CallID, Status: dtstate.PlatformConflict}))
	replies := claimReplies(step(dtstate.PlatformCallCompleted{CallID: reread.CallID, Status: dtstate.PlatformOK, Revision: 9, Value: other}))
	g.Expect(replies).To(HaveLen(3))
	for _, m := range replies {
		g.Expect(m.Result).To(Equal(dtstate.ClaimFoundRunning))
	}
}

// An order key that is reused with a different body is rejected and the request never
// runs.
func TestKeyReusedWithDifferentBody(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	m := newClaimRequest("r-0-1", "again", now)
	m.BodyHash = 2
	read := platformCall(g, s.Step(dtstate.MessageReceived{From: "r-0-1", Message: m}, now))
	stored := dtstate.PlatformValue{Claims: &dtstate.ClaimPage{Rows: []dtstate.ClaimRow{
		{Account: "a", Key: "k", Request: "first", Body: 1, State: dtstate.OrderDone, Status: 200},
	}}}
	replies := claimReplies(s.Step(dtstate.PlatformCallCompleted{CallID: read.CallID, Status: dtstate.PlatformOK, Revision: 3, Value: stored}, now))
	g.Expect(replies).To(HaveLen(1))
	g.Expect(replies[0].Result).To(Equal(dtstate.ClaimBodyMismatch))
}

// Orders without a key, or with a key older than the order window, are refused without
// running.
func TestOrderKeyTimeIsChecked(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 1, 4, 1, now)
	keysByReason := map[string]dtstate.OrderKey{
		"key_bad":     {},
		"key_expired": {Key: "old", CreatedAt: now.Add(-time.Hour)},
	}
	for want, key := range keysByReason {
		effects := s.Step(dtstate.RequestArrived{Request: dtstate.RequestID(want), Account: "a", Group: "g-0", Order: &key, Deadline: now.Add(time.Second)}, now)
		g.Expect(findRefusal(effects).Reason.String()).To(Equal(want))
	}
}

// findRefusal returns the refusal among effects, or an empty one.
func findRefusal(effects []dtstate.Effect) dtstate.Refusal {
	for _, e := range effects {
		if r, ok := e.(dtstate.Refuse); ok {
			return r.Refusal
		}
	}
	return dtstate.Refusal{}
}
