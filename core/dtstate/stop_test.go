package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// hasStopped reports whether effects contain Stopped.
func hasStopped(effects []dtstate.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(dtstate.Stopped); ok {
			return true
		}
	}
	return false
}

// A refusal sent during the shutdown must be stored before the shutdown ends. Found by
// measure SCENARIO=faults: the shutdown ended while callers were still connected.
func TestStopWaitsForRefusalsToBeStored(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 3, 4, 1, now)
	g.Expect(hasStopped(s.Step(dtstate.StopRequested{}, now))).To(BeFalse())
	effects := s.Step(dtstate.RequestArrived{Request: "late", Account: "a", Group: "g-0", Deadline: now.Add(time.Second)}, now)
	g.Expect(findRefusal(effects).Reason).To(Equal(dtstate.ReasonStopping))
	g.Expect(hasStopped(s.Step(dtstate.CallersGone{}, now))).To(BeFalse())
	var put *dtstate.PlatformCall
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range s.Step(dtstate.Woke{}, now) {
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
	g.Expect(hasStopped(s.Step(dtstate.PlatformAnswered{Call: put.Call, Status: dtstate.PlatformOK, Rev: 1}, now))).To(BeTrue())
}
