package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// newStreamsOf returns a fleet with streams whose routers r1 to r4 run the given builds, "" for this one.
func newStreamsOf(t *testing.T, builds ...build) *streams {
	t.Helper()
	var names []string
	byName := map[string]build{}
	for i, b := range builds {
		names = append(names, fmt.Sprint("r", i+1))
		byName[names[i]] = b
	}
	return newStreamsOfBuilds(t, byName, names...)
}

// beginAnywhere has n streams begin at a router that knows no versions.
func (f *streams) beginAnywhere(n int, versions ...string) {
	for range n {
		f.lastID++
		f.begun = append(f.begun, begunStream{id: fmt.Sprint("stream-", f.lastID), version: versions[f.lastID%len(versions)], at: f.routers[f.names[0]].now})
	}
}

// beginAt has n streams begin at the named routers in turn.
func (f *streams) beginAt(n int, names ...string) {
	all := f.names
	f.names = names
	f.begin(n)
	f.names = all
}

// TestStreamsBegunAtARouterThatRecordsNoVersionsAreMixed guards against going on with a stream at the version of its hash that
// has begun at a router of an earlier build, which knows no versions.
func TestStreamsBegunAtARouterThatRecordsNoVersionsAreMixed(t *testing.T) {
	for name, then := range map[string]func(t *testing.T, f *streams){
		"the routers live on":     func(*testing.T, *streams) {},
		"one has just started":    func(t *testing.T, f *streams) { f.restart(t, "r3") },
		"the earlier is replaced": func(t *testing.T, f *streams) { f.builds["r1"] = ""; f.restart(t, "r1") },
		"all are killed":          func(t *testing.T, f *streams) { f.builds["r1"] = ""; f.restart(t, f.names...) },
		"one starts without the store": func(t *testing.T, f *streams) {
			store := f.store
			f.store = nil
			f.restart(t, "r3")
			f.Expect(f.takeUpAt("r2", "r3")).To(BeNumerically("<=", 40))
			f.store = store
			f.run(3*time.Second, f.names...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreamsOf(t, noVersions, "", "")
			f.areOpen = true
			f.setVersions("v1", "v1", "v2", "v2")
			f.run(3*time.Second, f.names...)
			f.beginAnywhere(40, "v1", "v2")
			f.beginAt(40, "r2", "r3")
			f.run(500*time.Millisecond, f.names...)
			then(t, f)
			f.Expect(f.takeUpAt("r2", "r3")).To(Equal(40), "those that began at routers of this build are listed")
		})
	}
}

// TestEarlierBuildStartsBesideThisOne takes an upgrade back: a router that records nothing starts beside others that do.
func TestEarlierBuildStartsBesideThisOne(t *testing.T) {
	f := newStreamsOf(t, "", "", "")
	f.areOpen = true
	f.setVersions("v1", "v1", "v2", "v2")
	f.run(3*time.Second, f.names...)
	f.builds["r1"] = noVersions
	r1 := newRouterAt(t, "r1", "d0", f.routers["r1"].now, f.routers["r1"].now.UnixMilli())
	f.replace("r1", r1)
	f.run(time.Second, f.names...)
	f.beginAnywhere(20, "v1", "v2")
	f.run(500*time.Millisecond, f.names...)
	f.Expect(f.takeUpAt("r2", "r3")).To(BeZero())
	f.run(2*time.Second, f.names...)
	f.begun = nil
	f.beginAnywhere(20, "v1", "v2")
	f.beginAt(20, "r2", "r3")
	f.run(500*time.Millisecond, f.names...)
	f.builds["r1"] = ""
	f.restart(t, f.names...)
	f.Expect(f.takeUpAt("r2", "r3")).To(Equal(20))
}

// TestOneVersionBesideAnEarlierBuild guards against refusals and calls to the store where there is one version only.
func TestOneVersionBesideAnEarlierBuild(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "")
	f.beginAnywhere(20, "v1")
	f.beginAt(20, "r2", "r3")
	f.run(500*time.Millisecond, f.names...)
	f.Expect(f.takeUpAt("r2", "r3")).To(Equal(40))
	f.Expect(f.exceptions).To(BeEmpty())
	f.run(time.Minute, f.names...)
	f.Expect(f.recordWrites).To(BeNumerically("<=", 5), "the time up to which streams may be unrecorded")
}

// TestBuildsThatRecordVersionsStayCertain guards against refusals beside builds that record versions and do not say so.
func TestBuildsThatRecordVersionsStayCertain(t *testing.T) {
	for _, b := range []build{"", noFeatures, noTimes} {
		t.Run(string(b), func(t *testing.T) {
			f := newStreamsOf(t, b, b, "", "")
			f.setVersions("v1", "v1", "v2", "v2")
			f.run(6*time.Second, f.names...)
			f.begin(60)
			f.run(time.Second, f.names...)
			if b != noTimes { // Its record does not tell a router that has just started when versions changed.
				f.restart(t, "r3")
			}
			f.Expect(f.takeUp()).To(Equal(60))
			for _, exceptions := range f.exceptions {
				f.Expect(exceptions).To(BeEmpty(), "no stream needs one")
			}
			f.Expect(f.record.Unrecorded.Until).To(BeZero())
		})
	}
}

// TestReleaseBeforeTheFirstRecordIsUnknown guards against taking the only version listed for that of streams from before the
// first router that records any has started.
func TestReleaseBeforeTheFirstRecordIsUnknown(t *testing.T) {
	for _, start := range []struct{ saysFirst, isNew bool }{{false, true}, {true, true}, {true, false}} {
		f := newStreams(t, "r1", "r2", "r3")
		f.record = nil
		f.beginAnywhere(20, "v2", "v1")
		f.run(200*time.Millisecond, f.names...)
		for _, name := range f.names {
			r := newRouterInDomain(t, name, "d0")
			r.now = f.routers[name].now
			r.state.StartedAt, r.state.Settings.IsFirstStart, r.state.Membership.IsNew = r.now, start.saysFirst, start.isNew
			f.replace(name, r)
		}
		f.run(time.Second, f.names...)
		if start.saysFirst && start.isNew {
			f.begun = nil // There were none.
		}
		f.Expect(f.takeUp()).To(BeZero())
		f.run(4*time.Second, f.names...)
		f.begun = nil
		f.begin(20)
		f.run(time.Second, f.names...)
		f.restart(t, f.names...)
		f.Expect(f.takeUp()).To(Equal(20), "those that began later are known")
	}
}

// TestLargeFleetHearsOfUnrecordedStreams guards against certainty at routers of a large fleet that do not hear of the one
// that records nothing.
func TestLargeFleetHearsOfUnrecordedStreams(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 48)
	var earlier string
	for _, name := range names {
		if len(f.links[name]) < 10 { // Of no delegate.
			earlier = name
		}
	}
	f.builds = map[string]build{earlier: noVersions}
	now := f.routers[earlier].now
	f.replace(earlier, newRouterAt(t, earlier, f.routers[earlier].state.Settings.Domain, now, now.UnixMilli()))
	f.run(10*time.Second, names...)
	g.Expect(f.record.Unrecorded.Until.Sub(now)).To(BeNumerically(">", 20*time.Second))
	hearers := 0
	for _, name := range names {
		if !f.routers[name].state.StreamVersions.Unrecorded.Until.IsZero() {
			hearers++
		}
	}
	g.Expect(hearers).To(BeNumerically("<=", 3), "it is linked to the delegates of its failure domain")
}

// TestRouterThatNamesItsTimeRecordsVersions guards against taking a router that has yet to hear of a change of the list for
// one that records nothing, as of the builds that name their times all do.
func TestRouterThatNamesItsTimeRecordsVersions(t *testing.T) {
	for _, namesTime := range []bool{true, false} {
		r := newRouter(t, 2)
		for range 5 {
			status := &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: 1, RosterHash: 7}
			if namesTime {
				status.SentAt = r.now
			}
			r.step(dtdispatch.PeerMessageReceived{Message: status})
			r.advance(time.Second)
		}
		r.Expect(r.state.StreamVersions.Unrecorded.Until.IsZero()).To(Equal(namesTime))
	}
}

// TestRecordIsLeftToARouterThatRecordsNothing guards against versions that nobody writes to the store, as the router that
// is to do so for all runs a build that knows none.
func TestRecordIsLeftToARouterThatRecordsNothing(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "")
	f.cores = map[string]float64{"r1": 8}
	f.run(10*time.Second, f.names...)
	f.setVersions("v1", "v1", "v2", "v2")
	f.run(3*time.Second, f.names...)
	f.Expect(f.record.Histories).NotTo(BeEmpty())
	for service, history := range f.record.Histories {
		f.Expect(history.Weights()).To(HaveLen(2), service)
	}
}

// TestRecordThatNamesNoClockIsTakenForOneByTheOwn guards against streams of two versions where the record was written by a
// router of an earlier build, which does not name its clock, and whose clock differs.
func TestRecordThatNamesNoClockIsTakenForOneByTheOwn(t *testing.T) {
	for _, ahead := range []time.Duration{-6 * time.Second, 6 * time.Second, 0} {
		t.Run(ahead.String(), func(t *testing.T) {
			f := newStreamsOf(t, noTimes, "", "")
			f.areOpen = true
			f.cores = map[string]float64{"r1": 8}
			f.clocks = clockOffsets{"r1": ahead}
			f.run(10*time.Second, f.names...)
			f.setVersions("v1", "v1", "v1", "v2")
			f.run(20*time.Second, f.names...)
			f.begin(30)
			f.run(time.Second, f.names...)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(1500*time.Millisecond, f.names...)
			f.Expect(f.record.Clock.Writer).To(BeEmpty())
			f.restart(t, f.names...)
			f.takeUpAt("r2", "r3") // It fails if one goes on at another version.
			f.run(15*time.Second, f.names...)
			f.begun = nil
			f.begin(30)
			f.run(3*time.Second, f.names...)
			f.Expect(f.takeUpAt("r2", "r3")).To(Equal(30), "those that began since")
			for _, stream := range f.begun {
				f.Expect(f.routers["r2"].state.StreamVersions.Exceptions).NotTo(HaveKey(stream.id), "none of them is uncertain")
			}
		})
	}
}

// TestOnlyVersionBesideBuildsThatRecordChangesIsKnown guards against refusals beside a build that writes no record before the first
// change of versions.
func TestOnlyVersionBesideBuildsThatRecordChangesIsKnown(t *testing.T) {
	for b, goOn := range map[build]int{noTimes: 20, noVersions: 0} {
		f := newStreamsOf(t, b, b, "")
		f.record = nil
		f.beginAt(20, "r1", "r2")
		r := newRouterInDomain(t, "r3", "d0")
		r.now = f.routers["r3"].now
		r.state.StartedAt, r.state.Settings.IsFirstStart = r.now, false
		f.replace("r3", r)
		f.run(time.Second, f.names...)
		f.Expect(f.takeUpAt("r3")).To(Equal(goOn), string(b))
	}
}

// TestStreamsBesideAnEarlierBuildAreWrittenRarely guards against a call to the store for each stream.
func TestStreamsBesideAnEarlierBuildAreWrittenRarely(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "")
	f.setVersions("v1", "v1", "v2", "v2")
	f.run(8*time.Second, f.names...)
	f.recordWrites = 0
	for range 200 { // In 10 s.
		f.beginAt(1, "r2", "r3")
		f.run(50*time.Millisecond, f.names...)
	}
	f.Expect(f.recordWrites).To(BeNumerically("<=", 2*25))
	f.run(time.Second, f.names...)
	f.begun = f.begun[150:]
	f.Expect(f.takeUpAt("r2", "r3")).To(Equal(50))
}
