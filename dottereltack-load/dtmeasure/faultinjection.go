package dtmeasure

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtplatform"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// injectFaults starts a random fault every faultInterval until done is closed, and waits
// until all of them have ended.
func (r *faultRun) injectFaults(done chan struct{}) {
	random := rand.New(rand.NewPCG(r.seed, 1<<32)) //nolint:gosec // Seeded for reproducible runs.
	faults := []struct {
		name string
		do   func(*rand.Rand)
	}{
		{"kill", r.killRouter},
		{"pause", r.pauseRouter},
		{"stop", r.stopRouter},
		{"crash_engine", r.crashEngine},
		{"crash_service", r.crashService},
		{"lost_answers", r.losePlatformResponses},
		{"outage", r.stopPlatform},
		{"slow_platform", r.slowPlatform},
		{"cut_domain", r.partitionDomain},
		{"silent_links", r.silenceLink},
	}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		fault := faults[random.IntN(len(faults))]
		if len(r.faultNames) > 0 && !slices.Contains(r.faultNames, fault.name) {
			continue
		}
		r.faultCounts[fault.name]++
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0)) //nolint:gosec // Seeded for reproducible runs.
		running.Add(1)
		go func() {
			defer running.Done()
			fault.do(faultRandom)
		}()
		select {
		case <-done:
			return
		case <-time.After(faultInterval):
		}
	}
}

// base36 formats a number as refusal IDs do.
func base36(n uint64) string {
	const base = 36
	return strconv.FormatUint(n, base)
}

func randomDuration(random *rand.Rand, minMs, maxMs int) time.Duration {
	return time.Duration(minMs+random.IntN(maxMs-minMs)) * time.Millisecond
}

// randomStoppableRouter returns a random running router, or nil if no more than four run.
func (r *faultRun) randomStoppableRouter(random *rand.Rand) *dtfleet.Router {
	const minRunning = 4
	running := 0
	for _, router := range r.fleet.Routers {
		if router.Running() {
			running++
		}
	}
	if running <= minRunning {
		return nil
	}
	return r.randomRouter(random)
}

func (r *faultRun) killRouter(random *rand.Rand) {
	router := r.randomStoppableRouter(random)
	if router == nil {
		return
	}
	router.Kill()
	time.Sleep(randomDuration(random, 200, 2000))
	_ = r.fleet.StartRouter(router)
}

func (r *faultRun) pauseRouter(random *rand.Rand) {
	router := r.randomRouter(random)
	router.Signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(random, 300, 4000))
	router.Signal(syscall.SIGCONT)
}

func (r *faultRun) stopRouter(random *rand.Rand) {
	router := r.randomStoppableRouter(random)
	if router == nil {
		return
	}
	r.stops.mu.Lock()
	r.stops.startedAt[router.Name] = time.Now()
	delete(r.stops.endedAt, router.Name)
	r.stops.mu.Unlock()
	_, _ = router.Terminate()
	r.stops.mu.Lock()
	r.stops.endedAt[router.Name] = time.Now()
	r.stops.mu.Unlock()
	_ = r.fleet.StartRouter(router)
}

func (r *faultRun) crashEngine(random *rand.Rand) {
	engine := r.fleet.StandSettings.Engines[random.IntN(len(r.fleet.StandSettings.Engines))]
	_ = r.fleet.ControlStand(dtstand.Command{Action: "crash", Name: engine.Server})
}

func (r *faultRun) crashService(random *rand.Rand) {
	service := r.fleet.StandSettings.Services[random.IntN(len(r.fleet.StandSettings.Services))]
	_ = r.fleet.ControlStand(dtstand.Command{Action: "crash", Name: service.Server})
}

// injectPlatformFault applies platform faults for 0.5 to 2.5 seconds.
func (r *faultRun) injectPlatformFault(random *rand.Rand, f dtplatform.Faults) {
	_ = r.fleet.ControlStand(dtstand.Command{Action: "faults", Faults: f})
	time.Sleep(randomDuration(random, 500, 2500))
	_ = r.fleet.ControlStand(dtstand.Command{Action: "faults"})
}

func (r *faultRun) losePlatformResponses(random *rand.Rand) {
	r.injectPlatformFault(random, dtplatform.Faults{LostResponseRatio: 0.3})
}

func (r *faultRun) stopPlatform(random *rand.Rand) {
	r.injectPlatformFault(random, dtplatform.Faults{Outage: true})
}

func (r *faultRun) slowPlatform(random *rand.Rand) {
	r.injectPlatformFault(random, dtplatform.Faults{DelayMs: 700})
}

func (r *faultRun) partitionDomain(random *rand.Rand) {
	_ = r.fleet.Partition([]int{random.IntN(len(r.fleet.Topology.Domains))}, random.IntN(2) == 0)
	time.Sleep(randomDuration(random, 500, 3500))
	_ = r.fleet.Partition(nil, false)
}

func (r *faultRun) silenceLink(random *rand.Rand) {
	proxy := r.fleet.StandSettings.Proxies[random.IntN(len(r.fleet.StandSettings.Proxies))]
	_ = r.fleet.ControlStand(dtstand.Command{Action: "proxy", Name: proxy.Name, Mode: "silent"})
	time.Sleep(randomDuration(random, 10, 100))
	_ = r.fleet.ControlStand(dtstand.Command{Action: "proxy", Name: proxy.Name, Mode: "pass"})
}
