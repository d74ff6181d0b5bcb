package dtdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// askedServers has the relay ask servers for their starts. The store may list former incarnations of them.
type askedServers struct {
	*streams
	actual  map[dtdispatch.ServerID]dtdispatch.Server // Incarnations that run, of the servers that have restarted.
	refused int
}

// restartUnseen has a server restart with other software; no router has a connection to it that would break, and the store does not
// list it yet.
func (a *askedServers) restartUnseen(i int, version string) {
	server := a.restartServer(i, version)
	a.actual[server.ID] = server
}

// ask plays the relay until the request has reached a server, and returns false if it is refused.
func (a *askedServers) ask(name string, number dtdispatch.RequestNumber) (dtdispatch.SendRequest, bool) {
	r := a.routers[name]
	for {
		effects := slices.Clone(r.effects)
		sends := effectsOf[dtdispatch.SendRequest](effects)
		a.fleet.perform(name, effects)
		if len(sends) == 0 {
			a.refused++
			return dtdispatch.SendRequest{}, false
		}
		send := sends[0]
		actual, hasRestarted := a.actual[send.Server]
		if send.StatusPath == "" || !hasRestarted || actual.Start == send.Start {
			return send, true
		}
		r.step(dtdispatch.AttemptEnded{
			Number: number, Attempt: send.Attempt, Outcome: dtdispatch.OutcomeRestarted, NotSent: true, ServerStart: actual.Start, ConnectedAt: r.now,
		})
	}
}

// start has a server send the first event of a request that has reached it.
func (a *askedServers) start(name string, send *dtdispatch.SendRequest) {
	r := a.routers[name]
	ev := dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, ConnectedAt: r.now}
	if send.StatusPath != "" {
		ev.ServerStart = send.Start
	}
	a.fleet.perform(name, r.step(ev))
}

// beginAsked has streams begin at all routers in turn, and break off after their first events.
func (a *askedServers) beginAsked() {
	for range 60 {
		a.lastID++
		id := fmt.Sprint("stream-", a.lastID)
		name := a.names[a.lastID%len(a.names)]
		r := a.routers[name]
		number := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = id, a.waits })
		send, isSent := a.ask(name, number)
		if !isSent {
			continue
		}
		version := a.runningVersion(name, send.Server)
		if actual, hasRestarted := a.actual[send.Server]; hasRestarted {
			version = actual.Version
		}
		a.start(name, &send)
		a.begun = append(a.begun, begunStream{id: id, version: version, at: r.now})
		r.endAttempt(number, send.Attempt, dtdispatch.OutcomeCallerGone, func(ev *dtdispatch.AttemptEnded) { ev.ResponseStarted = true })
	}
}

// takeUpAsked has all streams taken up at other routers, and returns how many reach a server.
func (a *askedServers) takeUpAsked() int {
	goOn := 0
	for i, stream := range a.begun {
		name := a.names[(i+2)%len(a.names)]
		r := a.routers[name]
		number := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) {
			ev.ID, ev.ResumeAfter, ev.ResumesID, ev.CallerTimeout = stream.id+"-again", "3", stream.id, a.waits-r.now.Sub(stream.at)
		})
		if send, isSent := a.ask(name, number); isSent {
			goOn++
			a.Expect(a.runningVersion(name, send.Server)).To(Equal(stream.version), "%s at %s", stream.id, name)
			a.start(name, &send)
		}
	}
	return goOn
}

func newAskedServers(t *testing.T) *askedServers {
	t.Helper()
	f := newStreams(t, "r1", "r2", "r3")
	f.onSend, f.onForward = nil, nil
	f.setVersions("v1", "v1", "v1", "v1", "v2", "v2")
	f.run(time.Second, f.names...)
	server := f.store[3]
	server.Version, server.Start = "v2", 5
	f.list(3, server)
	f.run(5*time.Second, f.names...)
	return &askedServers{streams: f, actual: map[dtdispatch.ServerID]dtdispatch.Server{}}
}

// TestStreamsOfAServerWhoseRestartNobodyHasSeenAreMixed guards against streams of two versions: a server has restarted under
// its ID with other software, the routers have had no sign of it, and streams begin or go on there over new connections.
func TestStreamsOfAServerWhoseRestartNobodyHasSeenAreMixed(t *testing.T) {
	for name, play := range map[string]func(a *askedServers){
		"new streams":        func(a *askedServers) { a.restartUnseen(0, "v2"); a.beginAsked() },
		"streams that go on": func(a *askedServers) { a.beginAsked(); a.restartUnseen(0, "v2"); a.restartUnseen(3, "v1") },
		"to a third version": func(a *askedServers) { a.beginAsked(); a.restartUnseen(0, "v3"); a.beginAsked() },
		"listed only later on": func(a *askedServers) {
			a.restartUnseen(1, "v2")
			a.beginAsked()
			a.run(50*time.Millisecond, a.names...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAskedServers(t)
			play(a)
			goOn := a.takeUpAsked()
			a.Expect(goOn).To(BeNumerically(">=", len(a.begun)*9/10), "another server of the version takes them")
			a.Expect(a.refused).To(BeNumerically("<", len(a.begun)/10))
		})
	}
}

// TestAttemptAtARestartedServerCostsARetry guards against requests that are refused, or charged to the retry budget, although no server
// has been sent them.
func TestAttemptAtARestartedServerCostsARetry(t *testing.T) {
	for _, outcome := range []dtdispatch.Outcome{dtdispatch.OutcomeRestarted, dtdispatch.OutcomeConnectionLost, dtdispatch.OutcomeTimedOut, dtdispatch.OutcomeMalformed} {
		t.Run(outcome.String(), func(t *testing.T) {
			r := newRouterWithVersions(t, "v1", "v1", "v2", "v2")
			n := r.sendRequest("/stream/x")
			first := r.onlySend().Server
			notSent := func(ev *dtdispatch.AttemptEnded) { ev.NotSent, ev.ServerStart, ev.ConnectedAt = true, 7, r.now }
			r.endAttempt(n, 1, outcome, notSent)
			r.Expect(logRecords(r.effects, "retry")).To(BeEmpty())
			r.Expect(r.state.Crashes.Suspects).To(BeEmpty(), "no server has run the request")
			r.Expect(r.onlySend().Server).NotTo(Equal(first))
			r.endAttempt(n, 2, outcome, notSent)
			r.endAttempt(n, 3, outcome, notSent)
			r.Expect(r.onlyRefusal().MayHaveRun).To(BeFalse())
		})
	}
}

// TestServerIsAskedForItsStartInVain guards against calls to servers that tell nothing, and against streams that wait for them.
func TestServerIsAskedForItsStartInVain(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1", "v2")
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty(), "servers are replaced by others")
	replaced := serversOfVersions("v1", "v2", "v2")
	replaced[1].Start = 5
	r.listServers(3, replaced...)
	r.sendRequest("/once/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty(), "not a stream")
	r.sendRequest("/live/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty(), "others can't go on with it")
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).To(Equal("/status"))
	replaced = slices.Clone(replaced)
	replaced[0].Start = 6
	r.now = r.now.Add(3 * time.Minute)
	for range 2 { // The first follows a standstill.
		r.now = r.now.Add(500 * time.Millisecond)
		r.listServers(4, replaced...)
	}
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty(), "the release is over, and a server has restarted with its software")
	r = newRouterWithVersions(t, "v1", "v1")
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty(), "the server was not down")
	r.endAttempt(r.sendRequest("/single/x"), 1, dtdispatch.OutcomeUnreachable)
	var down dtdispatch.ServerID
	for id, h := range r.state.Health {
		if !h.DownAt.IsZero() {
			down = id
		}
	}
	r.now = r.now.Add(time.Second)
	for range 20 {
		r.sendRequest("/stream/x", withPrompt(uint64(r.now.UnixNano())))
		r.Expect(r.onlySend().StatusPath != "").To(Equal(r.onlySend().Server == down))
		r.now = r.now.Add(time.Millisecond)
	}
	r.Expect(down).NotTo(BeEmpty())
}

// TestStreamWaitsForTheListThoughItsServerHasNamedItsStart guards against streams that are held at a server that was down, although
// the connection is known to lead to the listed incarnation.
func TestStreamWaitsForTheListThoughItsServerHasNamedItsStart(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	r.sendRequest("/stream/x", resuming("earlier"))
	r.step(dtdispatch.VersionRecordRead{})
	r.endAttempt(r.sendRequest("/single/x"), 1, dtdispatch.OutcomeUnreachable)
	r.now = r.now.Add(time.Second)
	n := r.sendRequest("/stream/x")
	r.Expect(r.onlySend().HoldStream).To(BeTrue())
	r.Expect(r.onlySend().StatusPath).To(Equal("/status"))
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now, ServerStart: r.onlySendStart(n)})
	r.Expect(effectsOf[dtdispatch.ForwardStream](r.effects)).To(HaveLen(1))
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().HoldStream).To(BeFalse())
}

// onlySendStart returns the listed start of the server that has a request.
func (r *router) onlySendStart(n dtdispatch.RequestNumber) int64 {
	return r.state.Requests[n].ServerStart
}

// TestStreamTakesTheVersionOfALaterIncarnation guards against streams of two versions: the list shows a new incarnation of the server
// right after the first event, whose connection is known to lead to the former one.
func TestStreamTakesTheVersionOfALaterIncarnation(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1", "v1")
	r.endAttempt(r.sendRequest("/single/x"), 1, dtdispatch.OutcomeUnreachable)
	r.now = r.now.Add(time.Second)
	n := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = "first", callerTimeout })
	server := r.onlySend().Server
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now, ServerStart: r.onlySendStart(n)})
	r.now = r.now.Add(100 * time.Millisecond)
	r.listServers(2, restartedAt(3, server, r.now)...)
	r.Expect(r.state.Requests[n].Version).To(Equal("v1"))
	r.Expect(r.state.StreamVersions.Exceptions["first"].Version).To(Equal("v1"))
}

// TestStreamEndsAtAnIncarnationThatHasNamedItsStart guards against streams that are broken off although they go on at their version: the
// list shows a new incarnation of the server between the request and its first event.
func TestStreamEndsAtAnIncarnationThatHasNamedItsStart(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	r.sendRequest("/stream/x", resuming("earlier"))
	r.step(dtdispatch.VersionRecordRead{})
	r.listServers(2, serversOfVersions("v1")...)
	n := r.sendRequest("/stream/x", resuming("first"), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - time.Second })
	r.Expect(r.onlySend().StatusPath).To(Equal("/status"))
	connectedAt, start := r.now.Add(10*time.Millisecond), r.onlySendStart(n)
	r.now = r.now.Add(50 * time.Millisecond)
	r.listServers(3, restartedAt(1, "s0", r.now)...)
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: connectedAt, ServerStart: start})
	r.Expect(effectsOf[dtdispatch.EndAttempt](r.effects)).To(BeEmpty())
	r.Expect(effectsOf[dtdispatch.ForwardStream](r.effects)).To(HaveLen(1))
}

// TestServerThatHasRestartedIsAskedAgainAndAgain guards against streams that are refused after three servers in vain, since many have restarted
// and the list does not show it yet, and against a server that is never used again.
func TestServerThatHasRestartedIsAskedAgainAndAgain(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1", "v2", "v2")
	n := r.sendRequest("/stream/x")
	restarted := r.onlySend().Server
	r.endAttempt(n, 1, dtdispatch.OutcomeRestarted, func(ev *dtdispatch.AttemptEnded) { ev.NotSent, ev.ServerStart, ev.ConnectedAt = true, 7, r.now })
	r.Expect(logRecords(r.effects, "server_unlisted")).To(HaveLen(1))
	streamsAt := func() (count int) {
		for range 40 {
			r.sendRequest("/stream/x")
			if r.onlySend().Server == restarted {
				count++
			}
		}
		return count
	}
	r.Expect(streamsAt()).To(BeZero())
	r.sendRequest("/once/x")
	r.now = r.now.Add(900 * time.Millisecond)
	r.Expect(streamsAt()).To(BeZero())
	r.now = r.now.Add(200 * time.Millisecond)
	r.Expect(streamsAt()).To(BeNumerically(">", 0))
}

// TestServersAreAskedWhileTheStoreIsAway guards against new streams that are refused because servers have restarted whose entries the store
// can't take.
func TestServersAreAskedWhileTheStoreIsAway(t *testing.T) {
	f := newAskedServers(t)
	r := f.routers["r1"]
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).NotTo(BeEmpty())
	f.store = nil
	f.run(6*time.Second, f.names...)
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().StatusPath).To(BeEmpty())
}
