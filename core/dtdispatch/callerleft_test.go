package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestRequestsOfCallersThatHaveLeftAreHeld guards against requests that take the place of others among those that are held, and are
// placed in the end, although their callers have left.
func TestRequestsOfCallersThatHaveLeftAreHeld(t *testing.T) {
	const maxHeld = 256
	once := func(r *router) dtdispatch.RequestNumber { return r.sendRequest("/once/x") }
	for name, tc := range map[string]struct {
		send func(r *router) dtdispatch.RequestNumber
		hold func(t *testing.T) *router
		end  func(r *router)
	}{
		"until the first configuration": {
			once,
			func(t *testing.T) *router {
				t.Helper()
				return newEmptyRouter(t, "r1")
			},
			func(r *router) {
				r.step(dtdispatch.ConfigReceived{Config: testConfig(1)})
				r.listServers(1, testServers(2)...)
			},
		},
		"after a pause": {
			once,
			func(t *testing.T) *router {
				t.Helper()
				r := newRouter(t, 2)
				r.resume()
				return r
			},
			func(r *router) {
				r.step(dtdispatch.OperatorKeysFailed{Interrupted: true}) // An answer to a call from before the pause would not end it.
				r.step(dtdispatch.OperatorKeysRead{Unchanged: true})
				r.listServers(3, testServers(2)...)
			},
		},
		"until the record of versions is read": {
			func(r *router) dtdispatch.RequestNumber { return r.sendRequest("/stream/x", resuming("s")) },
			func(t *testing.T) *router {
				t.Helper()
				r := newRouterWithVersions(t, "v1", "v2")
				r.sendRequest("/stream/x", resuming("first"))
				r.step(dtdispatch.CallerLeft{Number: r.lastNumber})
				return r
			},
			func(r *router) { r.step(recordOfTwoVersions()) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := tc.hold(t)
			for range maxHeld {
				number := tc.send(r)
				r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(BeEmpty())
				r.step(dtdispatch.CallerLeft{Number: number})
				r.Expect(effectsOf[dtdispatch.AbortResponse](r.effects)).To(ConsistOf(dtdispatch.AbortResponse{Number: number}))
			}
			stays := tc.send(r)
			r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(BeEmpty(), "there is room")
			r.now = r.now.Add(1)
			tc.end(r)
			r.Expect(sentNumbers(r.effects)).To(ConsistOf(stays))
		})
	}
}

// TestRequestOfACallerThatHasLeftWaitsForRoom guards against a request that waits for room at brittle servers although its caller
// has left, and is then placed before others.
func TestRequestOfACallerThatHasLeftWaitsForRoom(t *testing.T) {
	r := newSingleRouter(t, 1)
	r.endAttempt(r.sendRequest("/once/x"), 1, dtdispatch.OutcomeCompleted, brittleReport(r, true))
	r.advance(time.Second)
	var running, left dtdispatch.RequestNumber
	for len(r.state.RoomWaits) == 0 {
		running, left = left, r.sendRequest("/once/x")
	}
	r.step(dtdispatch.CallerLeft{Number: left})
	r.Expect(effectsOf[dtdispatch.AbortResponse](r.effects)).To(ConsistOf(dtdispatch.AbortResponse{Number: left}))
	r.Expect(r.state.Requests).NotTo(HaveKey(left))
	r.Expect(r.state.RoomWaits).To(BeEmpty())
	next := r.sendRequest("/once/x")
	r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(BeEmpty(), "it may wait in its place")
	r.now = r.now.Add(100 * time.Millisecond)
	r.endAttempt(running, 1, dtdispatch.OutcomeCompleted)
	r.Expect(sentNumbers(r.effects)).To(ConsistOf(next))
}
