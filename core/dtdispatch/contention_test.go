package dtdispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// newSharingRouter returns a router that shares the room of one server with two slots, which one of its requests of 200 ms
// has used before.
func newSharingRouter(t *testing.T) *router {
	t.Helper()
	r := newEmptyRouter(t, "r1")
	r.state.Settings.SharesRoom = true
	r.step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	server := testServers(1)
	server[0].Slots = 2
	r.listServers(1, server...)
	r.step(dtdispatch.RoutersListed{Routers: []dtdispatch.Router{{Name: "r1", Address: "r1:1", Domain: "d0", Cores: 1}}})
	n := r.sendRequest("/once/a")
	r.now = r.now.Add(200 * time.Millisecond)
	r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
	return r
}

// setRoutes changes all routes of the configuration of a router.
func setRoutes(r *router, modify func(*dtdispatch.Route)) {
	routes := r.state.Config.RoutesByHost["h.example"]
	for i := range routes {
		modify(&routes[i])
	}
}

// TestRequestsWaitForFullServers guards against requests that are sent to servers that have no slot for them, where they
// would be served in the order of their arrival, and against requests that wait although a slot has become free.
func TestRequestsWaitForFullServers(t *testing.T) {
	r := newSharingRouter(t)
	setRoutes(r, func(route *dtdispatch.Route) { route.Priority = 2 })
	first := r.sendRequest("/once/a")
	r.sendRequest("/once/a")
	r.onlySend()
	r.sendRequest("/once/a")
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
	urgent := r.sendRequest("/once/a", func(ev *dtdispatch.RequestArrived) { ev.APIKey = "k2" })
	r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(BeEmpty())
	r.endAttempt(first, 1, dtdispatch.OutcomeCompleted)
	r.Expect(r.onlySend().Number).To(Equal(urgent), "of the more urgent account")
	r.Expect(r.state.Contention["a"].Queue.Len).To(Equal(1))
}

// TestRequestThatCanNotStartIsRefused guards against a request that waits although its deadline will have passed before its
// turn, and against refused callers that are all told to return at the same time.
func TestRequestThatCanNotStartIsRefused(t *testing.T) {
	r := newSharingRouter(t)
	short := func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = 900 * time.Millisecond }
	var refusals []dtdispatch.Refuse
	for range 20 {
		r.sendRequest("/once/a", short)
		refusals = append(refusals, effectsOf[dtdispatch.Refuse](r.effects)...)
	}
	r.Expect(r.state.Contention["a"].Queue.Len).To(BeNumerically("~", 3, 1), "10 a second for half of the 500 ms until it must start")
	r.Expect(len(refusals)).To(BeNumerically(">=", 10))
	for i, refusal := range refusals {
		r.Expect(refusal.Status).To(Equal(503))
		r.Expect(refusal.MayHaveRun).To(BeFalse())
		r.Expect(refusal.Reason).To(Equal(dtdispatch.ReasonWaitTooLong))
		r.Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", 300*time.Millisecond)))
		if i > 0 {
			r.Expect(refusal.RetryAfter).To(BeNumerically(">=", refusals[i-1].RetryAfter))
		}
	}
	r.Expect(refusals[1].RetryAfter).To(BeNumerically(">", refusals[0].RetryAfter))
}

// TestCallerThatLeavesEndsItsWait guards against a request that is sent although its caller has left while it waited.
func TestCallerThatLeavesEndsItsWait(t *testing.T) {
	r := newSharingRouter(t)
	first := r.sendRequest("/once/a")
	r.sendRequest("/once/a")
	left := r.sendRequest("/once/a")
	r.step(dtdispatch.CallerLeft{Number: left})
	r.Expect(effectsOf[dtdispatch.AbortResponse](r.effects)).To(ConsistOf(dtdispatch.AbortResponse{Number: left}))
	r.Expect(r.state.Requests).NotTo(HaveKey(left))
	r.endAttempt(first, 1, dtdispatch.OutcomeCompleted)
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
	r.step(dtdispatch.CallerLeft{Number: left})
	r.Expect(effectsOf[dtdispatch.AbortResponse](r.effects)).To(BeEmpty())
}

// TestWaitEndsAtTheDeadline guards against a request that waits for servers that never have room until it is too late, and
// against a router that stops and leaves its waiting requests without an answer.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	for reason, timeout := range map[dtdispatch.Reason]time.Duration{dtdispatch.ReasonWaitExpired: 5 * time.Second, dtdispatch.ReasonStopping: time.Minute} {
		t.Run(reason.String(), func(t *testing.T) {
			r := newSharingRouter(t)
			setRoutes(r, func(route *dtdispatch.Route) { route.Timeout = timeout })
			long := func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = timeout }
			r.sendRequest("/once/a", long)
			r.sendRequest("/once/a", long)
			waiting := r.sendRequest("/once/a", long)
			if reason == dtdispatch.ReasonStopping {
				r.step(dtdispatch.StopRequested{})
			}
			refusals := effectsOf[dtdispatch.Refuse](r.advance(8 * time.Second))
			r.Expect(refusals).To(HaveLen(1))
			r.Expect(refusals[0].Number).To(Equal(waiting))
			r.Expect(refusals[0].MayHaveRun).To(BeFalse())
			r.Expect(refusals[0].Reason).To(Equal(reason))
		})
	}
}

// TestRetriesDoNotWait guards against a request that has been admitted and waits again behind newcomers.
func TestRetriesDoNotWait(t *testing.T) {
	r := newSharingRouter(t)
	other := testServers(2)
	other[0].Slots, other[1].Slots = 2, 2
	r.listServers(2, other...)
	first := r.sendRequest("/read/a")
	for range 6 {
		r.sendRequest("/read/a")
	}
	r.Expect(r.state.Contention["a"].Queue.Len).To(BeNumerically(">", 0))
	r.endAttempt(first, 1, dtdispatch.OutcomeNotRun, func(ev *dtdispatch.AttemptEnded) { ev.Status = 503 })
	sends := effectsOf[dtdispatch.SendRequest](r.effects)
	r.Expect(sends).NotTo(BeEmpty())
	r.Expect(sends[0].Number).To(Equal(first))
	r.Expect(sends[0].Attempt).To(Equal(2))
}

// TestNoRequestWaitsWithoutTheContract guards against a change of what is served without the contract: requests go to full
// servers at once, refusals name the constant, and the departure of a caller without an attempt has no effect.
func TestNoRequestWaitsWithoutTheContract(t *testing.T) {
	r := newSharingRouter(t)
	r.state.Settings.SharesRoom = false
	r.state.Contention = map[string]*dtdispatch.Contention{}
	var last dtdispatch.RequestNumber
	for range 30 {
		last = r.sendRequest("/once/a")
		r.onlySend()
	}
	r.step(dtdispatch.CallerLeft{Number: last})
	for _, e := range r.effects {
		r.Expect(e).To(BeAssignableToTypeOf(dtdispatch.SetTimer{}))
	}
	for attempt := 1; len(effectsOf[dtdispatch.Refuse](r.effects)) == 0; attempt++ {
		r.endAttempt(last, attempt, dtdispatch.OutcomeNotRun, func(ev *dtdispatch.AttemptEnded) { ev.Status = 503 })
	}
	r.Expect(r.onlyRefusal().RetryAfter).To(Equal(300 * time.Millisecond))
	r.Expect(r.state.Contention).To(BeEmpty())
}

// TestWaitingRequestIsPlacedByAnOlderConfiguration guards against a request that has waited for room and is handled by the configuration
// of its arrival: with a key that has been withdrawn, on a route that is gone, or at a service that the route has left.
func TestWaitingRequestIsPlacedByAnOlderConfiguration(t *testing.T) {
	for name, change := range map[string]func(c *dtdispatch.Config){
		"key withdrawn": func(c *dtdispatch.Config) { delete(c.AccountsByKey, "k1") },
		"route removed": func(c *dtdispatch.Config) { *c = *withoutRoute(c, "/once/") },
		"route moved": func(c *dtdispatch.Config) {
			c.Services["b"] = c.Services["a"]
			c.MatchRoute("h.example", "/once/x").Shares = []dtdispatch.Share{{Service: "b", Weight: 1}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSharingRouter(t)
			first := r.sendRequest("/once/a")
			r.sendRequest("/once/a")
			waiting := r.sendRequest("/once/a")
			r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
			servers := testServers(2)
			servers[0].Slots, servers[1].Service = 2, "b"
			r.listServers(2, servers...)
			config := testConfig(2)
			change(config)
			effects := r.step(dtdispatch.ConfigReceived{Config: config})
			r.endAttempt(first, 1, dtdispatch.OutcomeCompleted)
			effects = append(effects, r.effects...)
			refusals, sends := effectsOf[dtdispatch.Refuse](effects), effectsOf[dtdispatch.SendRequest](effects)
			switch name {
			case "key withdrawn":
				r.Expect(refusals).To(ConsistOf(And(HaveField("Number", waiting), HaveField("Status", 401))))
			case "route removed":
				r.Expect(refusals).To(ConsistOf(And(HaveField("Number", waiting), HaveField("Status", 404))))
			case "route moved":
				r.Expect(sends).To(ConsistOf(And(HaveField("Number", waiting), HaveField("Server", dtdispatch.ServerID("s1")))))
			}
		})
	}
}

// withoutRoute returns a configuration without the route of a prefix.
func withoutRoute(c *dtdispatch.Config, prefix string) *dtdispatch.Config {
	changed := *c
	changed.RoutesByHost = map[string][]dtdispatch.Route{}
	for host, routes := range c.RoutesByHost {
		changed.RoutesByHost[host] = slices.DeleteFunc(slices.Clone(routes), func(r dtdispatch.Route) bool { return r.Prefix == prefix })
	}
	return &changed
}
