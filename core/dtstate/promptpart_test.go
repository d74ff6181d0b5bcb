package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// TestAnsweredPartIsNotBlamed guards against refusing all requests with a message that many share,
// such as a system prompt, since they were waiting on servers that another message crashed.
func TestAnsweredPartIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	const part = 5
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(3, 9, 12, 1, now)
	arrive := func(id dtstate.RequestID) []dtstate.Effect {
		return s.Step(dtstate.RequestArrived{
			Request: id, Account: "a", Group: "g-0", Chat: 7, Digest: dtstate.HashString(string(id)), PromptParts: []uint64{part},
			Class: dtstate.ClassInteractive, Work: 10, Deadline: now.Add(10 * time.Second),
		}, now)
	}
	refused := func(effects []dtstate.Effect) bool {
		for _, e := range effects {
			if refuse, ok := e.(dtstate.Refuse); ok {
				return refuse.Refusal.Reason == dtstate.ReasonPoison
			}
		}
		return false
	}
	arrive("r-0-0.1001")
	s.Step(dtstate.FirstByte{Request: "r-0-0.1001", Attempt: s.Entry.Requests["r-0-0.1001"].Attempt}, now)
	var crashes []dtstate.Announcement
	for _, server := range []dtstate.ServerID{"s-0", "s-1", "s-2"} {
		crashes = append(crashes, dtstate.Announcement{Crash: &dtstate.CrashRecord{Digest: part, Server: server, AtMs: uint64(now.UnixMilli())}})
	}
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.Gossip{Announcements: crashes}}, now)
	now = now.Add(5 * time.Second)
	g.Expect(refused(arrive("r-0-0.1002"))).To(BeFalse(), "answered a moment ago")
	now = now.Add(10 * time.Second)
	g.Expect(refused(arrive("r-0-0.1003"))).To(BeTrue(), "no answer since the crashes")
}
