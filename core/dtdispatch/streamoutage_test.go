package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// resetConnections has each server drop one connection of a router.
func (f *streams) resetConnections(name string) {
	r := f.routers[name]
	var others []dtdispatch.RequestNumber
	lost := map[dtdispatch.ServerID]dtdispatch.RequestNumber{}
	for range 60 {
		n := r.sendRequest("/stream/x")
		if _, isKnown := lost[r.onlySend().Server]; isKnown {
			others = append(others, n)
			continue
		}
		lost[r.onlySend().Server] = n
	}
	for _, n := range others {
		r.endAttempt(n, 1, dtdispatch.OutcomeCallerGone)
	}
	for server, n := range lost {
		f.perform(name, append([]dtdispatch.Effect(nil), r.step(dtdispatch.AttemptEnded{Number: n, Attempt: 1, Outcome: dtdispatch.OutcomeConnectionLost})...))
		r.step(dtdispatch.ServerChecked{Server: server, Connected: true})
		if request := r.state.Requests[n]; request != nil {
			r.endAttempt(n, request.Attempt, dtdispatch.OutcomeCallerGone)
		}
	}
	f.Expect(lost).To(HaveLen(len(r.state.Roster.Servers)))
}

// TestStreamsGoOnAfterConnectionsWereResetWhileTheStoreIsAway guards against streams that no server takes up for as long
// as the store is away, and servers that count as failing for that.
func TestStreamsGoOnAfterConnectionsWereResetWhileTheStoreIsAway(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v1"}, {"v1", "v1", "v2", "v2"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			f := newStreams(t, "r1", "r2", "r3")
			f.setVersions(versions...)
			f.run(5*time.Second, f.names...)
			f.begin(3)
			f.takeUp() // They have read the record before.
			f.store = nil
			f.run(2*time.Second, f.names...)
			f.resetConnections("r1")
			f.run(10*time.Second, f.names...)
			r := f.routers["r1"]
			wentOn := 0
			for i := range 40 {
				id := fmt.Sprint("first-", i)
				n := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = id, f.waits })
				r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
				r.endAttempt(n, 1, dtdispatch.OutcomeCallerGone)
				n = r.sendRequest("/stream/x", resuming(id), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = f.waits - time.Second })
				f.perform("r1", append([]dtdispatch.Effect(nil), r.effects...))
				f.run(300*time.Millisecond, f.names...)
				if r.state.Requests[n] == nil {
					continue
				}
				r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
				wentOn += len(effectsOf[dtdispatch.ForwardStream](r.effects))
				r.endAttempt(n, 1, dtdispatch.OutcomeCallerGone)
			}
			f.Expect(wentOn).To(BeNumerically(">=", 20), "half of the streams that begin")
		})
	}
}

// TestConnectionThatOutlivesALossShowsThatTheServerLives guards against streams that are held for a loss of which an
// older connection shows that the server has not restarted.
func TestConnectionThatOutlivesALossShowsThatTheServerLives(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	r.step(dtdispatch.VersionRecordRead{})
	openedAt := r.now
	r.now = r.now.Add(time.Second)
	r.endAttempt(r.sendRequest("/single/x"), 1, dtdispatch.OutcomeConnectionLost)
	r.step(dtdispatch.ServerChecked{Server: "s0"})
	r.now = r.now.Add(time.Second)
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().HoldStream).To(BeTrue())
	n := r.sendRequest("/stream/x")
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: openedAt})
	r.sendRequest("/stream/x")
	r.Expect(r.onlySend().HoldStream).To(BeFalse())
}

// TestServerOfAHeldStreamDoesNotCountAsFailing guards against servers that are avoided because the list did not confirm
// them in time.
func TestServerOfAHeldStreamDoesNotCountAsFailing(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	r.endAttempt(r.sendRequest("/stream/x"), 1, dtdispatch.OutcomeUnconfirmed)
	r.Expect(r.state.Health["s0"].FailureRate).To(BeZero())
}

// TestStreamMovesAtOnceWhileTheStoreIsAway guards against callers who leave while their stream is held at a server that
// the list can't confirm, though another server could go on with it.
func TestStreamMovesAtOnceWhileTheStoreIsAway(t *testing.T) {
	r := newRouterWithVersions(t, "v1", "v1", "v1", "v2")
	r.now = r.now.Add(4 * time.Second)
	n := r.sendRequest("/stream/x", resuming("first"))
	read := recordOfTwoVersions()
	read.Record.Exceptions = map[string]dtdispatch.StreamException{"first": {Version: "v1", At: r.now}}
	r.step(read)
	server := r.onlySend().Server
	r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.VersionNews{Lost: []dtdispatch.ServerID{server}}})
	r.now = r.now.Add(10 * time.Millisecond)
	r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, ConnectedAt: r.now})
	r.Expect(effectsOf[dtdispatch.EndAttempt](r.effects)).To(HaveLen(1))
	r.endAttempt(n, 1, dtdispatch.OutcomeUnconfirmed)
	r.Expect(r.onlySend().Server).NotTo(Equal(server))
}
