package dtdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// newCutOff returns a fleet of which r1 is cut off and knows it.
func newCutOff(t *testing.T, servers int, names ...string) (*network, *router) {
	t.Helper()
	n := newNetwork(t, servers, names...)
	n.cut["r1"] = cutRefused
	n.request("r1", "/read/x")
	n.run(time.Second)
	r := n.routers["r1"]
	NewWithT(t).Expect(r.state.Reach["a"].IsCutOff()).To(BeTrue())
	n.reset()
	return n, r
}

// routersOf returns the routers that an attempt may go by way of.
func routersOf(via []dtdispatch.Via) []string {
	var names []string
	for _, v := range via {
		names = append(names, v.Router)
	}
	return names
}

// TestRouterOpensTunnelsThatItMayNot guards against requests that reach a server through a router which knows that the
// server must get none, or can't reach it itself.
func TestRouterOpensTunnelsThatItMayNot(t *testing.T) {
	request := dtdispatch.TunnelRequested{Number: 7, From: "r2", Server: "s0", Start: 1}
	for name, tc := range map[string]struct {
		prepare func(*router)
		request func(*dtdispatch.TunnelRequested)
		allowed bool
	}{
		"a server that is listed": {allowed: true},
		"a server that is draining, of which the other router decides": {allowed: true, prepare: func(r *router) {
			list := testServers(3)
			list[0].Draining, list[0].Seq = true, 2
			r.listServers(2, list...)
		}},
		"another incarnation":       {request: func(ev *dtdispatch.TunnelRequested) { ev.Start = 2 }},
		"a server that is unlisted": {request: func(ev *dtdispatch.TunnelRequested) { ev.Server = "s9" }},
		"a failure domain that is out": {prepare: func(r *router) {
			r.step(dtdispatch.DomainsOutOfServiceListed{Domains: []string{"d0"}, Revision: 2})
		}},
		"a server that has announced to leave": {prepare: func(r *router) {
			r.announce("s0", dtdispatch.ServerReport{ReceivedAt: r.now, Leaving: true})
		}},
		"a server that has asked for a pause": {prepare: func(r *router) {
			r.announce("s0", dtdispatch.ServerReport{ReceivedAt: r.now, Backoff: time.Minute})
		}},
		"a server at an own address": {prepare: func(r *router) {
			list := testServers(3)
			list[0].Address = "10.9.9.9:80"
			r.listServers(2, list...)
		}},
		"a router that is stopping": {prepare: func(r *router) { r.step(dtdispatch.StopRequested{}) }},
		"a router that was paused":  {prepare: func(r *router) { r.step(dtdispatch.Paused{Gap: 3 * time.Second}) }},
		"a router that is cut off": {prepare: func(r *router) {
			r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r9", Address: "r9:1", Domain: "d0", Start: 1}})
			r.sendRequest("/read/x")
			for i := range 3 {
				r.endAttempt(r.lastNumber, i+1, dtdispatch.OutcomeUnreachable)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r, ev := newRouter(t, 3), request
			if tc.prepare != nil {
				tc.prepare(r)
			}
			if tc.request != nil {
				tc.request(&ev)
			}
			r.step(ev)
			opened, refused := effectsOf[dtdispatch.OpenTunnel](r.effects), effectsOf[dtdispatch.RefuseTunnel](r.effects)
			if tc.allowed {
				r.Expect(opened).To(Equal([]dtdispatch.OpenTunnel{{Number: 7, Address: "10.0.0.0:80", ConnectTimeout: connectTimeout}}))
				r.Expect(refused).To(BeEmpty())
				return
			}
			r.Expect(opened).To(BeEmpty())
			r.Expect(refused).To(HaveLen(1))
			r.Expect(refused[0].Number).To(Equal(dtdispatch.TunnelNumber(7)))
			r.Expect(refused[0].Detail).NotTo(BeEmpty())
		})
	}
}

// announce delivers a response of a server with a report.
func (r *router) announce(id dtdispatch.ServerID, report dtdispatch.ServerReport) {
	for range 50 {
		number := r.sendRequest("/single/x")
		isWanted := r.onlySend().Server == id
		r.endAttempt(number, 1, dtdispatch.OutcomeCompleted, func(ev *dtdispatch.AttemptEnded) {
			if isWanted {
				ev.Status, ev.Report = 200, &report
			}
		})
		if isWanted {
			return
		}
	}
	r.Expect(id).To(BeEmpty(), "no request was sent to the server")
}

// TestRoutersThatCannotHelpAreAsked guards against requests that fail since they go by way of routers that are cut off
// themselves, have lately opened no tunnel or are silent, and against bytes that cross failure domains without need.
func TestRoutersThatCannotHelpAreAsked(t *testing.T) {
	via := func(r *router) []string {
		r.sendRequest("/read/x")
		names := routersOf(r.onlySend().Via)
		slices.Sort(names)
		return names
	}
	t.Run("own failure domain first, and one of another", func(t *testing.T) {
		f := newFleet(t, "r1", "r2", "r3", "r4", "r5")
		for _, name := range []string{"o1", "o2"} {
			f.routers[name] = newRouterInDomain(t, name, "d1")
		}
		n := newNetworkOf(f, 6, []string{"r1", "r2", "r3", "r4", "r5", "o1", "o2"})
		n.cut["r1"] = cutRefused
		n.request("r1", "/read/x")
		n.run(time.Second)
		r := n.routers["r1"]
		r.sendRequest("/read/x")
		names := routersOf(r.onlySend().Via)
		r.Expect(names).To(HaveLen(3))
		r.Expect(names[:2]).To(HaveEach(HavePrefix("r")))
		r.Expect(names[2]).To(HavePrefix("o"))
	})
	t.Run("one that is cut off", func(t *testing.T) {
		n, r := newCutOff(t, 6, "r1", "r2", "r3")
		r.Expect(via(r)).To(Equal([]string{"r2", "r3"}))
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r2", Address: "r2:1", Domain: "d0", Start: n.routers["r2"].state.Settings.Start, Unreachable: []string{"a"}}})
		r.Expect(via(r)).To(Equal([]string{"r3"}))
	})
	t.Run("one that has opened no tunnel", func(t *testing.T) {
		n, r := newCutOff(t, 6, "r1", "r2", "r3")
		number := r.sendRequest("/read/x")
		r.endAttempt(number, 1, dtdispatch.OutcomeUnreachable, func(ev *dtdispatch.AttemptEnded) { ev.FailedVia = []string{"r2", "r3"} })
		r.Expect(r.onlySend().Via).To(BeEmpty(), "nobody is left")
		n.run(1100 * time.Millisecond)
		r.Expect(via(r)).To(Equal([]string{"r2", "r3"}))
	})
	t.Run("one that is silent", func(t *testing.T) {
		n, r := newCutOff(t, 6, "r1", "r2", "r3")
		n.down["r2"] = true
		n.run(3 * time.Second)
		r.Expect(via(r)).To(Equal([]string{"r3"}))
	})
}

// TestIdleRouterThatIsCutOffIsAsked guards against a router that has no requests of its own, does not notice that it is cut
// off, and is asked for tunnels again and again: the servers are blamed.
func TestIdleRouterThatIsCutOffIsAsked(t *testing.T) {
	g, n := NewWithT(t), newNetwork(t, 6, "r1", "r2", "r3")
	n.cut["r1"], n.cut["r2"] = cutSilent, cutSilent
	for range 12 {
		n.request("r1", "/once/x")
		n.run(250 * time.Millisecond)
	}
	g.Expect(n.logged("r2", "servers_unreachable")).To(Equal(1))
	n.reset()
	for range 20 {
		n.request("r1", "/once/x")
		n.run(250 * time.Millisecond)
	}
	g.Expect(n.opened["r2"]).To(BeZero())
	g.Expect(n.served["r1"]).To(Equal(20))
}

// TestTunnelThatIsNotOpenedCountsAgainstTheServer guards against sound servers that are avoided, taken for down by all
// routers or not tried again, since routers were asked in vain for a tunnel to them.
func TestTunnelThatIsNotOpenedCountsAgainstTheServer(t *testing.T) {
	_, r := newCutOff(t, 1, "r1", "r2", "r3", "r4", "r5")
	number := r.sendRequest("/read/x")
	first := r.onlySend()
	r.Expect(first.Via).To(HaveLen(3))
	r.endAttempt(number, 1, dtdispatch.OutcomeUnreachable, func(ev *dtdispatch.AttemptEnded) { ev.FailedVia = routersOf(first.Via) })
	second := r.onlySend()
	r.Expect(second.Server).To(Equal(first.Server))
	r.Expect(routersOf(second.Via)).To(HaveLen(1), "the one that is left")
	r.Expect(r.state.Health["s0"].IsAvoided(r.now)).To(BeFalse())
	r.Expect(effectsOf[dtdispatch.SendToPeers](r.effects)).To(BeEmpty())
	r.endAttempt(number, 2, dtdispatch.OutcomeUnreachable, func(ev *dtdispatch.AttemptEnded) { ev.Via = second.Via[0].Router })
	r.Expect(r.state.Health["s0"].IsAvoided(r.now)).To(BeTrue(), "that router could not connect to it")
}

// TestRequestTriesAllRouters guards against a request that asks one router after the other, all of which refuse it.
func TestRequestTriesAllRouters(t *testing.T) {
	names := []string{"r1"}
	for i := range 20 {
		names = append(names, fmt.Sprintf("x%d", i))
	}
	_, r := newCutOff(t, 6, names...)
	number, attempts := r.sendRequest("/read/x"), 0
	for {
		sends := effectsOf[dtdispatch.SendRequest](r.effects)
		if len(sends) == 0 {
			break
		}
		attempts++
		r.endAttempt(number, attempts, dtdispatch.OutcomeUnreachable, func(ev *dtdispatch.AttemptEnded) { ev.FailedVia = routersOf(sends[0].Via) })
	}
	r.Expect(attempts).To(Equal(3))
	r.Expect(r.onlyRefusal().MayHaveRun).To(BeFalse())
}

// TestRequestsThroughTunnelsAreCountedTwice guards against budgets, cold limits and named rates that two routers count for
// the same request, or that none counts.
func TestRequestsThroughTunnelsAreCountedTwice(t *testing.T) {
	n, r := newCutOff(t, 6, "r1", "r2")
	cold := testServers(6)
	for i := range cold {
		cold[i].ColdFor, cold[i].Seq = 10*time.Second, 2
	}
	n.store = cold
	n.revision++
	n.run(time.Second)
	r.sendRequest("/read/x") // The first look at a cold server starts its budget.
	n.run(time.Second)
	other := n.routers["r2"].state
	requests, retries := r.state.RetryBudgets["a"].Usage(bounds, 2, r.now).Requests, 0
	for range 3 {
		number := r.sendRequest("/read/x")
		send := r.onlySend()
		r.Expect(send.Via).NotTo(BeEmpty())
		n.fleet.perform("r2", n.routers["r2"].step(dtdispatch.TunnelRequested{Number: 1, From: "r1", Server: send.Server, Start: 1}))
		r.endAttempt(number, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.Via, ev.ConnectedAt = "r2", r.now })
		retries += len(effectsOf[dtdispatch.SendRequest](r.effects))
	}
	usage := r.state.RetryBudgets["a"].Usage(bounds, 2, r.now)
	r.Expect(usage.Requests).To(Equal(requests + 3))
	r.Expect(usage.Retries).To(Equal(retries))
	r.Expect(retries).To(BeNumerically(">", 0))
	r.Expect(r.state.ColdBudgets).NotTo(BeEmpty())
	r.Expect(other.ColdBudgets).To(BeEmpty())
	r.Expect(other.Requests).To(BeEmpty())
}

// TestStreamChangesItsVersionInATunnel guards against streams of two versions: one that its caller takes up at a router
// that is cut off goes on by way of another, also after that tunnel has broken.
func TestStreamChangesItsVersionInATunnel(t *testing.T) {
	n := newNetwork(t, 6, "r1", "r2", "r3")
	n.store = testServers(6)
	for i := range n.store {
		n.store[i].Version, n.store[i].Seq = fmt.Sprintf("v%d", i%2), 2
	}
	n.revision++
	n.run(6 * time.Second)
	n.cut["r1"] = cutRefused
	n.request("r1", "/read/x")
	n.run(time.Second)
	r := n.routers["r1"]
	began := r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout })
	first := r.onlySend()
	r.Expect(first.Via).NotTo(BeEmpty())
	r.step(dtdispatch.ResponseStarted{Number: began, Attempt: 1, ConnectedAt: r.now})
	r.endAttempt(began, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) {
		ev.ResponseStarted, ev.Via, ev.ConnectedAt, ev.Progress = true, "r2", r.now, dtdispatch.ProgressEvents
	})
	second := r.onlySend()
	r.Expect(second.Via).NotTo(BeEmpty())
	version := func(id dtdispatch.ServerID) string { return r.state.Roster.Servers[id].Version }
	r.Expect(version(second.Server)).To(Equal(version(first.Server)))
	r.Expect(second.HoldStream).To(BeTrue())
}

// TestRequestThatMayHaveRunGoesThroughASecondTunnel guards against requests that run twice: the tunnel breaks after it was
// connected.
func TestRequestThatMayHaveRunGoesThroughASecondTunnel(t *testing.T) {
	for _, outcome := range []dtdispatch.Outcome{dtdispatch.OutcomeConnectionLost, dtdispatch.OutcomeUnacknowledged} {
		_, r := newCutOff(t, 6, "r1", "r2", "r3")
		number := r.sendRequest("/once/x")
		server := r.onlySend().Server
		r.endAttempt(number, 1, outcome, func(ev *dtdispatch.AttemptEnded) { ev.Via, ev.ConnectedAt = "r2", r.now })
		r.Expect(r.onlyRefusal().MayHaveRun).To(BeTrue())
		if health := r.state.Health[server]; health != nil {
			r.Expect(health.IsAvoided(r.now)).To(BeFalse())
		}
	}
}

// TestNoticesStayWithOneOfTwoRouters guards against requests that reach a server which has announced that it wants none,
// since only one of the two routers that share a tunnel has heard of it.
func TestNoticesStayWithOneOfTwoRouters(t *testing.T) {
	for name, report := range map[string]dtdispatch.ServerReport{"leaving": {Leaving: true}, "a pause": {Backoff: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			for _, hearer := range []string{"r1", "r2"} {
				g := NewWithT(t)
				n, r := newCutOff(t, 2, "r1", "r2", "r3")
				n.fleet.perform("r2", n.routers["r2"].step(dtdispatch.TunnelRequested{Number: 1, From: "r3", Server: "s0", Start: 1}))
				for range 4 {
					number := r.sendRequest("/read/x")
					n.fleet.perform("r2", n.routers["r2"].step(dtdispatch.TunnelRequested{Number: 1, From: "r1", Server: r.onlySend().Server, Start: 1}))
					r.endAttempt(number, 1, dtdispatch.OutcomeCompleted, func(ev *dtdispatch.AttemptEnded) { ev.Via, ev.ConnectedAt, ev.Status = "r2", r.now, 200 })
				}
				heard := report
				heard.ReceivedAt = r.now
				before := n.messagesSent["r1"] + n.messagesSent["r2"] + n.messagesSent["r3"]
				n.routers[hearer].announce("s0", heard)
				n.fleet.perform(hearer, n.routers[hearer].effects)
				for _, other := range n.names {
					g.Expect(n.routers[other].isSent("s0")).To(BeFalse(), "%s after %s has heard", other, hearer)
				}
				sent := n.messagesSent["r1"] + n.messagesSent["r2"] + n.messagesSent["r3"] - before
				g.Expect(sent).To(BeNumerically("<=", 4), "messages must not go round")
			}
		})
	}
}

// TestNoticesAreToldWithEachResponse guards against a message for each of many responses of a server that leaves or has
// asked for a pause.
func TestNoticesAreToldWithEachResponse(t *testing.T) {
	for name, report := range map[string]dtdispatch.ServerReport{"leaving": {Leaving: true}, "a pause": {Backoff: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			_, r := newCutOff(t, 1, "r1", "r2")
			var numbers []dtdispatch.RequestNumber
			for range 10 {
				numbers = append(numbers, r.sendRequest("/single/x"))
				r.onlySend()
			}
			told := 0
			for _, number := range numbers {
				r.now = r.now.Add(10 * time.Millisecond)
				heard := report
				heard.ReceivedAt = r.now
				r.endAttempt(number, 1, dtdispatch.OutcomeCompleted, func(ev *dtdispatch.AttemptEnded) { ev.Status, ev.Via, ev.Report = 200, "r2", &heard })
				for _, send := range effectsOf[dtdispatch.SendToPeers](r.effects) {
					if _, isNews := send.Message.(*dtdispatch.NoticeNews); isNews {
						told++
					}
				}
			}
			r.Expect(told).To(Equal(1))
		})
	}
}

// isSent reports whether the router sends a server requests.
func (r *router) isSent(id dtdispatch.ServerID) bool {
	isSent := false
	for range 20 {
		number := r.sendRequest("/single/x")
		for _, send := range effectsOf[dtdispatch.SendRequest](r.effects) {
			isSent = isSent || send.Server == id
			r.endAttempt(number, 1, dtdispatch.OutcomeCompleted)
		}
	}
	return isSent
}

// TestResponseThatEndsWithItsTunnelLooksComplete guards against parts of responses that are taken for whole ones: the
// router that has opened the tunnel is killed, which ends the response like its server does.
func TestResponseThatEndsWithItsTunnelLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		via      string
		checked  dtdispatch.ServerChecked
		complete bool
	}{
		"the router lives, and the server":       {"r2", dtdispatch.ServerChecked{Via: "r2", Connected: true, Answered: true}, true},
		"the server is busy":                     {"r2", dtdispatch.ServerChecked{Via: "r2"}, false},
		"the router has connected to the server": {"r2", dtdispatch.ServerChecked{Via: "r2", Connected: true}, false},
		"the server is gone":                     {"r2", dtdispatch.ServerChecked{Via: "r2", Refused: true}, false},
		"the router is gone":                     {"r2", dtdispatch.ServerChecked{}, false},
		"it is not known which router it was":    {"", dtdispatch.ServerChecked{Connected: true, Answered: true}, false},
		"it was a router that was not asked":     {"r9", dtdispatch.ServerChecked{Connected: true, Answered: true}, false},
		"the server was reached by another way":  {"r2", dtdispatch.ServerChecked{Connected: true, Answered: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, r := newCutOff(t, 6, "r1", "r2", "r3")
			number := r.sendRequest("/live/x")
			effects := r.step(dtdispatch.ResponseClosed{Number: number, Attempt: 1, Via: tc.via})
			checks := effectsOf[dtdispatch.CheckServer](effects)
			if tc.via == "r2" {
				r.Expect(checks).To(HaveLen(1))
				r.Expect(routersOf(checks[0].Via)).To(Equal([]string{"r2"}))
				tc.checked.Number, tc.checked.Server = number, checks[0].Server
				effects = r.step(tc.checked)
			} else {
				r.Expect(checks).To(BeEmpty())
			}
			r.Expect(effectsOf[dtdispatch.CompleteResponse](effects)).To(HaveLen(map[bool]int{true: 1}[tc.complete]))
			r.Expect(effectsOf[dtdispatch.EndAttempt](effects)).To(HaveLen(map[bool]int{false: 1}[tc.complete]))
		})
	}
}

// TestCutIsBlamedOnRequests guards against sound requests that are blocked as if they crashed servers: a cut has reset the
// connections of several routers, whose checks of the servers fail, too.
func TestCutIsBlamedOnRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		gone    bool
		crashes int
	}{
		"the servers live":     {false, 0},
		"a server has crashed": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g, n := NewWithT(t), newNetwork(t, 6, "r1", "r2", "r3")
			r := n.routers["r1"]
			var streams []dtdispatch.SendRequest
			for range 6 {
				number := r.sendRequest("/live/x")
				streams = append(streams, r.onlySend())
				r.step(dtdispatch.ResponseStarted{Number: number, Attempt: 1, ConnectedAt: r.now})
			}
			n.cut["r1"] = cutRefused
			n.gone[streams[0].Server] = tc.gone
			n.run(50 * time.Millisecond)
			for _, send := range streams {
				n.fleet.perform("r1", r.step(dtdispatch.AttemptEnded{
					Number: send.Number, Attempt: 1, Outcome: dtdispatch.OutcomeConnectionLost, ConnectedAt: r.now.Add(-50 * time.Millisecond), ResponseStarted: true, Progress: dtdispatch.ProgressEvents,
				}))
			}
			n.run(time.Second)
			crashes := 0
			for _, report := range r.state.Crashes.Reports {
				crashes++
				g.Expect(report.Server).To(Equal(r.state.Roster.Servers[streams[0].Server].Ref()))
			}
			g.Expect(crashes).To(BeNumerically("~", tc.crashes, tc.crashes))
			g.Expect(crashes > 0).To(Equal(tc.crashes > 0))
			g.Expect(r.state.Crashes.Suspects).To(BeEmpty())
		})
	}
}

// TestDomainOfALargeFleetIsCutOff guards against routers of a large fleet, who are not heard by most others, that ask
// those of their own failure domain in vain when all of it is cut off.
func TestDomainOfALargeFleetIsCutOff(t *testing.T) {
	f, names := newLargeFleet(t, 48)
	n := newNetworkOf(f, 12, names)
	for _, name := range names {
		if n.routers[name].state.Settings.Domain == "d1" {
			n.cut[name] = cutRefused
		}
	}
	n.traffic(noticeTime, "/read/x")
	n.reset()
	n.traffic(3*time.Second, "/read/x")
	most := 0
	for _, name := range names {
		NewWithT(t).Expect(n.served[name]).To(Equal(12), name)
		NewWithT(t).Expect(n.declined[name]).To(BeZero(), "%s is known to be cut off", name)
		most = max(most, n.opened[name])
	}
	NewWithT(t).Expect(most).To(BeNumerically("<=", 16*12/4), "tunnels are shared among those that can help")
}

// TestRoutersWithoutTunnelsAreAskedFirst guards against requests that wait for the reply of a router whose build knows no tunnels,
// which leaves them unanswered, while others would open one.
func TestRoutersWithoutTunnelsAreAskedFirst(t *testing.T) {
	n, r := newCutOff(t, 8, "r1", "r2", "r3", "r4", "r5", "r6")
	withoutTunnels := dtdispatch.FeatureStreamVersions
	for name, features := range map[string]dtdispatch.FeatureSet{"r2": 0, "r3": withoutTunnels, "r4": 0, "r5": dtdispatch.OwnFeatures, "r6": withoutTunnels | 1<<40} {
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{
			From: name, Address: name + ":1", Domain: r.state.Peers.ByName[name].Domain, Start: r.state.Peers.ByName[name].Start, Features: features, SentAt: r.now,
		}})
	}
	for range 20 {
		r.sendRequest("/read/x")
		via := routersOf(r.onlySend().Via)
		r.Expect(via).To(HaveLen(3))
		r.Expect(via[0]).To(Equal("r5"))
		r.Expect(via[1:]).To(ConsistOf("r2", "r4"), "they may be of a build that has tunnels and names no features")
	}
	n.reset()
}
