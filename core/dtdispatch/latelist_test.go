package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
	f := newStreams(t, names...)
	f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
	f.run(time.Second, names...)
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(4*time.Second, names...)
	f.names = []string{"r3"}
	f.begin(20)
	f.run(300*time.Millisecond, names...)
	f.names = names
	f.restart(t, "r1")
	f.takeUpAt("r1") // It fails if one goes on at another version.
}
