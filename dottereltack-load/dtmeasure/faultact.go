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

// fail makes one thing after another fail until done.
func (r *faultRun) fail(done chan struct{}) {
	random := rand.New(rand.NewPCG(r.seed, 1<<32)) //nolint:gosec // A seeded run is meant to repeat.
	acts := []struct {
		name string
		do   func(*rand.Rand)
	}{
		{"kill", r.kill},
		{"pause", r.pause},
		{"stop", r.stop},
		{"crash_engine", r.crashEngine},
		{"crash_service", r.crashService},
		{"lost_answers", r.loseAnswers},
		{"outage", r.outage},
		{"slow_platform", r.slowPlatform},
		{"cut_domain", r.cutDomain},
		{"silent_links", r.silence},
	}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		act := acts[random.IntN(len(acts))]
		if len(r.only) > 0 && !slices.Contains(r.only, act.name) {
			continue
		}
		r.counts[act.name]++
		mine := rand.New(rand.NewPCG(random.Uint64(), 0)) //nolint:gosec // A seeded run is meant to repeat.
		running.Add(1)
		go func() {
			defer running.Done()
			act.do(mine)
		}()
		select {
		case <-done:
			return
		case <-time.After(faultEvery):
		}
	}
}

// base36 writes a number as refusal ids have it.
func base36(n uint64) string {
	const base = 36
	return strconv.FormatUint(n, base)
}

func span(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+random.IntN(high-low)) * time.Millisecond
}

// spare draws a running router, unless fewer than four run.
func (r *faultRun) spare(random *rand.Rand) *dtfleet.Router {
	const least = 4
	running := 0
	for _, router := range r.fleet.Routers {
		if router.Running() {
			running++
		}
	}
	if running <= least {
		return nil
	}
	return r.router(random)
}

func (r *faultRun) kill(random *rand.Rand) {
	router := r.spare(random)
	if router == nil {
		return
	}
	router.Kill()
	time.Sleep(span(random, 200, 2000))
	_ = r.fleet.StartRouter(router)
}

func (r *faultRun) pause(random *rand.Rand) {
	router := r.router(random)
	router.Signal(syscall.SIGSTOP)
	time.Sleep(span(random, 300, 4000))
	router.Signal(syscall.SIGCONT)
}

func (r *faultRun) stop(random *rand.Rand) {
	router := r.spare(random)
	if router == nil {
		return
	}
	r.stops.mu.Lock()
	r.stops.since[router.Name] = time.Now()
	delete(r.stops.until, router.Name)
	r.stops.mu.Unlock()
	_, _ = router.Terminate()
	r.stops.mu.Lock()
	r.stops.until[router.Name] = time.Now()
	r.stops.mu.Unlock()
	_ = r.fleet.StartRouter(router)
}

func (r *faultRun) crashEngine(random *rand.Rand) {
	e := r.fleet.Stand.Engines[random.IntN(len(r.fleet.Stand.Engines))]
	_ = r.fleet.Do(dtstand.Command{Action: "crash", Name: e.Server})
}

func (r *faultRun) crashService(random *rand.Rand) {
	v := r.fleet.Stand.Services[random.IntN(len(r.fleet.Stand.Services))]
	_ = r.fleet.Do(dtstand.Command{Action: "crash", Name: v.Server})
}

// platformFault lets the platform fail for a while.
func (r *faultRun) platformFault(random *rand.Rand, f dtplatform.Faults) {
	_ = r.fleet.Do(dtstand.Command{Action: "faults", Faults: f})
	time.Sleep(span(random, 500, 2500))
	_ = r.fleet.Do(dtstand.Command{Action: "faults"})
}

func (r *faultRun) loseAnswers(random *rand.Rand) {
	r.platformFault(random, dtplatform.Faults{LostResponseRatio: 0.3})
}

func (r *faultRun) outage(random *rand.Rand) {
	r.platformFault(random, dtplatform.Faults{Outage: true})
}

func (r *faultRun) slowPlatform(random *rand.Rand) {
	r.platformFault(random, dtplatform.Faults{DelayMs: 700})
}

func (r *faultRun) cutDomain(random *rand.Rand) {
	_ = r.fleet.Cut([]int{random.IntN(len(r.fleet.Topology.Domains))}, random.IntN(2) == 0)
	time.Sleep(span(random, 500, 3500))
	_ = r.fleet.Cut(nil, false)
}

func (r *faultRun) silence(random *rand.Rand) {
	p := r.fleet.Stand.Proxies[random.IntN(len(r.fleet.Stand.Proxies))]
	_ = r.fleet.Do(dtstand.Command{Action: "proxy", Name: p.Name, Mode: "silent"})
	time.Sleep(span(random, 10, 100))
	_ = r.fleet.Do(dtstand.Command{Action: "proxy", Name: p.Name, Mode: "pass"})
}
