package dtdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestChangeIsInForceWhereTheStoreRejectsRouters guards against routers that the store turns away while it serves others, and that
// decide by an older version although a router to which they are linked knows the newer one.
func TestChangeIsInForceWhereTheStoreRejectsRouters(t *testing.T) {
	for _, size := range []int{7, 81} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(size, " routers, seed ", seed), func(t *testing.T) {
				g := NewWithT(t)
				f, names := newLargeFleet(t, size)
				f.run(4*time.Second, names...)
				random := rand.New(rand.NewPCG(seed, uint64(size))) //nolint:gosec // Reproducible from the seed.
				var rejected []string
				for _, name := range names {
					isServed := random.IntN(4) >= int(seed%4)
					if seed >= 8 {
						isServed = name == names[int(seed)*size/10] // The only one.
					}
					if !isServed {
						rejected = append(rejected, name)
					}
				}
				f.reject(rejected)
				f.run(time.Duration(random.IntN(4000))*time.Millisecond, names...)
				f.changeConfig()
				var late []string
				f.run(operatorBound, names...)
				for _, name := range names {
					if f.routers[name].state.Config.Version != 2 {
						late = append(late, fmt.Sprint(name, " rejected ", f.rejected[name]))
					}
				}
				g.Expect(late).To(BeEmpty(), "of %d, %d rejected", size, len(rejected))
			})
		}
	}
}

// TestLargeConfigurationIsSentAgainAndAgain guards against routers that wait for a large configuration from their reader, whose link is
// slow, and have it sent anew meanwhile, until it is in force too late: 26 copies of 190 kB take 4 s over a link of 10 Mbit/s.
func TestLargeConfigurationIsSentAgainAndAgain(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 81)
	f.run(4*time.Second, names...)
	f.dropsConfigs, f.configsSent = true, 0
	f.changeConfig()
	f.run(operatorBound/2, names...)
	for _, name := range names {
		g.Expect(f.routers[name].state.Config.Version).To(BeEquivalentTo(2), name)
	}
	f.run(operatorBound/2, names...)
	delegates := 3 * delegatesOfADomain
	g.Expect(f.configsSent).To(BeNumerically("<=", len(names)+delegates), "one for each router, and one more for those that are linked to others which know it")
}

// TestRouterThatHasStartedMissesAChange guards against a router that has read the configuration at its start, leaves the store alone until
// it knows the fleet, and hears of a change from a router that stands still before it has passed it on.
func TestRouterThatHasStartedMissesAChange(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 7)
	started := newRouterInDomain(t, names[1], "d1")
	started.now = f.routers[names[0]].now
	f.replace(names[1], started)
	f.run(500*time.Millisecond, names...)
	f.dropsConfigs = true
	f.changeConfig()
	f.run(operatorBound, names...)
	g.Expect(started.state.Config.Version).To(BeEquivalentTo(2))
}
