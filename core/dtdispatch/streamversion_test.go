package dtdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// resuming has a request go on after the third event of a stream.
func resuming(stream string) func(*dtdispatch.RequestArrived) {
	return func(ev *dtdispatch.RequestArrived) { ev.ResumeAfter, ev.ResumesID = "3", stream }
}

// newRouterWithVersions returns a router with servers of the given software versions.
func newRouterWithVersions(t *testing.T, versions ...string) *router {
	t.Helper()
	r := newRouter(t, 0)
	r.listServers(2, serversOfVersions(versions...)...)
	return r
}

func serversOfVersions(versions ...string) []dtdispatch.Server {
	servers := testServers(len(versions))
	for i := range servers {
		servers[i].Version = versions[i]
	}
	return servers
}

// versionOf returns the software version of a server.
func (r *router) versionOf(id dtdispatch.ServerID) string { return r.state.Roster.Servers[id].Version }

// TestRetriedStreamStaysAtItsVersion guards against a response that joins events of two software versions,
// since a stream that breaks off goes on at any server.
func TestRetriedStreamStaysAtItsVersion(t *testing.T) {
	for shared := range uint64(40) {
		r := newRouterWithVersions(t, "v1", "v1", "v2", "v2", "v2")
		n := r.sendRequest("/stream/x", withPrompt(shared))
		first := r.onlySend().Server
		r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
		r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.ResponseStarted = true })
		r.Expect(r.versionOf(r.onlySend().Server)).To(Equal(r.versionOf(first)))
		r.Expect(r.onlySend().Server).NotTo(Equal(first))
	}
}

func TestStreamWithoutAnotherServerOfItsVersionIsBrokenOff(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	n := r.sendRequest("/stream/x")
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
	r.listServers(3, serversOfVersions("v1", "v2", "v2")...)
	r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.ResponseStarted = true })
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
	r.Expect(effectsOf[dtdispatch.AbortResponse](r.effects)).To(HaveLen(1))
}

func TestLogNamesStreamAndSoftwareVersion(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	n := r.sendRequest("/stream/x", resuming("first"))
	r.step(dtdispatch.VersionRecordRead{})
	r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost)
	r.Expect(logRecords(r.effects, "attempt")).To(ConsistOf(And(HaveField("Stream", "first"), HaveField("Version", "v1"))))
	r.Expect(logRecords(r.effects, "request")).To(ConsistOf(And(HaveField("Stream", "first"), HaveField("Version", "v1"))))
}

// streams is a fleet with streams that have begun at it.
type streams struct {
	*fleet
	*WithT
	names   []string
	begun   []begunStream
	held    map[string]begunStream         // Streams of which their callers have nothing yet, by router and number.
	waits   time.Duration                  // How long its callers wait.
	transit time.Duration                  // How long requests are under way.
	areOpen bool                           // Its streams do not end.
	running map[dtdispatch.ServerID]string // Versions of servers that have restarted, which the store may not have yet.
	ends    dtdispatch.Outcome             // Of streams that are not open.
	kept    []dtdispatch.Server            // What the store listed before it went away.
	lastID  int

	mayRefuse bool // New streams may be refused.
}

// begunStream is a stream that a server has begun.
type begunStream struct {
	id      string
	version string
	at      time.Time
}

// callerTimeout is how long a caller waits for a stream: as long as the route allows.
const callerTimeout = 5 * time.Second

func newStreams(t *testing.T, names ...string) *streams {
	t.Helper()
	return newStreamsOfBuilds(t, nil, names...)
}

// newStreamsOfBuilds returns a fleet with streams; routers that builds does not name run this build.
func newStreamsOfBuilds(t *testing.T, builds map[string]build, names ...string) *streams {
	t.Helper()
	f := newFleet(t, names...)
	f.builds = builds
	return newStreamsOfFleet(t, f, names)
}

// newStreamsOfFleet returns a fleet with streams whose routers have just started.
func newStreamsOfFleet(t *testing.T, routers *fleet, names []string) *streams {
	t.Helper()
	f := &streams{fleet: routers, WithT: NewWithT(t), names: names, waits: callerTimeout, held: map[string]begunStream{}}
	f.onForward = func(name string, n dtdispatch.RequestNumber) {
		f.begun = append(f.begun, f.held[fmt.Sprint(name, n)])
		delete(f.held, fmt.Sprint(name, n))
		f.endUnlessOpen(name, n)
	}
	f.onSend = f.checkVersion
	f.setVersions("v1", "v1", "v1", "v1")
	f.run(6*time.Second, names...)
	f.recordWrites = 0 // Without that of the first mix.
	return f
}

// setVersions lists servers of the given versions; the IDs differ from version to version.
func (f *streams) setVersions(versions ...string) {
	f.store = serversOfVersions(versions...)
	for i := range f.store {
		f.store[i].ID += dtdispatch.ServerID("-" + versions[i])
	}
	f.revision++
}

// begin has n streams begin at all routers in turn.
func (f *streams) begin(n int) {
	for range n {
		f.lastID++
		id := fmt.Sprint("stream-", f.lastID)
		name := f.names[f.lastID%len(f.names)]
		r := f.routers[name]
		number := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = id, f.waits })
		if f.mayRefuse && len(effectsOf[dtdispatch.SendRequest](r.effects)) == 0 {
			r.Expect(r.onlyRefusal().MayHaveRun).To(BeFalse())
			continue
		}
		send := r.onlySend()
		stream := begunStream{id: id, version: f.runningVersion(name, send.Server), at: r.now.Add(-f.transit)}
		if send.HoldStream {
			f.held[fmt.Sprint(name, number)] = stream
		} else {
			f.begun = append(f.begun, stream)
		}
		f.perform(name, append([]dtdispatch.Effect(nil), r.effects...))
		f.perform(name, r.step(dtdispatch.ResponseStarted{Number: number, Attempt: 1, ConnectedAt: r.now}))
		if !send.HoldStream {
			f.endUnlessOpen(name, number)
		}
	}
}

func (f *streams) endUnlessOpen(name string, n dtdispatch.RequestNumber) {
	if !f.areOpen {
		f.routers[name].endAttempt(n, 1, f.ends, func(ev *dtdispatch.AttemptEnded) { ev.ResponseStarted = true })
	}
}

// checkVersion fails if a request that goes on with a stream is sent to a server of another version.
func (f *streams) checkVersion(name string, send *dtdispatch.SendRequest) {
	r := f.routers[name]
	request := r.state.Requests[send.Number]
	for _, stream := range f.begun {
		if request != nil && request.ResumeAfter != "" && request.StreamID == stream.id {
			f.Expect(f.runningVersion(name, send.Server)).To(Equal(stream.version), "%s at %s", stream.id, name)
		}
	}
}

// runningVersion returns the version of the software that a server runs.
func (f *streams) runningVersion(name string, id dtdispatch.ServerID) string {
	if version, hasRestarted := f.running[id]; hasRestarted {
		return version
	}
	return f.routers[name].versionOf(id)
}

// takeUp has all streams taken up at other routers than those that began them. It returns how many go on,
// and fails if one does so at another version.
func (f *streams) takeUp() int { return f.takeUpAt(f.names...) }

// takeUpAt has all streams taken up at the named routers in turn, as takeUp does.
func (f *streams) takeUpAt(names ...string) int {
	goOn := 0
	for i, stream := range f.begun {
		name := names[(i+2)%len(names)]
		r := f.routers[name]
		r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) {
			ev.ID = stream.id + "-again"
			ev.ResumeAfter, ev.ResumesID = "3", stream.id
			ev.CallerTimeout = f.waits - r.now.Sub(stream.at) + f.transit
		})
		f.perform(name, append([]dtdispatch.Effect(nil), r.effects...))
		for _, send := range effectsOf[dtdispatch.SendRequest](r.effects) {
			goOn++
			f.Expect(f.runningVersion(name, send.Server)).To(Equal(stream.version), "%s at %s", stream.id, name)
		}
	}
	return goOn
}

// restart has routers restart with nothing in memory.
func (f *streams) restart(t *testing.T, names ...string) {
	t.Helper()
	now := f.routers[f.names[0]].now
	for _, name := range names {
		r := newRouterInDomain(t, name, f.routers[name].state.Settings.Domain)
		r.now = now
		f.replace(name, r)
	}
	f.run(time.Second, f.names...)
}

// TestStreamTakenUpGoesOnAtItsVersion guards against text that is joined from two software versions, since
// a router that has not begun a stream does not know its version.
func TestStreamTakenUpGoesOnAtItsVersion(t *testing.T) {
	for name, restart := range map[string]func(f *streams){
		"the routers live on":     func(*streams) {},
		"all routers are killed":  func(f *streams) { f.restart(t, f.names...) },
		"all are killed twice":    func(f *streams) { f.restart(t, f.names...); f.restart(t, f.names...) },
		"one of them is replaced": func(f *streams) { f.restart(t, "r2") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.setVersions("v1", "v1", "v2", "v2", "v2")
			f.run(2*time.Second, f.names...)
			f.begin(60)
			f.run(time.Second, f.names...)
			restart(f)
			f.Expect(f.takeUp()).To(Equal(60), "the mix had been in force before all of them began")
		})
	}
}

// TestStreamsOfAReleaseGoOnOrAreRefused takes streams up that began before, in and after a release.
func TestStreamsOfAReleaseGoOnOrAreRefused(t *testing.T) {
	for name, restart := range map[string]func(f *streams){
		"the routers live on":    func(*streams) {},
		"all routers are killed": func(f *streams) { f.restart(t, f.names...) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.begin(30)
			f.run(time.Second, f.names...)
			for _, versions := range [][]string{{"v1", "v1", "v1", "v2"}, {"v1", "v1", "v2", "v2"}, {"v1", "v2", "v2", "v2"}, {"v2", "v2", "v2", "v2"}} {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, f.names...)
				f.begin(30)
			}
			f.run(time.Second, f.names...)
			f.begin(150)
			f.run(300*time.Millisecond, f.names...) // Some are held until they are recorded.
			restart(f)
			goOn := f.takeUp()
			f.Expect(goOn).To(BeNumerically(">=", 150), "those that began after the release")
		})
	}
}

// TestStreamsBesideAChangeGoOn guards against streams that are refused because their time is so close to a change of
// the mix that two versions seem possible.
func TestStreamsBesideAChangeGoOn(t *testing.T) {
	for name, restart := range map[string]func(f *streams){
		"the routers live on":    func(*streams) {},
		"all routers are killed": func(f *streams) { f.restart(t, f.names...) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.areOpen = true
			f.setVersions("v1", "v1", "v1", "v2")
			f.run(time.Second, f.names...)
			f.begin(30)
			f.run(50*time.Millisecond, f.names...)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(50*time.Millisecond, f.names...)
			f.begin(30)
			f.run(500*time.Millisecond, f.names...)
			restart(f)
			f.Expect(f.takeUp()).To(Equal(60))
		})
	}
}

// TestReplacedVersionIsNotMixedWithTheNext has all servers replaced at once just before all routers are killed.
func TestReplacedVersionIsNotMixedWithTheNext(t *testing.T) {
	f := newStreams(t, "r1", "r2", "r3")
	f.begin(50)
	f.setVersions("v2", "v2", "v2")
	f.run(500*time.Millisecond, f.names...)
	f.restart(t, f.names...)
	f.Expect(f.takeUp()).To(BeZero(), "no server of v1 is left")
	for _, name := range f.names {
		f.Expect(f.routers[name].onlyRefusal().Reason).To(Equal(dtdispatch.ReasonStreamVersion))
		f.Expect(f.routers[name].onlyRefusal().MayHaveRun).To(BeFalse())
	}
}

// TestVersionRecordIsWrittenRarely guards against calls to the store for each stream, or without a release.
func TestVersionRecordIsWrittenRarely(t *testing.T) {
	for _, size := range []int{3, 48} {
		t.Run(fmt.Sprint(size, " routers"), func(t *testing.T) {
			g := NewWithT(t)
			f, names := newLargeFleet(t, size)
			f.run(4*time.Second, names...)
			f.store[0].Draining, f.store[0].Seq = true, 2
			f.revision++
			f.run(4*time.Second, names...)
			for _, name := range names {
				f.routers[name].sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
				f.routers[name].sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = 2 * callerTimeout })
			}
			f.run(time.Second, names...)
			g.Expect(f.recordWrites).To(Equal(1), "the only version, once by one router")
			f.store = serversOfVersions("v2", "v1", "v1", "v1")
			f.revision++
			f.run(4*time.Second, names...)
			g.Expect(f.recordWrites).To(Equal(2), "by one router")
			g.Expect(f.record.Histories).To(HaveKey("a"))
		})
	}
}

// TestRecordIsKeptAcrossRestarts guards against a router that has just started and records a change without
// what had been recorded before.
func TestRecordIsKeptAcrossRestarts(t *testing.T) {
	f := newStreams(t, "r1", "r2", "r3")
	f.setVersions("v1", "v2")
	f.run(time.Second, f.names...)
	f.begin(40)
	f.run(300*time.Millisecond, f.names...)
	f.restart(t, f.names...)
	f.setVersions("v1", "v1", "v2")
	f.run(500*time.Millisecond, f.names...)
	f.Expect(len(f.record.Histories["a"].Mixes)).To(BeNumerically(">=", 3))
	f.restart(t, f.names...)
	f.Expect(f.takeUp()).To(Equal(40))
}

// recordOfTwoVersions returns the record of a fleet that has always had one server of v1 and one of v2.
func recordOfTwoVersions() dtdispatch.VersionRecordRead {
	history := dtdispatch.VersionHistory{Mixes: []dtdispatch.VersionMix{{At: time.UnixMilli(1), Weights: map[string]int{"v1": 1, "v2": 1}}}}
	return dtdispatch.VersionRecordRead{Record: dtdispatch.VersionRecord{Histories: map[string]dtdispatch.VersionHistory{"a": history}}}
}

// TestStreamIsHeldWhileTheRecordIsRead has a stream taken up at a router that has just started.
func TestStreamIsHeldWhileTheRecordIsRead(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	r.sendRequest("/stream/x", resuming("first"))
	r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(HaveLen(1))
	r.sendRequest("/stream/x", resuming("second"))
	r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(BeEmpty(), "it is being read")
	r.step(dtdispatch.VersionRecordFailed{Detail: "down"})
	r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(HaveLen(2))
	r.sendRequest("/stream/x", resuming("third"))
	r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonStreamVersion), "not asked for again at once")
	r.advance(time.Second)
	r.sendRequest("/stream/x", resuming("fourth"))
	r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(HaveLen(1))
	r.step(recordOfTwoVersions())
	r.onlySend()
}

// TestRequestBesideAnEarlyReadOfTheRecordOverflowsTheStack guards against a router that crashes: a request that waited for a read which a new
// stream had begun right after the last one, as the store had been restored, was released and held again without an end.
func TestRequestBesideAnEarlyReadOfTheRecordOverflowsTheStack(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	r.step(dtdispatch.StoreEraRead{Era: 4})
	r.sendRequest("/stream/x", resuming("first"))
	r.step(recordOfTwoVersions())
	r.step(dtdispatch.StoreEraRead{Era: 5})
	r.now = r.now.Add(10 * time.Millisecond)
	r.sendRequest("/stream/x")
	r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(HaveLen(1))
	r.sendRequest("/stream/x", resuming("second"))
	r.Expect(r.state.StreamVersions.Held).To(HaveLen(1))
	r.step(recordOfTwoVersions())
	r.Expect(r.state.StreamVersions.Held).To(BeEmpty())
}

// TestStreamOfAVersionWithoutUsableServersBeginsElsewhere has new streams begin at another version while the
// servers of theirs can't be used, and taken up when these are back, also after all routers were killed.
func TestStreamOfAVersionWithoutUsableServersBeginsElsewhere(t *testing.T) {
	for name, restart := range map[string]func(f *streams){
		"the routers live on":    func(*streams) {},
		"all routers are killed": func(f *streams) { f.restart(t, f.names...) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.setVersions("v1", "v2", "v2")
			f.run(2*time.Second, f.names...)
			for _, name := range f.names {
				f.routers[name].step(dtdispatch.ServerChecked{Server: "s0-v1"}) // It has crashed.
			}
			f.begin(40)
			for _, stream := range f.begun {
				f.Expect(stream.version).To(Equal("v2"))
			}
			f.run(1500*time.Millisecond, f.names...)
			restart(f)
			f.Expect(f.takeUp()).To(Equal(40))
			f.Expect(f.recordWrites).To(BeNumerically("<=", 1+3), "one of the mixes, one a router of its exceptions")
		})
	}
}

// TestLateRequestBeginsAtAVersionThatIsLeft has a caller begin a stream at its second attempt, after the version of
// the time of its first has left.
func TestLateRequestBeginsAtAVersionThatIsLeft(t *testing.T) {
	f := newStreams(t, "r1", "r2", "r3")
	f.setVersions("v2", "v2")
	f.run(time.Second, f.names...)
	r := f.routers["r1"]
	left := callerTimeout - 2*time.Second
	r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = "late", left })
	f.Expect(r.versionOf(r.onlySend().Server)).To(Equal("v2"))
	f.run(time.Second, f.names...)
	f.setVersions("v1", "v2")
	f.run(time.Second, f.names...)
	other := f.routers["r2"]
	other.sendRequest("/stream/x", resuming("late"), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = left - 2*time.Second })
	f.perform("r2", append([]dtdispatch.Effect(nil), other.effects...))
	f.Expect(other.versionOf(other.onlySend().Server)).To(Equal("v2"))
}

// TestCallersWhoWaitLongerThanTheRouteAllows guards against a time of a stream that is worked out from the wrong
// timeout.
func TestCallersWhoWaitLongerThanTheRouteAllows(t *testing.T) {
	for shift := time.Duration(0); shift < 3*time.Second; shift += 500 * time.Millisecond {
		f := newStreams(t, "r1", "r2", "r3")
		f.waits = 2 * callerTimeout
		f.begin(20)
		f.run(shift, f.names...)
		f.setVersions("v1", "v1", "v2", "v2")
		f.run(3*time.Second-shift, f.names...)
		f.begin(20)
		f.run(time.Second, f.names...)
		f.takeUp() // It fails if one goes on at another version.
		f.restart(t, f.names...)
		f.takeUp()
	}
}

// TestRequestLongUnderWayDoesNotMixVersions guards against the time of a stream that is late at one of two routers, as after
// lost packets: the mix has changed since its caller asked, and the exception was lost with the router.
func TestRequestLongUnderWayDoesNotMixVersions(t *testing.T) {
	for _, transit := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		for _, sinceChange := range []time.Duration{500 * time.Millisecond, 750 * time.Millisecond, 1250 * time.Millisecond} {
			t.Run(fmt.Sprintf("begin %s late, %s after a change", transit, sinceChange), func(t *testing.T) {
				f := newStreamsOfTwoVersions(t)
				f.areOpen = true
				f.setVersions("v1", "v2", "v2", "v2")
				f.run(sinceChange, f.names...)
				f.transit = transit
				f.begin(60)
				f.Expect(len(f.begun)).To(BeNumerically(">", 20))
				f.restart(t, f.names...)
				f.transit = 0
				f.takeUp() // It fails if one goes on at another version.
			})
		}
		t.Run(fmt.Sprintf("taken up %s late", transit), func(t *testing.T) {
			f := newStreamsOfTwoVersions(t)
			f.begin(60)
			f.run(50*time.Millisecond, f.names...)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(transit+50*time.Millisecond, f.names...)
			f.transit = transit
			f.takeUp() // It fails if one goes on at another version.
		})
	}
}

// TestStreamsSecondsAfterAChangeGoOn guards against streams that are refused since their requests may have been under way
// when the mix changed, though they have been recorded.
func TestStreamsSecondsAfterAChangeGoOn(t *testing.T) {
	for _, sinceChange := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(sinceChange.String(), func(t *testing.T) {
			f := newStreamsOfTwoVersions(t)
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(sinceChange, f.names...)
			f.begin(60)
			f.run(500*time.Millisecond, f.names...)
			f.restart(t, f.names...)
			f.Expect(f.takeUp()).To(Equal(60))
		})
	}
}

// TestStreamOfAnotherRouteDoesNotMixVersions guards against the time of a stream that is worked out from the timeout of the
// route that has taken the place of the one by which it began.
func TestStreamOfAnotherRouteDoesNotMixVersions(t *testing.T) {
	for name, prefix := range map[string]string{"renamed": "/stream/", "split": "/stream/x", "merged": "/st"} {
		for _, isKilled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, killed %t", name, isKilled), func(t *testing.T) {
				f := newStreamsOfTwoVersions(t)
				f.begin(60)
				f.run(50*time.Millisecond, f.names...)
				f.setVersions("v1", "v2", "v2", "v2")
				f.run(500*time.Millisecond, f.names...)
				f.operators.config = configWithStreamRoute(prefix, time.Second)
				f.operators.revision++
				f.run(2600*time.Millisecond, f.names...)
				if isKilled {
					f.restart(t, f.names...)
				} else {
					f.run(time.Second, f.names...)
				}
				f.takeUp() // It fails if one goes on at another version.
			})
		}
	}
}

// configWithStreamRoute returns a configuration in which another route serves the streams.
func configWithStreamRoute(prefix string, timeout time.Duration) *dtdispatch.Config {
	config := testConfig(2)
	routes := config.RoutesByHost["h.example"]
	i := slices.IndexFunc(routes, func(r dtdispatch.Route) bool { return r.Name == "/stream/" })
	route := routes[i]
	route.Name, route.Prefix, route.Timeout = "other", prefix, timeout
	if prefix == "/stream/x" {
		routes = append(routes, route)
	} else {
		routes[i] = route
	}
	slices.SortStableFunc(routes, func(a, b dtdispatch.Route) int { return len(b.Prefix) - len(a.Prefix) })
	config.RoutesByHost["h.example"] = routes
	return config
}

// newStreamsOfTwoVersions returns a fleet that has had servers of two versions for some seconds.
func newStreamsOfTwoVersions(t *testing.T) *streams {
	t.Helper()
	f := newStreams(t, "r1", "r2", "r3")
	f.setVersions("v1", "v1", "v1", "v2")
	f.run(5*time.Second, f.names...)
	return f
}

// TestStreamBegunJustBeforeAKillGoesOnAtItsVersion guards against streams of two versions: a router is killed right
// after streams have begun elsewhere than others would work out, before the store has that.
func TestStreamBegunJustBeforeAKillGoesOnAtItsVersion(t *testing.T) {
	f := newStreams(t, "r1", "r2", "r3")
	f.setVersions("v1", "v2", "v2")
	f.run(2*time.Second, f.names...)
	for _, name := range f.names {
		f.routers[name].step(dtdispatch.ServerChecked{Server: "s0-v1"}) // It has crashed.
	}
	f.begin(60)
	f.Expect(f.held).NotTo(BeEmpty())
	f.restart(t, f.names...)
	f.takeUp() // It fails if one goes on at another version.
	f.Expect(len(f.begun)).To(BeNumerically(">", 30))
}

// beginElsewhere has streams begin at a router that can't use the servers of v1, and returns the one that was to
// begin there.
func (r *router) beginElsewhere() dtdispatch.SendRequest {
	r.step(dtdispatch.ServerChecked{Server: "s0"}) // It has crashed.
	for range 100 {
		n := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
		send := r.onlySend()
		if len(effectsOf[dtdispatch.ReadVersionRecord](r.effects)) > 0 {
			r.step(recordOfTwoVersions())
		}
		r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
		if len(effectsOf[dtdispatch.ForwardStream](r.effects)) == 0 && send.HoldStream {
			return send
		}
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
	}
	r.Expect("a stream").To(Equal("held"))
	return dtdispatch.SendRequest{}
}

func TestStreamIsHeldUntilItsVersionIsRecorded(t *testing.T) {
	t.Run("the store has it", func(t *testing.T) {
		r := newRouterWithVersions(t, "v1", "v2")
		r.now = r.now.Add(time.Second)
		send := r.beginElsewhere()
		effects := r.advance(200 * time.Millisecond)
		r.Expect(effectsOf[dtdispatch.WriteVersionRecord](effects)).To(HaveLen(1))
		r.Expect(effectsOf[dtdispatch.ForwardStream](effects)).To(BeEmpty())
		r.step(dtdispatch.VersionRecordWritten{Part: dtdispatch.PartExceptions})
		r.Expect(effectsOf[dtdispatch.ForwardStream](r.effects)).To(ConsistOf(dtdispatch.ForwardStream{Number: send.Number}))
	})
	failToWrite := func(t *testing.T) (*router, dtdispatch.SendRequest) {
		t.Helper()
		r := newRouterWithVersions(t, "v1", "v2", "v2")
		r.now = r.now.Add(time.Second)
		send := r.beginElsewhere()
		r.advance(200 * time.Millisecond)
		r.step(dtdispatch.VersionRecordFailed{IsWrite: true, Part: dtdispatch.PartExceptions})
		r.Expect(effectsOf[dtdispatch.ForwardStream](r.effects)).To(BeEmpty(), "those who are told may be killed with this router")
		return r, send
	}
	t.Run("the store fails, and another router that is told records it", func(t *testing.T) {
		r, send := failToWrite(t)
		id := r.state.Requests[send.Number].StreamID
		messages := effectsOf[dtdispatch.SendToPeers](r.effects)
		r.Expect(messages).To(HaveLen(1))
		other := newRouterWithVersions(t, "v1", "v2")
		other.step(dtdispatch.PeerMessageReceived{Message: messages[0].Message})
		other.now = r.now
		other.sendRequest("/stream/x", resuming(id), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - time.Second })
		other.step(dtdispatch.VersionRecordRead{})
		other.Expect(other.versionOf(other.onlySend().Server)).To(Equal("v2"))
		other.Expect(effectsOf[dtdispatch.WriteVersionRecord](other.effects)).To(ContainElement(HaveField("Record.Exceptions", HaveKey(id))))
		other.step(dtdispatch.VersionRecordWritten{Part: dtdispatch.PartExceptions})
		r.step(dtdispatch.PeerMessageReceived{Message: effectsOf[dtdispatch.SendToPeers](other.effects)[0].Message})
		r.Expect(effectsOf[dtdispatch.ForwardStream](r.effects)).To(ConsistOf(dtdispatch.ForwardStream{Number: send.Number}))
	})
	t.Run("the store fails for longer than a caller waits", func(t *testing.T) {
		r, send := failToWrite(t)
		effects := r.advance(2 * time.Second)
		r.Expect(effectsOf[dtdispatch.ForwardStream](effects)).To(BeEmpty())
		r.Expect(effectsOf[dtdispatch.EndAttempt](effects)).To(ConsistOf(dtdispatch.EndAttempt{Number: send.Number}))
		r.endAttempt(send.Number, 1, dtdispatch.OutcomeUnconfirmed)
		r.Expect(r.onlyRefusal().MayHaveRun).To(BeTrue())
	})
}

// TestStreamThatBreaksRightAwayGoesOnAtItsVersion guards against a record that has been read just before the stream
// was recorded in it: the stream breaks right after its first event, and is taken up within milliseconds.
func TestStreamThatBreaksRightAwayGoesOnAtItsVersion(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	r.advance(200 * time.Millisecond)
	resume := func(id string) {
		r.sendRequest("/stream/x", resuming(id), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - time.Second })
	}
	for n := range 20 {
		id := fmt.Sprint("broken-", n)
		resume(fmt.Sprint("earlier-", n))
		r.advance(100 * time.Millisecond)
		r.step(dtdispatch.VersionRecordRead{})
		r.now = r.now.Add(20 * time.Millisecond)
		resume(id)
		r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty(), "the record is older than the request")
		r.advance(100 * time.Millisecond)
		r.step(dtdispatch.VersionRecordRead{Record: dtdispatch.VersionRecord{Exceptions: map[string]dtdispatch.StreamException{id: {Version: "v2", At: r.now}}}})
		r.Expect(r.versionOf(r.onlySend().Server)).To(Equal("v2"))
	}
}

// TestRecordIsReadWithPauses guards against a call to the store for each of many streams that are taken up at once.
func TestRecordIsReadWithPauses(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	r.advance(200 * time.Millisecond)
	reads, sent := 0, 0
	count := func(effects []dtdispatch.Effect) {
		reads += len(effectsOf[dtdispatch.ReadVersionRecord](effects))
		sent += len(effectsOf[dtdispatch.SendRequest](effects))
	}
	for n := range 200 {
		r.now = r.now.Add(5 * time.Millisecond)
		r.sendRequest("/stream/x", resuming(fmt.Sprint("broken-", n)), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - time.Second })
		count(r.effects)
		count(r.step(dtdispatch.TimerFired{}))
		if r.state.StreamVersions.Reading.InProgress {
			count(r.step(recordOfTwoVersions()))
		}
	}
	count(r.advance(100 * time.Millisecond))
	count(r.step(recordOfTwoVersions()))
	r.Expect(sent).To(Equal(200))
	r.Expect(reads).To(BeNumerically("<=", 25), "in a second")
}

// TestRouterThatHasNotFollowedTheListDoesNotMixVersions guards against streams of two versions: while one router stands
// still or is cut off, servers of new versions join, and streams that begin there are taken up at that router.
func TestRouterThatHasNotFollowedTheListDoesNotMixVersions(t *testing.T) {
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	changes := [][]string{{"v1", "v1", "v1", "v2"}, {"v1", "v1", "v2", "v2"}, {"v1", "v2", "v2", "v2"}, {"v1", "v1", "v2", "v2"}}
	for name, tc := range map[string]struct {
		change  func(f *streams) // Of the servers, while streams begin at the other routers.
		restore func(f *streams)
	}{
		"it stands still": {func(f *streams) {
			f.down["r3"] = true
			for _, versions := range changes {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, others...)
				f.begin(20)
			}
		}, func(f *streams) {
			f.down["r3"], f.routers["r3"].now = false, f.routers["r1"].now
			f.run(600*time.Millisecond, names...)
		}},
		"it stands still, and has heard nothing yet": {func(f *streams) {
			f.down["r3"] = true
			for _, versions := range changes {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, others...)
				f.begin(20)
			}
		}, func(f *streams) { f.down["r3"], f.routers["r3"].now = false, f.routers["r1"].now }},
		"it stands still long after the change": {func(f *streams) {
			f.down["r3"] = true
			f.setVersions("v1", "v2", "v2", "v2")
			f.run(2500*time.Millisecond, others...)
			f.begin(40)
			f.run(300*time.Millisecond, others...)
		}, func(f *streams) {
			f.down["r3"], f.routers["r3"].now = false, f.routers["r1"].now
			f.run(600*time.Millisecond, names...)
		}},
		"it is cut off": {func(f *streams) {
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
			for _, versions := range changes {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, names...)
				f.begin(20)
			}
		}, func(*streams) {}},
		"it can't reach the store, and does not get the lists that others have": {func(f *streams) {
			f.rejected, f.dropsRosters = map[string]bool{"r3": true}, true
			for _, versions := range changes {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, names...)
				f.begin(20)
			}
		}, func(*streams) {}},
		"it has been cut off": {func(f *streams) {
			f.isolated, f.rejected = map[string]bool{"r3": true}, map[string]bool{"r3": true}
			for _, versions := range append(changes, changes...) {
				f.setVersions(versions...)
				f.run(300*time.Millisecond, names...)
				f.begin(20)
			}
		}, func(f *streams) {
			f.isolated, f.rejected = nil, nil
			f.run(time.Second, names...)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(1)
			f.names = []string{"r3"}
			f.takeUp() // It has read the record before.
			f.begun, f.names = nil, others
			tc.change(f)
			f.run(100*time.Millisecond, others...)
			tc.restore(f)
			f.names = []string{"r3"}
			f.takeUp() // It fails if one goes on at another version.
			f.run(2*time.Second, names...)
		})
	}
}

// TestStreamsGoOnWhileTheStoreIsAway guards against streams that are refused though the routers hear each other, and
// none of them can have learned of another version.
func TestStreamsGoOnWhileTheStoreIsAway(t *testing.T) {
	f := newStreams(t, "r1", "r2", "r3")
	f.begin(3)
	f.takeUp()
	f.run(time.Second, f.names...)
	f.begun = nil
	f.store = nil
	for range 30 {
		f.run(100*time.Millisecond, f.names...)
		f.begin(1)
	}
	goOn := 0
	f.onSend = func(name string, send *dtdispatch.SendRequest) {
		f.checkVersion(name, send)
		goOn++
	}
	f.takeUp()
	f.run(300*time.Millisecond, f.names...) // By when all routers have said again that they have the same list.
	f.Expect(goOn).To(Equal(30))
}

// TestRestartBesideAnUnrecordedChangeDoesNotMixVersions guards against a router that has just started and takes the mix
// that it finds for the one of all time: the routers were killed before the change to it was recorded.
func TestRestartBesideAnUnrecordedChangeDoesNotMixVersions(t *testing.T) {
	for name, versions := range map[string][][]string{
		"first change": {{"v1", "v2", "v2"}},
		"later change": {{"v1", "v1", "v2"}, {"v1", "v2", "v2", "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.areOpen = true
			for _, list := range versions {
				f.run(time.Second, f.names...)
				f.begin(60)
				f.run(300*time.Millisecond, f.names...)
				f.setVersions(list...)
				f.run(50*time.Millisecond, f.names...)
			}
			f.restart(t, f.names...)
			f.takeUp() // It fails if one goes on at another version.
		})
	}
}

// TestRouterThatHearsLateDoesNotMixVersions guards against streams of two versions: a router with a slow link to the
// store goes on to begin streams by the old mix, and they are taken up elsewhere before it hears of the change.
func TestRouterThatHearsLateDoesNotMixVersions(t *testing.T) {
	names, others := []string{"r1", "r2", "r3"}, []string{"r1", "r2"}
	for _, late := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			f := newStreams(t, names...)
			f.begin(3)
			f.takeUp() // They have read the record before.
			f.setVersions("v1", "v1", "v2")
			f.run(3*time.Second, names...)
			f.begun, f.names = nil, []string{"r3"}
			f.rejected, f.dropsRosters = map[string]bool{"r3": true}, true
			f.setVersions("v1", "v2", "v2", "v2")
			for range late / (100 * time.Millisecond) {
				f.run(100*time.Millisecond, names...)
				f.begin(5)
			}
			f.names = others
			f.takeUp() // It fails if one goes on at another version.
			f.run(2*time.Second, names...)
			f.transit = 2 * time.Second
			f.takeUp() // The same for requests that are long under way.
			f.rejected, f.dropsRosters = nil, false
			f.run(2*time.Second, names...)
		})
	}
}

// TestStreamsOfAGapGoOn guards against streams that are refused at a router that has stood still, though the others
// know what it has missed. It may be the one that writes the record for all, and be back before another does so.
func TestStreamsOfAGapGoOn(t *testing.T) {
	names := []string{"r1", "r2", "r3"}
	for _, still := range names {
		for _, after := range []time.Duration{100 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%s, %s after the last change", still, after), func(t *testing.T) {
				others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == still })
				f := newStreams(t, names...)
				f.begin(3)
				f.takeUp() // They have read the record before.
				f.begun, f.names, f.areOpen = nil, others, true
				f.down[still] = true
				for _, versions := range [][]string{{"v1", "v1", "v1", "v2"}, {"v1", "v1", "v2", "v2"}, {"v1", "v2", "v2", "v2"}} {
					f.setVersions(versions...)
					f.run(300*time.Millisecond, others...)
					f.begin(20)
				}
				f.run(after, others...)
				f.down[still], f.routers[still].now = false, f.routers[others[0]].now
				f.run(1200*time.Millisecond, names...)
				f.Expect(f.takeUp()).To(Equal(60), "at the others")
				f.run(time.Second, names...)
				f.names = []string{still}
				f.Expect(f.takeUp()).To(Equal(60))
			})
		}
	}
}

// TestRecordAheadOfTheRouterMakesItUncertain guards against a router that trusts its list although the record shows that
// others have a newer one.
func TestRecordAheadOfTheRouterMakesItUncertain(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	r.sendRequest("/stream/x", resuming("earlier"))
	r.step(recordOfTwoVersions())
	r.advance(300 * time.Millisecond)
	read := recordOfTwoVersions()
	history := read.Record.Histories["a"]
	history.Mixes = append(history.Mixes, dtdispatch.VersionMix{At: r.now.Add(500 * time.Millisecond), Weights: map[string]int{"v1": 1, "v2": 3}})
	read.Record.Histories["a"] = history
	r.advance(700 * time.Millisecond)
	sent := 0
	for n := range 20 {
		r.sendRequest("/stream/x", resuming(fmt.Sprint("first-", n)), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
		r.advance(100 * time.Millisecond)
		r.step(read)
		sent += len(effectsOf[dtdispatch.SendRequest](r.effects))
	}
	r.Expect(sent).To(BeZero())
}

// TestAnswerFromBeforeAStandstillConfirmsNothing guards against a router that has stood still and takes an answer of the
// store that was in its buffers meanwhile for the present list.
func TestAnswerFromBeforeAStandstillConfirmsNothing(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1")
	r.sendRequest("/stream/x", resuming("earlier"))
	r.step(dtdispatch.VersionRecordRead{})
	r.advance(300 * time.Millisecond)
	unchanged := dtdispatch.ServersListed{Servers: serversOfVersions("v1", "v1"), Revision: 2, Unchanged: true}
	r.step(unchanged)
	r.now = r.now.Add(4 * time.Second)
	r.step(unchanged)
	r.sendRequest("/stream/x", resuming("first"), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - time.Second })
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
	r.step(dtdispatch.VersionRecordRead{})
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty(), "the list may be four seconds old")
	r.advance(400 * time.Millisecond)
	r.step(unchanged)
	r.step(dtdispatch.VersionRecordRead{})
	r.onlySend()
}

// TestVersionsOfAGapAreUncertain guards against a router that has stood still and knows the mixes before and after, but
// not those between, and nobody has recorded them.
func TestVersionsOfAGapAreUncertain(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1")
	r.sendRequest("/stream/x", resuming("earlier"))
	r.step(dtdispatch.VersionRecordRead{})
	r.advance(300 * time.Millisecond)
	r.now = r.now.Add(4 * time.Second)
	r.listServers(3, serversOfVersions("v1", "v2")...)
	r.advance(500 * time.Millisecond)
	r.listServers(4, serversOfVersions("v1", "v2")...)
	for n := range 20 {
		r.advance(100 * time.Millisecond)
		r.sendRequest("/stream/x", resuming(fmt.Sprint("first-", n)), func(ev *dtdispatch.RequestArrived) {
			ev.CallerTimeout = callerTimeout - 3*time.Second - time.Duration(n)*100*time.Millisecond
		})
		r.step(dtdispatch.VersionRecordRead{}) // The router may have been reading it since before the request.
		if len(effectsOf[dtdispatch.ReadVersionRecord](r.effects)) > 0 {
			r.step(dtdispatch.VersionRecordRead{})
		}
		r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonStreamVersion))
	}
}

// TestStreamsAreHeldLongAfterAChange guards against callers who wait for the first events of many streams, and many
// writes, for a second and more after a change of the mix, and at each router that has just started.
func TestStreamsAreHeldLongAfterAChange(t *testing.T) {
	begin := func(r *router) (held, listed int) {
		for range 60 {
			n := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
			if r.onlySend().HoldStream {
				held++
			}
			r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
		}
		for _, write := range effectsOf[dtdispatch.WriteVersionRecord](r.advance(200 * time.Millisecond)) {
			listed += len(write.Record.Exceptions)
		}
		return held, listed
	}
	t.Run("after a change", func(t *testing.T) {
		r := newRouterWithVersions(t, "v1", "v1")
		r.sendRequest("/stream/x", resuming("earlier"))
		r.step(dtdispatch.VersionRecordRead{})
		r.step(dtdispatch.VersionRecordWritten{Part: dtdispatch.PartMixes})
		for range 4 {
			r.advance(500 * time.Millisecond)
			r.listServers(2, serversOfVersions("v1", "v1")...)
		}
		r.listServers(3, serversOfVersions("v1", "v2")...)
		r.Expect(effectsOf[dtdispatch.WriteVersionRecord](r.advance(700 * time.Millisecond))).To(HaveLen(1))
		r.step(dtdispatch.VersionRecordWritten{Part: dtdispatch.PartMixes})
		r.listServers(4, serversOfVersions("v1", "v2")...)
		held, listed := begin(r)
		r.Expect(held).To(BeZero())
		r.Expect(listed).To(And(BeNumerically(">", 10), BeNumerically("<", 50)), "about half of them, which go on only if listed")
	})
	t.Run("after a start", func(t *testing.T) {
		r := newRouterWithVersions(t, "v1", "v1")
		n := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
		r.Expect(effectsOf[dtdispatch.ReadVersionRecord](r.effects)).To(HaveLen(1))
		r.Expect(effectsOf[dtdispatch.ForwardStream](r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1}))).To(BeEmpty())
		r.Expect(effectsOf[dtdispatch.ForwardStream](r.step(dtdispatch.VersionRecordRead{}))).To(HaveLen(1), "only until it knows the record")
		held, listed := begin(r)
		r.Expect(held).To(BeZero())
		r.Expect(listed).To(BeZero())
	})
}

// TestRecordIsReadAtIntervals guards against a router that reads the record again as often as it is answered, since a
// recorded gap ends later than its own clock says.
func TestRecordIsReadAtIntervals(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2")
	read := recordOfTwoVersions()
	history := read.Record.Histories["a"]
	history.Gaps = []dtdispatch.MixGap{{From: r.now, To: r.now.Add(10 * time.Second)}}
	history.Mixes[0].Weights = map[string]int{"v1": 1}
	read.Record.Histories["a"] = history
	reads := 0
	for end := r.now.Add(5 * time.Second); r.now.Before(end) && reads < 200; {
		effects := r.advance(50 * time.Millisecond)
		for len(effectsOf[dtdispatch.ReadVersionRecord](effects)) > 0 && reads < 200 {
			reads++
			effects = r.step(read)
		}
	}
	r.Expect(reads).To(And(BeNumerically(">", 0), BeNumerically("<=", 41)), "one each 50 ms, 3 s after the start")
}

// TestChangesThatNobodyHasRecordedAreNotRuledOut guards against streams that go on at another software version, since the router that
// was to record the first change was killed, and now sees one version again.
func TestChangesThatNobodyHasRecordedAreNotRuledOut(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v2", "v2")
	r.advance(time.Second)
	r.listServers(3, serversOfVersions("v2", "v2", "v2")...)
	r.advance(time.Second)
	for n := range 20 {
		r.sendRequest("/stream/x", resuming(fmt.Sprint("first-", n)), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - 4900*time.Millisecond })
		effects := slices.Concat(r.effects, r.step(dtdispatch.VersionRecordRead{}))
		r.Expect(effectsOf[dtdispatch.SendRequest](effects)).To(BeEmpty())
	}
}

// TestStartOnAnOldRecordIsLogged guards against certain versions of which no log tells how old the record was that they rest on.
func TestStartOnAnOldRecordIsLogged(t *testing.T) {
	for _, tc := range []struct {
		listed   []string
		recorded map[string]int
		outcome  string
		detail   string
		age      time.Duration
	}{
		{[]string{"v1", "v2"}, map[string]int{"v1": 1, "v2": 1}, "current", "v1:1 v2:1", 3 * time.Second},
		{[]string{"v1", "v2", "v2"}, map[string]int{"v1": 1, "v2": 1}, "behind", "v1:1 v2:1", 3 * time.Second},
		{[]string{"v1", "v2"}, nil, "empty", "", 0},
	} {
		r := newRouterWithVersions(t, tc.listed...)
		read := dtdispatch.VersionRecordRead{}
		if tc.recorded != nil {
			read = recordOfTwoVersions()
			read.Record.Histories["a"].Mixes[0] = dtdispatch.VersionMix{At: r.now.Add(-tc.age), Weights: tc.recorded}
		}
		r.sendRequest("/stream/x", resuming("first"))
		r.step(read)
		r.Expect(logRecords(r.effects, "version_record")).To(ConsistOf(And(HaveField("Subject", "a"), HaveField("Outcome", tc.outcome), HaveField("Detail", tc.detail), HaveField("Elapsed", tc.age))))
		r.step(read)
		r.Expect(logRecords(r.effects, "version_record")).To(BeEmpty(), "only the first")
	}
}
