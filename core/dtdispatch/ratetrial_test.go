package dtdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// largeLimitedFleet is a large fleet half of whose servers name request rates.
type largeLimitedFleet struct {
	*fleet
	names    []string
	limit    dtdispatch.RateLimit
	random   *rand.Rand
	arrivals map[dtdispatch.ServerID][]time.Time // At the servers that name a rate.
}

// newLargeLimitedFleet returns a fleet with few requests of each router for each server.
func newLargeLimitedFleet(t *testing.T, routers, servers int) *largeLimitedFleet {
	t.Helper()
	f, names := newLargeFleet(t, routers)
	f.store = testServers(servers)
	f.revision++
	f.run(3*time.Second, names...)
	random := rand.New(rand.NewPCG(8, 1)) //nolint:gosec // Reproducible by seed.
	return &largeLimitedFleet{fleet: f, names: names, random: random, arrivals: map[dtdispatch.ServerID][]time.Time{}}
}

// run sends requestsPerSecond with random prompts through random routers.
func (f *largeLimitedFleet) run(d time.Duration) {
	const tick, requestsPerSecond = 50 * time.Millisecond, 190
	due := 0.0
	for range int(d / tick) {
		for due += requestsPerSecond * tick.Seconds(); due >= 1; due-- {
			f.serve(f.routers[f.names[f.random.IntN(len(f.names))]])
		}
		f.fleet.run(tick, f.names...)
	}
}

func (f *largeLimitedFleet) serve(r *router) {
	r.sendRequest("/stream/x", withParts(1, f.random.Uint64()))
	for _, send := range effectsOf[dtdispatch.SendRequest](r.effects) {
		report := &dtdispatch.ServerReport{ReceivedAt: r.now}
		if r.state.Roster.Servers[send.Server].Domain == "d0" {
			report.RateLimit = f.limit
			f.arrivals[send.Server] = append(f.arrivals[send.Server], r.now)
		}
		r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt, Report: report})
		r.endAttempt(send.Number, send.Attempt, dtdispatch.OutcomeCompleted)
	}
}

// believedLimits returns the number of servers that a router takes for limited.
func (f *largeLimitedFleet) believedLimits(name string) int {
	n := 0
	for _, rate := range f.routers[name].state.ServerRates {
		if rate.Limit.IsSet {
			n++
		}
	}
	return n
}

// TestLimitsThatHaveEnded guards against servers that are taken for limited long after their limits
// have ended, because none of the few routers that may send to them has a request whose prompt they
// come first for. The other servers then hold twice the load.
func TestLimitsThatHaveEnded(t *testing.T) {
	g := NewWithT(t)
	f := newLargeLimitedFleet(t, 48, 96)
	f.run(4 * time.Second)
	f.limit = dtdispatch.RateLimit{PerSecond: 1.2, IsSet: true}
	f.run(4 * time.Second)
	g.Expect(f.believedLimits(f.names[5])).To(BeNumerically(">=", 44))
	f.arrivals = map[dtdispatch.ServerID][]time.Time{}
	f.run(12 * time.Second)
	for id, arrivals := range f.arrivals {
		limited := limitedFleet{arrivals: arrivals}
		g.Expect(limited.mostArrivals(arrivals[0])).To(BeNumerically("<=", int(overloadFactor*overloadWindow.Seconds()*1.2+overloadSlack)), "arrivals at %s", id)
	}
	f.limit = dtdispatch.RateLimit{}
	f.run(4500 * time.Millisecond)
	for _, name := range f.names {
		g.Expect(f.believedLimits(name)).To(BeNumerically("<=", 2), fmt.Sprintf("servers that %s takes for limited", name))
	}
}
