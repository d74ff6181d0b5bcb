package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestTimerOfAFleetWhoseEntriesHaveLapsed guards against a loop that spins: a fleet whose entries in the store have lapsed
// is listed as a small one, and the time of its next collection of loads was never moved again.
func TestTimerOfAFleetWhoseEntriesHaveLapsed(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 48)
	r := f.routers[names[0]]
	listed := f.routersListed()
	listed.Routers = listed.Routers[:8]
	r.now = r.now.Add(time.Minute)
	r.step(listed)
	for range 3 {
		timers := effectsOf[dtdispatch.SetTimer](r.step(dtdispatch.TimerFired{}))
		g.Expect(timers).To(HaveLen(1))
		g.Expect(timers[0].At).To(BeTemporally(">", r.now), "a timer in the past would make the loop spin")
		r.now = timers[0].At
	}
}
