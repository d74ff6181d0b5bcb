package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestStreamsGoOnBesideARouterThatIsGone guards against refusals for as long as a router that has been killed may yet be one that is cut
// off and begins streams at the former version.
func TestStreamsGoOnBesideARouterThatIsGone(t *testing.T) {
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for name, lose := range map[string]func(f *streams){
		"killed":                   func(f *streams) { f.down["r3"] = true },
		"cut off":                  func(f *streams) { f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true} },
		"cut off from routers":     func(f *streams) { f.isolated = map[string]bool{"r3": true} },
		"cut off from the store":   func(f *streams) { f.rejected = map[string]bool{"r3": true} },
		"no router is out of step": func(*streams) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, names...)
			f.areOpen = true
			f.begin(1)
			f.takeUpAt(names...)
			f.names = others
			lose(f)
			f.run(time.Second, names...)
			f.setVersions("v1", "v2", "v2", "v2")
			taken, wentOn := 0, 0
			for range 40 {
				f.begun = nil
				f.begin(12)
				f.run(600*time.Millisecond, names...)
				n := f.takeUpAt(others...)
				taken, wentOn = taken+len(f.begun), wentOn+n
			}
			t.Logf("%d of %d go on, %d writes to the record", wentOn, taken, f.recordWrites)
			f.Expect(wentOn).To(BeNumerically(">", taken*9/10))
		})
	}
}

// TestRouterCutOffWithAnotherCountsAsCurrent guards against streams that go on at another version than that at which a router has begun
// them that is still cut off, at one that was cut off together with it and is back: while their lists were the same, both were old.
func TestRouterCutOffWithAnotherCountsAsCurrent(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.begin(1)
	f.takeUpAt(names...) // They have read the record before.
	f.begun = nil
	f.rejected, f.sides = map[string]bool{"r1": true, "r3": true}, map[string]int{"r2": 1}
	f.run(time.Second, names...)
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(5*time.Second, names...)
	f.rejected, f.sides = map[string]bool{"r3": true}, map[string]int{"r3": 1}
	f.run(4*time.Second, names...)
	f.names = []string{"r3"}
	f.begin(20)
	f.run(300*time.Millisecond, names...)
	f.takeUpAt("r1") // It fails if one goes on at another version.
	f.run(2*time.Second, names...)
}

// TestRouterStartedBesideOneThatIsCutOffMixes guards against streams that go on at another version than that at which a router has begun
// them that is cut off, at one that has started since and has never heard of it.
func TestRouterStartedBesideOneThatIsCutOffMixes(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	for name, isBack := range map[string]bool{"cut off": false, "back, and heard for the first time": true} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, names...)
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
			f.run(time.Second, names...)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(4*time.Second, names...)
			f.names = []string{"r3"}
			f.begin(20)
			f.run(300*time.Millisecond, names...)
			f.names = names
			if isBack {
				f.restart(t, "r1", "r2") // Nobody tells r1 of the list of r3.
				f.run(time.Second, names...)
				f.isolated, f.rejected = nil, nil
				f.run(600*time.Millisecond, names...)
			} else {
				f.restart(t, "r1")
			}
			f.takeUpAt("r1") // It fails if one goes on at another version.
		})
	}
}

// TestStreamsGoOnBesideADeadRouterWhileTheStoreIsAway guards against streams of the only version that are refused for as long as the store
// is away, since a router that is dead is still listed, and may have another list for all that the others know.
func TestStreamsGoOnBesideADeadRouterWhileTheStoreIsAway(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.areOpen = true
	f.begin(3)
	f.takeUpAt(names...) // They have read the record before.
	f.store, f.begun, f.names = nil, nil, []string{"r1", "r2"}
	f.run(time.Second, names...)
	f.begin(20)
	f.down["r3"] = true
	f.run(3*time.Second, names...)
	goOn := 0
	f.onSend = func(name string, send *dtdispatch.SendRequest) {
		f.checkVersion(name, send)
		if f.routers[name].state.Requests[send.Number].ResumeAfter != "" {
			goOn++
		}
	}
	const rounds = 20
	for range rounds {
		f.takeUp()
		f.run(300*time.Millisecond, names...)
		f.begun = nil
		f.begin(20)
		f.run(time.Second, names...)
	}
	f.Expect(goOn).To(Equal(20 * rounds))
}

// TestRouterCutOffForLongCountsAsGone guards against streams that go on at another version than that at which a router has begun them that
// has been cut off for so long that the others have forgotten it.
func TestRouterCutOffForLongCountsAsGone(t *testing.T) {
	leads := []time.Duration{20 * time.Second}
	if *knownRedFlag {
		leads = append(leads, 32*time.Second, time.Minute)
	}
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for _, lead := range leads {
		t.Run(lead.String(), func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(1)
			f.takeUpAt(names...) // They have read the record before.
			f.begun = nil
			f.isolated, f.rejected, f.unlisted = map[string]bool{"r3": true}, map[string]bool{"r3": true}, map[string]bool{"r3": true}
			f.run(lead, names...)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(4*time.Second, names...)
			f.names = []string{"r3"}
			f.begin(20)
			f.run(300*time.Millisecond, names...)
			f.takeUpAt(others...) // It fails if one goes on at another version.
		})
	}
}

// TestStreamsOfALargeFleetBegunAtARouterThatIsCutOffAreMixed guards against the same in a fleet in which a router is linked to few others:
// those without a link to the one that is cut off do not know that its list is old.
func TestStreamsOfALargeFleetBegunAtARouterThatIsCutOffAreMixed(t *testing.T) {
	takers := []string{"r002", "r044"} // Linked to it.
	if *knownRedFlag {
		takers = append(takers, "r005", "r010", "r045", "r046")
	}
	const cutOff = "r047"
	large, names := newLargeFleet(t, 48)
	f := &streams{fleet: large, WithT: NewWithT(t), names: names, waits: callerTimeout, held: map[string]begunStream{}}
	f.onSend = f.checkVersion
	f.onForward = func(name string, n dtdispatch.RequestNumber) { f.endUnlessOpen(name, n) }
	f.setVersions("", "", "", "")
	f.run(6*time.Second, names...)
	f.begin(len(names))
	f.run(time.Second, names...)
	f.takeUpAt(names...) // They have read the record before.
	f.run(time.Second, names...)
	f.begun, f.names = nil, []string{cutOff}
	f.isolated, f.rejected = map[string]bool{cutOff: true}, map[string]bool{cutOff: true}
	f.run(time.Second, names...)
	f.setVersions("", "v2", "v2", "v2")
	f.run(4*time.Second, names...)
	f.begin(20)
	f.Expect(f.begun).To(HaveLen(20))
	f.run(300*time.Millisecond, names...)
	for _, taker := range takers {
		f.takeUpAt(taker) // It fails if one goes on at another version.
	}
}

// TestStandstillsForgetListsThatWereLate guards against streams that go on at another version since a router has stood still a few times:
// each counted as a time in which the lists of all others were late, of which only some are remembered.
func TestStandstillsForgetListsThatWereLate(t *testing.T) {
	names := []string{}
	for i := range 30 {
		names = append(names, fmt.Sprintf("r%02d", i))
	}
	f := newStreams(t, names...)
	others, first := names[1:], f.routers["r00"].now
	for range 4 {
		f.down["r00"] = true
		f.run(2*time.Second, others...)
		f.down["r00"] = false
		f.routers["r00"].now = f.routers["r01"].now
		f.run(2*time.Second, names...)
	}
	f.Expect(f.routers["r00"].state.StreamVersions.ListLags).To(ContainElement(HaveField("From", BeTemporally("<=", first))))
}

// TestRouterCutOffWithServersOfAReplacedVersionIsMixed guards against the same where all servers of the former version are gone from the
// list, since they are cut off together with the router, which begins streams there.
func TestRouterCutOffWithServersOfAReplacedVersionIsMixed(t *testing.T) {
	waits := []time.Duration{4 * time.Second, 12 * time.Second}
	if *knownRedFlag {
		waits = append(waits, 16*time.Second)
	}
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for _, wait := range waits {
		t.Run(wait.String(), func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(1)
			f.takeUpAt(names...) // They have read the record before.
			f.begun = nil
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
			f.run(time.Second, names...)
			f.setVersions("v2", "v2", "v2")
			f.run(wait, names...)
			f.names = []string{"r3"}
			f.begin(20)
			f.run(300*time.Millisecond, names...)
			f.takeUpAt(others...) // It fails if one goes on at another version.
		})
	}
}

// TestManyStreamsGoOnBesideARouterThatIsGone guards against refusals beside a dead router once more streams are under way than routers may
// list that need no exception otherwise.
func TestManyStreamsGoOnBesideARouterThatIsGone(t *testing.T) {
	rates := []int{60} // In 0.6 s.
	if *knownRedFlag {
		rates = append(rates, 240)
	}
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for _, rate := range rates {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			f := newStreams(t, names...)
			f.areOpen = true
			f.begin(1)
			f.takeUpAt(names...)
			f.names, f.down["r3"] = others, true
			f.run(time.Second, names...)
			f.setVersions("v1", "v2", "v2", "v2")
			taken, wentOn := 0, 0
			for range 20 {
				f.begun = nil
				f.begin(rate)
				f.run(600*time.Millisecond, names...)
				taken, wentOn = taken+len(f.begun), wentOn+f.takeUpAt(others...)
			}
			t.Logf("%d of %d go on", wentOn, taken)
			f.Expect(wentOn).To(BeNumerically(">", taken*9/10))
		})
	}
}
