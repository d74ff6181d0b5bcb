package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

func TestPlacement(t *testing.T) {
	t.Run("requests that share a prompt are placed on the same server by each router", func(t *testing.T) {
		a, b := newRouter(t, 9), newRouter(t, 9)
		for shared := range uint64(20) {
			n := a.sendRequest("/stream/x", withPrompt(shared))
			server := a.onlySend().Server
			a.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
			b.sendRequest("/stream/y", withPrompt(shared))
			a.Expect(b.onlySend().Server).To(Equal(server))
			b.endAttempt(b.lastNumber, 1, dtdispatch.OutcomeCompleted)
		}
	})
	t.Run("requests overflow from a busy server to the same next one, which copies its cache", func(t *testing.T) {
		r := newRouter(t, 9)
		r.sendRequest("/stream/x", withPrompt(7))
		first := r.onlySend()
		r.Expect(first.CacheSource).To(BeEmpty())
		var overflow []dtdispatch.SendRequest
		for range 30 {
			r.sendRequest("/stream/x", withPrompt(7))
			if send := r.onlySend(); send.Server != first.Server {
				overflow = append(overflow, send)
			}
		}
		r.Expect(overflow).NotTo(BeEmpty())
		r.Expect(overflow[0].CacheSource).To(Equal(first.Address))
		r.Expect(overflow[1].Server).To(Equal(overflow[0].Server))
	})
	t.Run("shared parts of a prompt are copied from the server that read them last", func(t *testing.T) {
		r := newRouter(t, 9)
		sendTo := func(shared uint64) dtdispatch.SendRequest {
			n := r.sendRequest("/stream/x", withPrompt(shared))
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
			r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
			return send
		}
		first := sendTo(7)
		r.Expect(first.CacheSource).To(BeEmpty(), "no server has read any part")
		r.Expect(sendTo(7).CacheSource).To(BeEmpty(), "the server has read the parts itself")
		other := uint64(8)
		for sendTo(other).Server == first.Server {
			other++
		}
		r.now = r.now.Add(time.Second)
		var partial dtdispatch.SendRequest
		for shared := other + 1; partial.CacheSource == ""; shared++ {
			partial = sendTo(shared)
		}
		r.Expect(partial.CacheSource).NotTo(Equal(partial.Address))
		peer := newRouter(t, 9)
		for _, sent := range effectsOf[dtdispatch.SendToPeers](r.advance(time.Second)) {
			peer.step(dtdispatch.PeerMessageReceived{Message: sent.Message})
		}
		for shared := other + 60; ; shared++ {
			peer.sendRequest("/stream/x", withPrompt(shared))
			if send := peer.onlySend(); send.CacheSource != "" {
				peer.Expect(send.CacheSource).NotTo(Equal(send.Address), "a peer knows the server that has read the beginning")
				break
			}
		}
		r.now = r.now.Add(time.Minute)
		r.Expect(sendTo(other+40).CacheSource).To(BeEmpty(), "parts read long ago may have been evicted")
	})
	t.Run("a server that recovers copies from its substitute", func(t *testing.T) {
		r := newRouter(t, 9)
		sendTo := func(shared uint64) dtdispatch.SendRequest {
			n := r.sendRequest("/stream/x", withPrompt(shared))
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
			r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
			return send
		}
		n := r.sendRequest("/stream/x", withPrompt(7))
		first := r.onlySend().Server
		r.endAttempt(n, 1, dtdispatch.OutcomeUnreachable)
		second := r.onlySend()
		r.endAttempt(n, 2, dtdispatch.OutcomeCompleted)
		r.Expect(sendTo(7).Server).To(Equal(second.Server))
		for shared := uint64(8); ; shared++ {
			if other := sendTo(shared).Server; other != first && other != second.Server {
				break
			}
		}
		r.now = r.now.Add(time.Second)
		last := sendTo(7)
		r.Expect(last.Server).To(Equal(first))
		r.Expect(last.CacheSource).To(Equal(second.Address), "not the server that has only read the beginning")
	})
	t.Run("no server exceeds twice the mean load plus three", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			r := newRouter(t, rapid.IntRange(2, 20).Draw(rt, "servers"))
			inFlight := map[dtdispatch.ServerID]int{}
			for i := range rapid.IntRange(1, 120).Draw(rt, "requests") {
				r.sendRequest("/stream/x", withPrompt(rapid.Uint64Range(1, 3).Draw(rt, "shared")))
				server := r.onlySend().Server
				mean := float64(i) / float64(len(r.state.Roster.Servers))
				if float64(inFlight[server]) > 2*mean+3 {
					rt.Fatalf("server has %d requests in flight, mean %.2f", inFlight[server], mean)
				}
				inFlight[server]++
			}
		})
	})
	t.Run("a lower maximum load factor is respected", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			r := newRouter(t, rapid.IntRange(2, 20).Draw(rt, "servers"))
			b := bounds
			b.MaxLoadFactor = 1.3
			r.step(dtdispatch.SettingsChanged{Bounds: b, Regions: r.state.Settings.Regions})
			inFlight := map[dtdispatch.ServerID]int{}
			for i := range rapid.IntRange(1, 200).Draw(rt, "requests") {
				r.sendRequest("/stream/x", withPrompt(1))
				server := r.onlySend().Server
				mean := float64(i) / float64(len(r.state.Roster.Servers))
				if float64(inFlight[server]) > b.MaxLoadFactor*mean+3 {
					rt.Fatalf("server has %d requests in flight, mean %.2f", inFlight[server], mean)
				}
				inFlight[server]++
			}
		})
	})
	t.Run("requests without affinity go to the least loaded server, counting the loads of peers", func(t *testing.T) {
		r := newRouter(t, 3)
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r2", Start: 1, InFlight: map[dtdispatch.ServerRef]int{
			r.state.Roster.Servers["s0"].Ref(): 5, r.state.Roster.Servers["s2"].Ref(): 5,
		}}})
		r.sendRequest("/read/x")
		r.Expect(r.onlySend().Server).To(Equal(dtdispatch.ServerID("s1")))
	})
	t.Run("draining servers and failure domains out of service get no requests", func(t *testing.T) {
		r := newRouter(t, 6)
		servers := testServers(6)
		servers[0].Draining, servers[0].Seq = true, 2
		r.listServers(2, servers...)
		r.step(dtdispatch.DomainsOutOfServiceListed{Domains: []string{"d1"}, Revision: 3})
		for range 20 {
			r.sendRequest("/read/x")
			r.Expect(string(r.onlySend().Server)).To(BeElementOf("s2", "s4"))
		}
		r.step(dtdispatch.DomainsOutOfServiceListed{Revision: 2})
		r.sendRequest("/read/x")
		r.Expect(string(r.onlySend().Server)).To(BeElementOf("s2", "s4"), "an older revision puts no domain back in service")
		r.step(dtdispatch.DomainsOutOfServiceListed{Revision: 4})
		seen := map[dtdispatch.ServerID]bool{}
		for range 20 {
			r.sendRequest("/read/x")
			seen[r.onlySend().Server] = true
		}
		r.Expect(seen).To(HaveKey(dtdispatch.ServerID("s1")))
	})
	t.Run("refuses when no server may take the request", func(t *testing.T) {
		r := newRouter(t, 2)
		r.step(dtdispatch.DomainsOutOfServiceListed{Domains: []string{"d0", "d1"}, Revision: 3})
		r.sendRequest("/read/x")
		r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonNoServer))
	})
	t.Run("a failing server is avoided and tried again later", func(t *testing.T) {
		r := newRouter(t, 2)
		failing := dtdispatch.ServerID("s0")
		for range 12 {
			n := r.sendRequest("/single/x")
			o := dtdispatch.OutcomeCompleted
			if r.onlySend().Server == failing {
				o = dtdispatch.OutcomeMalformed
			}
			r.endAttempt(n, 1, o)
		}
		r.Expect(r.state.Health[failing].IsAvoided(r.now)).To(BeTrue())
		n := r.sendRequest("/single/x")
		r.Expect(r.onlySend().Server).NotTo(Equal(failing))
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
		r.advance(4 * time.Second)
		r.Expect(r.state.Health[failing].IsAvoided(r.now)).To(BeFalse())
	})
	t.Run("two unreachable servers make their failure domain avoided", func(t *testing.T) {
		r := newRouter(t, 8)
		for _, id := range []dtdispatch.ServerID{"s1", "s3"} {
			n := r.sendRequest("/read/x")
			for r.onlySend().Server != id {
				n = r.sendRequest("/read/x")
			}
			r.endAttempt(n, 1, dtdispatch.OutcomeUnreachable)
		}
		for range 20 {
			r.sendRequest("/single/x")
			r.Expect(string(r.onlySend().Server)).To(BeElementOf("s0", "s2", "s4", "s6"))
		}
	})
	t.Run("requests stay in the allowed regions", func(t *testing.T) {
		r := newRouter(t, 4)
		r.state.Settings.Regions = map[string]string{"d0": "east", "d1": "west"}
		config := testConfig(2)
		config.AccountsByKey["k1"] = dtdispatch.Account{Name: "acme", Priority: -1, AllowedRegions: []string{"west"}}
		r.step(dtdispatch.ConfigReceived{Config: config})
		for range 10 {
			r.sendRequest("/read/x")
			r.Expect(string(r.onlySend().Server)).To(BeElementOf("s1", "s3"))
		}
	})
}

func TestPickServiceFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	route := dtdispatch.Route{Shares: []dtdispatch.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range uint64(10000) {
		counts[route.PickService(dtdispatch.Mix(i, 1))]++
	}
	g.Expect(counts["c"]).To(BeZero())
	g.Expect(counts["b"]).To(BeNumerically("~", 1000, 150))
}

// TestColdBudgetsAcrossRouters guards against overloading a cold server to which every router
// of a fleet sends whenever its own budget has room.
func TestColdBudgetsAcrossRouters(t *testing.T) {
	for _, routers := range []int{2, 8, 65, 300} {
		g := NewWithT(t)
		const rate = 10.0
		now := time.UnixMilli(1_700_000_000_000)
		budgets := make([]*dtdispatch.ColdBudget, routers)
		for i := range budgets {
			budgets[i] = dtdispatch.NewColdBudget(dtdispatch.Mix(uint64(i), 77), now)
		}
		var sent []time.Time
		for range 5000 {
			now = now.Add(time.Millisecond)
			for _, b := range budgets {
				if b.HasRoom(rate, bounds, routers, now) {
					b.CountRequest(rate, bounds, routers, now)
					sent = append(sent, now)
				}
			}
		}
		g.Expect(sent).NotTo(BeEmpty())
		maxRequests := rate*bounds.ColdFactor + bounds.ColdTolerance
		for i := range sent {
			n := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				n++
			}
			g.Expect(float64(n)).To(BeNumerically("<=", maxRequests), "%d routers", routers)
		}
	}
}

func TestColdServerGetsLimitedLoad(t *testing.T) {
	r := newRouter(t, 1)
	servers := testServers(2)
	servers[1].ColdFor, servers[1].Domain = 3*time.Second, servers[0].Domain
	r.listServers(2, servers...)
	cold := 0
	for range 100 {
		r.now = r.now.Add(10 * time.Millisecond)
		n := r.sendRequest("/read/x")
		if r.onlySend().Server == "s1" {
			cold++
		}
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
	}
	r.Expect(cold).To(BeNumerically("~", 2, 1), "the share of one of eight routers in 20 requests per second")
}

func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const routers = 8
		b := bounds
		now := time.UnixMilli(1_700_000_000_000)
		budgets := make([]*dtdispatch.RetryBudget, routers)
		for i := range budgets {
			budgets[i] = dtdispatch.NewRetryBudget(b)
		}
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			budget := budgets[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			budget.Requests.Add(1, now)
			requests++
			for range 3 {
				if budget.Take(b, routers, now) {
					retries++
				}
			}
		}
		if float64(retries) > b.RetryRatio*float64(requests)+b.RetrySlack {
			rt.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

func TestWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := dtdispatch.Window{Length: time.Second}
		start := time.UnixMilli(1_700_000_000_000)
		now := start
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			w.Add(1, now)
			events = append(events, now)
		}
		minSum := 0
		for _, at := range events {
			if now.Sub(at) <= 900*time.Millisecond {
				minSum++
			}
		}
		if sum := w.Sum(now); sum < minSum || sum > len(events) {
			rt.Fatalf("sum is %d, want at least %d of %d", sum, minSum, len(events))
		}
		if sum := w.Sum(now.Add(time.Second + 100*time.Millisecond)); sum != 0 {
			rt.Fatalf("%d events left after the window", sum)
		}
	})
}

// TestCacheIsCopiedWhateverTheClocksOfServers guards against prompts that are read again, or copied from a server that has
// just started, since the clocks of the servers' hosts differ from that of a router which starts.
func TestCacheIsCopiedWhateverTheClocksOfServers(t *testing.T) {
	for _, ahead := range clockDifferences {
		for coldFor, age := range map[time.Duration]time.Duration{0: 12 * time.Second, 3 * time.Second: 6 * time.Second} {
			t.Run(fmt.Sprintf("clock ahead by %s, cold for %s", ahead, coldFor), func(t *testing.T) {
				r := newEmptyRouter(t, "r1")
				list := testServers(9)
				for i := range list {
					list[i].Start, list[i].ColdFor = r.now.Add(ahead-age).UnixMilli(), coldFor
				}
				config := testConfig(1)
				config.Services["a"] = dtdispatch.Service{Name: "a", MaxConnections: 100}
				r.step(dtdispatch.ConfigReceived{Config: config})
				r.listServers(1, list...)
				r.sendRequest("/stream/x", withPrompt(7))
				first, source := r.onlySend(), ""
				for range 9 {
					r.sendRequest("/stream/x", withPrompt(7))
					if send := r.onlySend(); send.Server != first.Server && source == "" {
						source = send.CacheSource
					}
				}
				expected := first.Address
				if coldFor > 0 {
					expected = ""
				}
				r.Expect(source).To(Equal(expected))
			})
		}
	}
}
