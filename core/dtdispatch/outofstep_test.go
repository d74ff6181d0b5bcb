package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestRoutersCutOffTogetherConfirmAnOldList guards against streams that go on at another version where most routers have lost the store and
// the rest of the fleet, take the list that they share for the only one in use, and the others have begun streams at a new version.
func TestRoutersCutOffTogetherConfirmAnOldList(t *testing.T) {
	names, cutOff := []string{"r1", "r2", "r3", "r4", "r5"}, []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.begin(1)
	f.takeUpAt(cutOff...) // They have read the record before.
	f.begun, f.names = nil, []string{"r4", "r5"}
	f.rejected = map[string]bool{"r1": true, "r2": true, "r3": true}
	f.sides = map[string]int{"r4": 1, "r5": 1}
	f.run(2*time.Second, names...)
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(1200*time.Millisecond, names...)
	f.begin(20)
	f.run(300*time.Millisecond, names...)
	f.takeUpAt(cutOff...) // It fails if one goes on at another version.
	f.run(2*time.Second, names...)
}

// TestRouterHeardBeforeAChangeConfirmsAnOldList guards against streams that go on at another version at a router that has lost first the
// store and then the other routers: what those have said of their lists before counted for streams that have begun since.
func TestRouterHeardBeforeAChangeConfirmsAnOldList(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	for lead := time.Duration(0); lead <= 500*time.Millisecond; lead += 50 * time.Millisecond { // The timers of the routers differ.
		for wait := 100 * time.Millisecond; wait <= 650*time.Millisecond; wait += 50 * time.Millisecond {
			f := newStreams(t, names...)
			f.begin(1)
			f.takeUpAt("r3") // It has read the record before.
			f.begun, f.names = nil, []string{"r1", "r2"}
			f.rejected = map[string]bool{"r3": true}
			f.run(3*time.Second+lead, names...)
			f.isolated = map[string]bool{"r3": true}
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(wait, names...)
			f.begin(20)
			f.takeUpAt("r3") // It fails if one goes on at another version.
			f.run(time.Second, names...)
		}
	}
}

// TestReleaseTakenBackWhileARouterIsOutOfStep guards against streams that go on at another version at a router that was out of step while
// servers of a new version joined and left again: it lists the servers of before, and took them for those of all the time.
func TestReleaseTakenBackWhileARouterIsOutOfStep(t *testing.T) {
	for name, isCutOff := range map[string]bool{"stands still": false, "cut off": true} {
		for _, wait := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(name+" "+wait.String(), func(t *testing.T) {
				takeBackWhileOutOfStep(t, isCutOff, 900*time.Millisecond, 900*time.Millisecond, wait)
			})
		}
		t.Run(name+" for long", func(t *testing.T) { // Streams that begin long after a change are not listed by their ID.
			takeBackWhileOutOfStep(t, isCutOff, 4500*time.Millisecond, 2200*time.Millisecond, 300*time.Millisecond)
		})
	}
}

// takeBackWhileOutOfStep has streams begin, some time after servers of a new version have joined and before they leave again, while r3
// stands still or is cut off. They are taken up there some time after it is back.
func takeBackWhileOutOfStep(t *testing.T, isCutOff bool, before, after, wait time.Duration) {
	t.Helper()
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	f := newStreams(t, names...)
	f.begin(1)
	f.takeUpAt("r3") // It has read the record before.
	f.begun, f.names = nil, others
	running := others
	if isCutOff {
		running = names
		f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
	}
	f.down["r3"] = !isCutOff
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(before, running...)
	f.begin(20)
	f.run(after, running...)
	f.setVersions("v1", "v1", "v1", "v1")
	f.run(600*time.Millisecond, running...)
	f.isolated, f.rejected, f.down["r3"] = nil, nil, false
	f.routers["r3"].now = f.routers["r1"].now
	f.run(wait, names...)
	goOn := f.takeUpAt("r3") // It fails if one goes on at another version.
	if wait >= time.Second {
		f.Expect(goOn).To(BeNumerically(">", 0), "those that began at the version that is left")
	}
	f.run(2*time.Second, names...)
}

// TestStreamsBegunAtARouterThatIsCutOffAreMixed guards against streams that go on at another version than that at which a router has begun
// them that is cut off from the store and the others: it has known one version only and serves on.
func TestStreamsBegunAtARouterThatIsCutOffAreMixed(t *testing.T) {
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for _, lead := range []time.Duration{0, time.Second, 4 * time.Second} {
		t.Run(lead.String(), func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(1)
			f.takeUpAt(names...) // They have read the record before.
			f.begun = nil
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
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

// TestGapsOfALongLifeAreKept guards against memory, and a record, that grow with each time in which a router has not followed the list.
func TestGapsOfALongLifeAreKept(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	for range 400 {
		f.down["r3"] = true
		f.run(time.Second, "r1", "r2")
		f.down["r3"] = false
		f.routers["r3"].now = f.routers["r1"].now
		f.run(2*time.Second, names...)
	}
	r := f.routers["r3"]
	f.Expect(r.state.StreamVersions.ByService["a"].Gaps).To(HaveEach(HaveField("To", BeTemporally(">", r.now.Add(-11*time.Minute)))))
}

// TestRecordReadBeforeTheEndOfAGapFillsIt guards against streams that go on at another version since a read of the record that began before
// the versions changed ended after the list was followed again: it was taken for all that has happened meanwhile.
func TestRecordReadBeforeTheEndOfAGapFillsIt(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1")
	read := func(mixes ...dtdispatch.VersionMix) {
		mixes = append([]dtdispatch.VersionMix{{At: time.UnixMilli(1), Weights: map[string]int{"v1": 1}}}, mixes...)
		r.step(dtdispatch.VersionRecordRead{Record: dtdispatch.VersionRecord{
			Clock: dtdispatch.RecordClock{Writer: "r1"}, Histories: map[string]dtdispatch.VersionHistory{"a": {Mixes: mixes}},
		}})
	}
	r.sendRequest("/stream/x", resuming("first"))
	read()
	r.advance(50 * time.Millisecond)
	r.sendRequest("/stream/x", resuming("second"))
	r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(HaveLen(1))
	lostAt := r.now
	r.advance(9 * time.Second)
	for range 10 {
		r.step(dtdispatch.ServersListed{Servers: serversOfVersions("v1", "v1"), Revision: 4})
		r.advance(100 * time.Millisecond)
	}
	read()
	r.step(dtdispatch.ServersListed{Servers: serversOfVersions("v1", "v1"), Revision: 4, Unchanged: true})
	r.sendRequest("/stream/x", resuming("third"), func(ev *dtdispatch.RequestArrived) {
		ev.CallerTimeout = callerTimeout - r.now.Sub(lostAt.Add(5500*time.Millisecond))
	})
	read(
		dtdispatch.VersionMix{At: lostAt.Add(time.Second), Weights: map[string]int{"v2": 1}},
		dtdispatch.VersionMix{At: lostAt.Add(8500 * time.Millisecond), Weights: map[string]int{"v1": 1}},
	)
	r.onlyRefusal()
}

// TestRouterThatHasJustStartedHasNotHeardTheOneThatIsCutOff guards against the same at a router that has started since the other was cut
// off: it has never heard from it.
func TestRouterThatHasJustStartedHasNotHeardTheOneThatIsCutOff(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	for name, play := range map[string]struct {
		isListedBefore bool
		started        []string
	}{
		"servers join before the start":       {isListedBefore: true, started: []string{"r2"}},
		"servers join after the start":        {started: []string{"r2"}},
		"all others have started, none tells": {started: []string{"r1", "r2"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(1)
			f.takeUpAt(names...)
			f.begun = nil
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
			join := func() { f.setVersions("v1", "v2", "v2", "v2"); f.run(time.Second, names...) }
			if play.isListedBefore {
				join()
			}
			f.restart(t, play.started...)
			if !play.isListedBefore {
				join()
			}
			f.run(4*time.Second, names...)
			f.names = []string{"r3"}
			f.begin(20)
			f.run(300*time.Millisecond, names...)
			f.takeUpAt("r2") // It fails if one goes on at another version.
		})
	}
}

// TestDomainBackInServiceUnnoticedMixesVersions guards against streams that go on at another version at a router that follows the list of
// servers, but not which domains are out of service: it has known one version only, and did not read the record.
func TestDomainBackInServiceUnnoticedMixesVersions(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.operators.outOfService = []string{"d1"}
	f.operators.revision++
	f.run(3*time.Second, names...)
	f.setVersions("v1", "v2", "v1", "v2") // Those of v2 are in d1.
	f.run(3*time.Second, names...)
	f.begin(1)
	f.takeUpAt(names...) // They have read the record before.
	f.begun, f.names = nil, []string{"r1", "r2"}
	f.isolated = map[string]bool{"r3": true}
	f.operators.outOfService = nil
	f.operators.revision++
	f.operators.readRevision["r3"] = f.operators.revision // Its call gets no response.
	f.run(5*time.Second, names...)
	f.begin(40)
	f.Expect(f.begun).To(ContainElement(Satisfy(func(stream begunStream) bool { return stream.version == "v2" })))
	f.run(3*time.Second, names...)
	f.takeUpAt("r3") // It fails if one goes on at another version.
	f.run(time.Second, names...)
}

// TestLostRecordDoesNotCloseAGap guards against streams that go on at another version at a router that was out of step while that version
// came and went, since the store has lost its data: an empty record is not one without a change.
func TestLostRecordDoesNotCloseAGap(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.begin(1)
	f.takeUpAt("r3") // It has read the record before.
	f.begun, f.names = nil, []string{"r1", "r2"}
	f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(4500*time.Millisecond, names...)
	f.begin(20)
	f.run(2200*time.Millisecond, names...)
	f.setVersions("v1", "v1", "v1", "v1")
	f.run(600*time.Millisecond, names...)
	f.isolated, f.rejected = nil, nil
	f.record, f.exceptions = nil, map[string]map[string]dtdispatch.StreamException{}
	f.goBack(10)
	f.run(50*time.Millisecond, "r3", "r1", "r2")
	f.takeUpAt("r3") // It fails if one goes on at another version.
	f.run(2*time.Second, names...)
}

// TestRouterThatIsListedAloneConfirmsAnOldList guards against streams that go on at another version at a router that is cut off after the
// entries of the others have lapsed: it took its list for that of all routers.
func TestRouterThatIsListedAloneConfirmsAnOldList(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	f := newStreams(t, names...)
	f.begin(1)
	f.takeUpAt("r3") // It has read the record before.
	f.begun, f.names = nil, []string{"r1", "r2"}
	f.unlisted = map[string]bool{"r1": true, "r2": true}
	f.run(15*time.Second, names...)
	f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
	f.run(2*time.Second, names...)
	f.setVersions("v1", "v2", "v2", "v2")
	f.run(time.Second, names...)
	f.begin(20)
	f.run(300*time.Millisecond, names...)
	f.takeUpAt("r3") // It fails if one goes on at another version.
	f.run(2*time.Second, names...)
}
