package dtfleet_test

import (
	"flag"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtcrowd"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtprocess"
)

var (
	crowdSeedsFlag = flag.Int("crowds.seeds", 1, "number of runs with crowds at the own interface, with consecutive seeds")
	crowdFirstFlag = flag.Uint64("crowds.first", 1, "first seed of these runs")
)

// Parameters of a run.
const (
	crowdRunTime   = 10 * time.Second
	orderingCount  = 4 // Callers that send orders all the time.
	disturberCount = 3 // Goroutines that send crowds or end routers.
)

// TestCrowdsBesideKillsStopsAndPauses guards against processes that end, hang or exceed their memory, and orders that run twice or after
// they were refused as not run, while crowds come to routers that are killed, stopped and paused.
func TestCrowdsBesideKillsStopsAndPauses(t *testing.T) {
	for n := range *crowdSeedsFlag {
		seed := *crowdFirstFlag + uint64(n) //nolint:gosec // Not negative.
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newCrowdRun(t, seed).play() })
	}
}

// crowdRun is a run of a fleet with crowds.
type crowdRun struct {
	*WithT
	t      *testing.T
	fleet  *dtfleet.Fleet
	seed   uint64
	over   atomic.Bool
	mu     sync.Mutex        // Guards the next field.
	orders map[string]string // Outcomes of orders by key.
	locks  []sync.Mutex      // Of each router, held while it is disturbed.
}

func newCrowdRun(t *testing.T, seed uint64) *crowdRun {
	t.Helper()
	topology := intakeTopology()
	topology.RoutersPerDomain = []int{3}
	topology.Service.CallMs = 20
	f := startLimitedFleet(t, topology)
	return &crowdRun{WithT: NewWithT(t), t: t, fleet: f, seed: seed, orders: map[string]string{}, locks: make([]sync.Mutex, len(f.Routers))}
}

func (c *crowdRun) play() {
	c.t.Helper()
	var group sync.WaitGroup
	for i := range disturberCount {
		group.Go(func() { c.disturb(rand.New(rand.NewPCG(c.seed, uint64(i)))) }) //nolint:gosec // Reproducible from the seed.
	}
	for i := range orderingCount {
		group.Go(func() { c.sendOrders(rand.New(rand.NewPCG(c.seed, uint64(disturberCount+i)))) }) //nolint:gosec // Reproducible from the seed.
	}
	time.Sleep(crowdRunTime)
	c.over.Store(true)
	group.Wait()
	caller := dtcaller.New(dtfleet.AccountKey("acc-0"))
	defer caller.Close()
	for _, r := range c.fleet.Routers {
		c.Expect(dtprocess.IsRunning(r.PID(), filepath.Join(c.fleet.BinDir, "dottereltack"))).To(BeTrue(), "seed %d: %s", c.seed, r.Name)
		c.Eventually(func() bool {
			return caller.CallService(r.Host.CallersAddress, "franchise-desk", "stock", "", []byte(`{"poster":1}`)).Completed
		}, "60s", "100ms").Should(BeTrue(), "seed %d: an ordinary request at %s", c.seed, r.Name)
		peak := dtprocess.StatusBytes(r.PID(), "VmHWM:") >> 20
		c.t.Logf("seed %d: %s peak %d MB", c.seed, r.Name, peak)
		c.Expect(peak).To(BeNumerically("<=", intakeMemoryMB), "seed %d: resident set of %s in MB", c.seed, r.Name)
	}
	counters, err := c.fleet.StandCounters()
	c.Expect(err).NotTo(HaveOccurred())
	for key, outcome := range c.orders {
		c.Expect(counters.RunCounts[key]).To(BeNumerically("<=", 1), "seed %d: order %s (%s) has run more than once", c.seed, key, outcome)
		switch outcome {
		case "completed":
			c.Expect(counters.RunCounts[key]).To(Equal(1), "seed %d: order %s has not run", c.seed, key)
		case "not_run":
			c.Expect(counters.RunCounts[key]).To(BeZero(), "seed %d: order %s was refused as not run", c.seed, key)
		}
	}
	c.Expect(c.fleet.Stop()).To(BeZero(), "seed %d: every router stops", c.seed)
}

// sendOrders sends orders to random routers until the run is over.
func (c *crowdRun) sendOrders(random *rand.Rand) {
	caller := dtcaller.New(dtfleet.AccountKey("acc-1"))
	defer caller.Close()
	for !c.over.Load() {
		r := c.fleet.Routers[random.IntN(len(c.fleet.Routers))]
		key := dtcaller.NewIdempotencyKey()
		result := caller.CallService(r.Host.CallersAddress, "franchise-desk", "print", key, []byte(`{"poster":1}`))
		outcome := "lost"
		switch {
		case result.Completed:
			outcome = "completed"
		case result.Refusal != nil:
			outcome = result.Refusal.Ran
		}
		c.mu.Lock()
		c.orders[key] = outcome
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
}

// disturb sends crowds to random ports, and kills, stops and pauses routers, until the run is over.
func (c *crowdRun) disturb(random *rand.Rand) {
	for !c.over.Load() {
		i := random.IntN(len(c.fleet.Routers))
		r := c.fleet.Routers[i]
		duration := time.Duration(300+random.IntN(2_000)) * time.Millisecond
		kind := random.IntN(6)
		if kind < 3 {
			c.sendCrowd(random, r, duration)
			continue
		}
		if !c.locks[i].TryLock() {
			continue
		}
		switch kind {
		case 3:
			r.Kill()
			c.start(r)
		case 4:
			if code, err := r.Terminate(); code != 0 {
				c.t.Errorf("seed %d: %s has stopped with code %d, %v", c.seed, r.Name, code, err)
			}
			c.start(r)
		case 5:
			if err := r.Pause(); err != nil {
				c.t.Error(err)
			}
			time.Sleep(duration)
			r.Signal(syscall.SIGCONT)
		}
		time.Sleep(duration)
		c.locks[i].Unlock()
	}
}

func (c *crowdRun) start(r *dtfleet.Router) {
	if err := c.fleet.StartRouter(r); err != nil {
		c.t.Error(err)
	}
}

func (c *crowdRun) sendCrowd(random *rand.Rand, r *dtfleet.Router, duration time.Duration) {
	const minClients, maxClients, rounds = 20, 100, 10
	forms := []dtcrowd.Form{
		dtcrowd.LargeChunk, dtcrowd.OneByteChunks, dtcrowd.OverLimitChunked, dtcrowd.AnnouncedOnly, dtcrowd.AnnouncedChunk, dtcrowd.EndlessHead,
		dtcrowd.BehindRequest, dtcrowd.Flood, dtcrowd.UnreadResponse,
	}
	addresses := []string{r.Host.CallersAddress, r.Host.CallersAddress, r.Host.PeersAddress, r.Host.OperatorsAddress}
	group := dtcrowd.Group{Size: minClients + random.IntN(maxClients-minClients), Form: forms[random.IntN(len(forms))]}
	crowd := dtcrowd.Start(crowdTarget(addresses[random.IntN(len(addresses))]), rounds, group)
	time.Sleep(duration)
	crowd.Leave()
}
