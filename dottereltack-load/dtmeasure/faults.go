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

// Parameters of the faults measurement.
const (
	faultCallerCount  = 48
	faultAnswerTokens = 12
	maxOrderAttempts  = 3
	faultInterval     = 900 * time.Millisecond
	recoveryTime      = 8 * time.Second
)

// gracefulStops records when routers were last stopped gracefully, by name.
type gracefulStops struct {
	mu        sync.Mutex
	startedAt map[string]time.Time
	endedAt   map[string]time.Time
}

// overlaps reports whether a request through a router was sent before its graceful stop
// and ended during it or up to a second later.
func (s *gracefulStops) overlaps(router string, sentAt, requestEndedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	startedAt, ok := s.startedAt[router]
	endedAt, isOver := s.endedAt[router]
	return ok && sentAt.Before(startedAt) && requestEndedAt.After(startedAt) && (!isOver || !requestEndedAt.After(endedAt.Add(time.Second)))
}

// faultRun is one run of the faults measurement.
type faultRun struct {
	fleet       *dtfleet.Fleet
	observed    *Observations
	stops       gracefulStops
	seed        uint64
	remaining   atomic.Int64 // Requests left to send.
	faultCounts map[string]int
	faultNames  []string // Faults to inject; empty for all.
	notInLedger int      // Refusals that callers received and the ledger lacks.
}

// FaultTopology returns a topology of three failure domains with fault proxies.
func FaultTopology() dtfleet.Topology {
	t := dtfleet.SmallTopology()
	t.Domains = []string{"centru-a", "centru-b", "centru-c"}
	t.RoutersPerDomain, t.EnginesPerDomain, t.ServicesPerDomain = []int{2, 2, 2}, []int{2, 2, 2}, []int{2, 2, 2}
	t.Engine.TokenMs = 2
	t.Engine.RestartMs = 700
	t.Service.RestartMs = 500
	t.HasProxies = true
	t.ShutdownTimeout = 15 * time.Second
	return t
}

// measureFaults sends requests while routers, servers, links and the platform fail.
func measureFaults(o *Options) ([]dtexperiment.Metric, error) {
	return RunFaults(o.BinDir, o.Seed, o.Requests)
}

// RunFaults runs the faults measurement with a number of requests, injecting the faults in
// faultNames or, without any, all kinds.
func RunFaults(bin string, seed uint64, requests int, faultNames ...string) ([]dtexperiment.Metric, error) {
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
		fleet: f, seed: seed, faultNames: faultNames, faultCounts: map[string]int{}, observed: &Observations{orders: map[string]*orderOutcomes{}, refusals: map[string]bool{}},
		stops: gracefulStops{startedAt: map[string]time.Time{}, endedAt: map[string]time.Time{}},
	}
	r.remaining.Store(int64(requests))
	r.run()
	return r.recoverAndSummarize()
}

func (r *faultRun) run() {
	var callers sync.WaitGroup
	for i := range faultCallerCount {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.runCaller(i)
		}()
	}
	done := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		r.injectFaults(done)
	}()
	callers.Wait()
	close(done)
	faults.Wait()
}

// runCaller sends chats and orders at random as one caller, each through a random router.
func (r *faultRun) runCaller(i int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(i))) //nolint:gosec // Seeded for reproducible runs.
	caller := dtcaller.New(dtfleet.AccountKey(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer caller.Close()
	for n := 0; r.remaining.Add(-1) >= 0; n++ {
		if random.IntN(2) == 0 {
			r.sendChat(caller, random, fmt.Sprintf("chat-%d-%d", i, n%5), n)
			continue
		}
		r.sendOrder(caller, random, i, n)
	}
}

// randomRouter returns a random running router; it waits until there is one.
func (r *faultRun) randomRouter(random *rand.Rand) *dtfleet.Router {
	for {
		router := r.fleet.Routers[random.IntN(len(r.fleet.Routers))]
		if router.Running() {
			return router
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *faultRun) sendChat(c *dtcaller.Caller, random *rand.Rand, chat string, n int) {
	t := &dtcaller.Turn{ChatID: chat, Model: r.fleet.Topology.EngineGroup, MaxTokens: faultAnswerTokens}
	t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("%s asks %d", chat, n)))
	router := r.randomRouter(random)
	sentAt := time.Now()
	result := c.Chat(router.Host.CallersAddress, t)
	want := dtengine.ExpectedText(dtengine.Prefixes(t.Messages), faultAnswerTokens)
	o := r.observed
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chats++
	switch {
	case result.Completed && result.Text == want:
		o.completedChats++
	case result.Completed && strings.HasPrefix(want, result.Text):
		o.truncated++
	case result.Completed, !strings.HasPrefix(want, result.Text):
		o.mismatched++
	}
	r.recordResult(&result, router, sentAt)
}

// sendOrder sends an order through random routers until it is confirmed, at most
// maxOrderAttempts times.
func (r *faultRun) sendOrder(c *dtcaller.Caller, random *rand.Rand, i, n int) {
	key := dtcaller.NewIdempotencyKey()
	body := fmt.Appendf(nil, `{"poster":"%d-%d"}`, i, n)
	for attempt := range maxOrderAttempts {
		if attempt > 0 {
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		router := r.randomRouter(random)
		sentAt := time.Now()
		result := c.CallService(router.Host.CallersAddress, r.fleet.Topology.ServiceGroup, "print", key, body)
		if r.recordOrderResult(key, string(body), &result, router, sentAt) {
			return
		}
	}
}

// recoverAndSummarize ends all faults, lets the fleet recover and compares the callers'
// observations with the executed orders and the ledger of refusals.
func (r *faultRun) recoverAndSummarize() ([]dtexperiment.Metric, error) {
	for _, router := range r.fleet.Routers {
		router.Signal(syscall.SIGCONT)
		if !router.Running() {
			_ = r.fleet.StartRouter(router)
		}
	}
	_ = r.fleet.Partition(nil, false)
	_ = r.fleet.ControlStand(dtstand.Command{Action: "faults"})
	if err := r.fleet.WaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(recoveryTime)
	counters, err := r.fleet.StandCounters()
	if err != nil {
		return nil, err
	}
	unaccounted, err := r.unaccountedRefusals()
	if err != nil {
		return nil, err
	}
	return r.summarize(&counters, unaccounted), nil
}
