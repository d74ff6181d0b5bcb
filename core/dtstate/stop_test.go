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
