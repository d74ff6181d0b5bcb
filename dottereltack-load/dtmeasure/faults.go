package dtmeasure

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// Sizes of the faults measurement.
const (
	faultCallers = 48
	faultTokens  = 12
	orderTries   = 3
	faultEvery   = 900 * time.Millisecond
	healedFor    = 8 * time.Second
)

// stopping is a router that is being stopped gracefully, and since when.
type stopping struct {
	mu    sync.Mutex
	since map[string]time.Time
	until map[string]time.Time
}

// during says whether a request that began at t through a router was in flight while
// the router was stopped gracefully.
func (s *stopping) during(router string, begun, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[router]
	until, over := s.until[router]
	return ok && begun.Before(since) && ended.After(since) && (!over || !ended.After(until.Add(time.Second)))
}

// faultRun is one run of the faults measurement.
type faultRun struct {
	fleet  *dtfleet.Fleet
	judge  *Judge
	stops  stopping
	seed   uint64
	left   atomic.Int64
	counts map[string]int
	only   []string
	logged int // Refusals that the ledger lacks.
}

// FaultTopology returns three failure domains behind fault proxies.
func FaultTopology() dtfleet.Topology {
	t := dtfleet.SmallSite()
	t.Domains = []string{"centru-a", "centru-b", "centru-c"}
	t.Routers, t.Engines, t.Services = []int{2, 2, 2}, []int{2, 2, 2}, []int{2, 2, 2}
	t.Engine.TokenMs = 2
	t.Engine.RestartMs = 700
	t.Service.RestartMs = 500
	t.Proxied = true
	t.StopWithin = 15 * time.Second
	return t
}

// measureFaults sends requests while routers, servers, links and platform fail.
func measureFaults(o *Options) ([]dtexperiment.Figure, error) {
	return Faults(o.Bin, o.Seed, o.Requests)
}

// Faults runs the faults measurement with a number of requests; only names the faults
// that are made, all of them when it is empty.
func Faults(bin string, seed uint64, requests int, only ...string) ([]dtexperiment.Figure, error) {
	dir, err := os.MkdirTemp("", "dottereltack-faults-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("DOTTERELTACK_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := dtfleet.Start(FaultTopology(), bin, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &faultRun{
		fleet: f, seed: seed, only: only, counts: map[string]int{}, judge: &Judge{orders: map[string]*orderSeen{}, refusals: map[string]bool{}},
		stops: stopping{since: map[string]time.Time{}, until: map[string]time.Time{}},
	}
	r.left.Store(int64(requests))
	r.run()
	return r.figures()
}

// run sends traffic and makes things fail until the requests are used up.
func (r *faultRun) run() {
	var callers sync.WaitGroup
	for i := range faultCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.call(i)
		}()
	}
	done := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		r.fail(done)
	}()
	callers.Wait()
	close(done)
	faults.Wait()
}

// call is one caller: chats and orders in turn, each through a random router.
func (r *faultRun) call(i int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(i))) //nolint:gosec // A seeded run is meant to repeat.
	caller := dtcaller.New(dtfleet.KeyOf(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer caller.Close()
	for n := 0; r.left.Add(-1) >= 0; n++ {
		if random.IntN(2) == 0 {
			r.chat(caller, random, fmt.Sprintf("chat-%d-%d", i, n%5), n)
			continue
		}
		r.order(caller, random, i, n)
	}
}

// router draws a router that has not been ended.
func (r *faultRun) router(random *rand.Rand) *dtfleet.Router {
	for {
		router := r.fleet.Routers[random.IntN(len(r.fleet.Routers))]
		if router.Running() {
			return router
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *faultRun) chat(c *dtcaller.Caller, random *rand.Rand, chat string, n int) {
	t := &dtcaller.Turn{Chat: chat, Model: r.fleet.Topology.EngineGroup, MaxTokens: faultTokens}
	t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("%s asks %d", chat, n)))
	router := r.router(random)
	begun := time.Now()
	res := c.Chat(router.Host.CallersAddress, t)
	want := dtengine.ExpectedText(dtengine.Prefixes(t.Messages), faultTokens)
	j := r.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	j.chats++
	switch {
	case res.Whole && res.Text == want:
		j.whole++
	case res.Whole && strings.HasPrefix(want, res.Text):
		j.cutWhole++
	case res.Whole, !strings.HasPrefix(want, res.Text):
		j.crossed++
	}
	r.note(&res, router, begun)
}

// order sends an order and, when it is not confirmed, sends it again elsewhere.
func (r *faultRun) order(c *dtcaller.Caller, random *rand.Rand, i, n int) {
	key := dtcaller.NewKey()
	body := fmt.Appendf(nil, `{"poster":"%d-%d"}`, i, n)
	for try := range orderTries {
		if try > 0 {
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		router := r.router(random)
		begun := time.Now()
		res := c.Call(router.Host.CallersAddress, r.fleet.Topology.ServiceGroup, "print", key, body)
		if r.judgeOrder(key, string(body), &res, router, begun) {
			return
		}
	}
}

// figures holds what callers saw against what ran and what the ledger accounts for.
func (r *faultRun) figures() ([]dtexperiment.Figure, error) {
	for _, router := range r.fleet.Routers {
		router.Signal(syscall.SIGCONT)
		if !router.Running() {
			_ = r.fleet.StartRouter(router)
		}
	}
	_ = r.fleet.Cut(nil, false)
	_ = r.fleet.Do(dtstand.Command{Action: "faults"})
	if err := r.fleet.WaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(healedFor)
	numbers, err := r.fleet.Numbers()
	if err != nil {
		return nil, err
	}
	unaccounted, err := r.unaccounted()
	if err != nil {
		return nil, err
	}
	return r.sum(&numbers, unaccounted), nil
}
