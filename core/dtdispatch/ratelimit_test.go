package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Limits of a server that names a request rate: it counts as overloaded beyond them.
const (
	overloadWindow  = 4 * time.Second
	overloadFactor  = 1.5
	overloadSlack   = 5
	limitToleration = 3 * time.Second // From the first response that names the rate.
)

// limitedFleet is a fleet one of whose servers names a request rate.
type limitedFleet struct {
	*fleet
	names    []string
	limited  dtdispatch.ServerID
	limit    dtdispatch.RateLimit
	arrivals []time.Time // At the limited server.
}

// serve sends a request for a prompt through a router and has its server respond.
func (f *limitedFleet) serve(name string, prompt uint64) {
	r := f.routers[name]
	r.sendRequest("/stream/x", withParts(1, prompt))
	for _, send := range effectsOf[dtdispatch.SendRequest](r.effects) {
		report := &dtdispatch.ServerReport{ReceivedAt: r.now}
		if send.Server == f.limited {
			f.arrivals = append(f.arrivals, r.now)
			report.RateLimit = f.limit
		}
		r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, Report: report})
		r.endAttempt(send.Number, send.Attempt, dtdispatch.OutcomeCompleted)
	}
}

// run sends perSecond requests a second through the routers in turn.
func (f *limitedFleet) run(d time.Duration, perSecond int) {
	const tick = 100 * time.Millisecond
	prompt := uint64(0)
	due := 0.0
	for range int(d / tick) {
		for due += float64(perSecond) * tick.Seconds(); due >= 1; due-- {
			prompt++
			f.serve(f.names[dtdispatch.Mix(prompt, 5)%uint64(len(f.names))], dtdispatch.Mix(prompt%40, 1))
		}
		f.fleet.run(tick, f.names...)
	}
}

// mostArrivals returns the largest number of requests that arrived within overloadWindow since a time.
func (f *limitedFleet) mostArrivals(since time.Time) int {
	most := 0
	for i, at := range f.arrivals {
		n := 0
		for _, other := range f.arrivals[i:] {
			if other.Sub(at) < overloadWindow {
				n++
			}
		}
		if !at.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// TestServerGetsMoreThanTheRateItNamed guards against a server that is overloaded by routers that
// each keep within its load bound and do not know its request rate.
func TestServerGetsMoreThanTheRateItNamed(t *testing.T) {
	for _, size := range []int{2, 8, 48} {
		for _, rate := range []float64{0, 0.4, 2, 12} {
			t.Run(fmt.Sprintf("%d routers, %g requests a second", size, rate), func(t *testing.T) {
				g := NewWithT(t)
				healthy, names := newLargeFleet(t, size)
				f := &limitedFleet{fleet: healthy, names: names, limited: "s0"}
				now := func() time.Time { return f.routers[names[0]].now }
				f.run(4*time.Second, 100)
				g.Expect(len(f.arrivals)).To(BeNumerically(">", 40), "without a limit")

				f.limit = dtdispatch.RateLimit{PerSecond: rate, IsSet: true}
				start := now()
				f.run(15*time.Second, 100)
				f.run(60*time.Second, 0) // The routers' shares accrue.
				f.run(6*time.Second, 400)
				g.Expect(f.mostArrivals(start.Add(limitToleration))).To(BeNumerically("<=", int(overloadFactor*overloadWindow.Seconds()*rate+overloadSlack)))
				g.Expect(len(f.arrivals)).NotTo(BeZero())

				f.limit = dtdispatch.RateLimit{}
				f.run(10*time.Second, 100)
				before := len(f.arrivals)
				f.run(4*time.Second, 100)
				g.Expect(len(f.arrivals)-before).To(BeNumerically(">", 40), "after the limit has ended")
			})
		}
	}
}

func TestAllServersAtTheirRates(t *testing.T) {
	r := newRouter(t, 2)
	for i := range 2 {
		n := r.sendRequest("/once/x")
		report := &dtdispatch.ServerReport{ReceivedAt: r.now, RateLimit: dtdispatch.RateLimit{PerSecond: 4, IsSet: true}}
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted, func(ev *dtdispatch.AttemptEnded) { ev.Report = report })
		r.Expect(r.state.ServerRates).To(HaveLen(i + 1))
	}
	r.sendRequest("/once/x")
	refusal := r.onlyRefusal()
	r.Expect(refusal.Status).To(Equal(503))
	r.Expect(refusal.Reason).To(Equal(dtdispatch.ReasonServerLimit))
	r.now = r.now.Add(refusal.RetryAfter)
	r.sendRequest("/once/x")
	r.onlySend()
}

func TestNewerRateLimitWins(t *testing.T) {
	r := newRouter(t, 1)
	limit := dtdispatch.RateLimit{PerSecond: 2, IsSet: true}
	receive := func(limit dtdispatch.RateLimit, age time.Duration) {
		report := dtdispatch.RateReport{Server: r.state.Roster.Servers["s0"].Ref(), Limit: limit, AgeMs: age.Milliseconds()}
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r9", Start: 1, Rates: []dtdispatch.RateReport{report}}})
	}
	receive(limit, time.Second)
	r.Expect(r.state.ServerRates["s0"].Limit).To(Equal(limit))
	receive(dtdispatch.RateLimit{}, 2*time.Second)
	r.Expect(r.state.ServerRates["s0"].Limit).To(Equal(limit), "an older response without a limit")
	receive(dtdispatch.RateLimit{}, 500*time.Millisecond)
	r.Expect(r.state.ServerRates["s0"].Limit.IsSet).To(BeFalse())
	restarted := testServers(1)
	restarted[0].Start = 2
	receive(limit, 0)
	r.listServers(2, restarted...)
	r.Expect(r.state.ServerRates).To(BeEmpty(), "another incarnation of the server")
}

// TestPromptsScatterWhileOthersAreLimited guards against a load limit that follows from servers that
// may take next to nothing: requests with one prompt then go from server to server, each of which
// has to read it.
func TestPromptsScatterWhileOthersAreLimited(t *testing.T) {
	r := newRouter(t, 6)
	var reports []dtdispatch.RateReport
	for _, id := range []dtdispatch.ServerID{"s0", "s1", "s2", "s3"} {
		reports = append(reports, dtdispatch.RateReport{Server: r.state.Roster.Servers[id].Ref(), Limit: dtdispatch.RateLimit{PerSecond: 0.3, IsSet: true}})
	}
	r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r9", Start: 1, Rates: reports}})
	used := map[dtdispatch.ServerID]int{}
	for range 8 {
		r.sendRequest("/stream/x", withParts(1, 7))
		used[r.onlySend().Server]++
	}
	r.Expect(used).To(HaveLen(1))
}
