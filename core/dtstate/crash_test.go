package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// TestCrashIsNotCountedWhileTheServerStillAccepts guards against requests that crash server after server: the kernel, or a
// proxy, accepts the probe that follows a cut answer for a process that has just ended, and drops it.
func TestCrashIsNotCountedWhileTheServerStillAccepts(t *testing.T) {
	const digest = 7
	answered := dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 1}}
	dropped := dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeDropped}
	for name, tc := range map[string]struct {
		last    *dtstate.ProbeCompleted // Result of the probe that follows a dropped one; nil if each is dropped.
		crashes int
	}{
		"and then refuses":          {&dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeRefused}, 1},
		"and another one is back":   {&dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 2}}, 1},
		"for good":                  {nil, 1},
		"and then answers":          {&answered, 0},
		"and then does not respond": {&dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeUnanswered}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.UnixMilli(1_700_000_000_000)
			s := newFleetState(1, 1, 1, 1, now)
			s.Step(dtstate.TimerFired{}, now)
			s.Step(answered, now)
			s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Digest: digest, Deadline: now.Add(time.Minute)}, now)
			probes := probesIn(s.Step(dtstate.AttemptEnded{Request: "q", Attempt: 1, Outcome: dtstate.OutcomeCut}, now))
			g.Expect(probes).To(Equal(1))
			for range 20 {
				if probes > 0 {
					s.Step(dropped, now)
				}
				probes = 0
				now = now.Add(50 * time.Millisecond)
				probes += probesIn(s.Step(dtstate.TimerFired{}, now))
				if probes > 0 && tc.last != nil {
					s.Step(*tc.last, now)
					break
				}
			}
			g.Expect(s.Gossip.CrashedServers[digest]).To(HaveLen(tc.crashes))
		})
	}
}

// probesIn returns the number of probes over new connections.
func probesIn(effects []dtstate.Effect) int {
	n := 0
	for _, e := range effects {
		if probe, ok := e.(dtstate.Probe); ok && probe.NewConnection {
			n++
		}
	}
	return n
}

// TestProbeOfBeforeACutClearsTheServer guards against a crash that is not counted: the server has answered a probe that was
// sent before it crashed, and the answer comes after the cut.
func TestProbeOfBeforeACutClearsTheServer(t *testing.T) {
	const digest = 7
	answered := dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 1}}
	for name, tc := range map[string]struct {
		last    dtstate.ProbeCompleted
		crashes int
	}{
		"it has crashed": {dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeRefused}, 1},
		"it lives":       {answered, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.UnixMilli(1_700_000_000_000)
			s := newFleetState(1, 1, 1, 1, now)
			s.Step(dtstate.TimerFired{}, now)
			s.Step(answered, now)
			s.Step(dtstate.RequestArrived{Request: "q", Account: "a", Group: "g-0", Digest: digest, Deadline: now.Add(time.Minute)}, now)
			probes := 0
			for i := 0; probes == 0 && i < 40; i++ {
				now = now.Add(50 * time.Millisecond)
				for _, e := range s.Step(dtstate.TimerFired{}, now) {
					if _, ok := e.(dtstate.Probe); ok {
						probes++
					}
				}
			}
			g.Expect(probes).To(Equal(1))
			g.Expect(probesIn(s.Step(dtstate.AttemptEnded{Request: "q", Attempt: 1, Outcome: dtstate.OutcomeCut}, now))).To(Equal(1))
			s.Step(answered, now)
			g.Expect(s.Fleet.Servers["s-0"].Owned.AwaitingVerdict).To(HaveLen(1))
			s.Step(tc.last, now)
			g.Expect(s.Fleet.Servers["s-0"].Owned.AwaitingVerdict).To(BeEmpty())
			g.Expect(s.Gossip.CrashedServers[digest]).To(HaveLen(tc.crashes))
		})
	}
}
