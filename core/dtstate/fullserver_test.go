package dtstate_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

var knownRedFlag = flag.Bool("known.red", false, "also play what is listed in KNOWN-RED.txt")

// TestServerWithoutRoomIsTakenForCrashed guards against sound requests that are refused, and a sound server that is taken for down:
// it has no room for another connection and drops the probes that follow a cut answer, and has completed another request since.
func TestServerWithoutRoomIsTakenForCrashed(t *testing.T) {
	if !*knownRedFlag {
		t.Skip("listed in KNOWN-RED.txt")
	}
	const digest = 7
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 1, 1, 1, now)
	s.Step(dtstate.TimerFired{}, now)
	s.Step(dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 1}}, now)
	s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Digest: digest, Deadline: now.Add(time.Minute)}, now)
	s.Step(dtstate.RequestArrived{Request: "sound", Account: "a", Group: "g-0", Digest: digest + 1, Deadline: now.Add(time.Minute)}, now)
	g.Expect(s.Owner.Slots).To(HaveLen(2))
	probes := probesIn(s.Step(dtstate.AttemptEnded{Request: "q", Attempt: 1, Outcome: dtstate.OutcomeCut}, now))
	for i := range 20 {
		if probes > 0 {
			s.Step(dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeDropped}, now)
		}
		if i == 8 {
			s.Step(dtstate.AttemptEnded{Request: "sound", Attempt: 1, Outcome: dtstate.OutcomeCompleted}, now)
		}
		now = now.Add(50 * time.Millisecond)
		probes = probesIn(s.Step(dtstate.TimerFired{}, now))
	}
	g.Expect(s.Gossip.CrashedServers[digest]).To(BeEmpty())
	g.Expect(s.Fleet.Servers["s-0"].Owned.Down).To(BeFalse())
}
