package dtexperiment

import (
	"fmt"
	"math"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Parameters of the simulated site: four failure domains, eight routers, twelve engines.
const (
	domainCount        = 4
	routersPerDomain   = 2
	enginesPerDomain   = 3
	slotsPerEngine     = 16
	tokenTime          = 20 * time.Millisecond
	answerTokens       = 60
	systemPromptTokens = 400
	turnTokens         = 60
	accountCount       = 10
	utilization        = 0.6
	sampleInterval     = 100 * time.Millisecond
	minMeanForSkew     = 4.0 // Mean requests in flight per engine below which skew is not sampled.
)

// settings returns the simulated site with a placement policy.
func settings(seed uint64, policy string) dtmodel.Settings {
	return dtmodel.Settings{
		Seed: seed, RegionPrefix: "pl-south", Domains: domainCount, RoutersPerDomain: routersPerDomain, EnginesPerDomain: enginesPerDomain, ServicesPerDomain: 1, Accounts: accountCount,
		SameDomainDelay: 100 * time.Microsecond, CrossDomainDelay: 1500 * time.Microsecond, HostListLag: time.Second,
		Server: dtmodel.ServerSettings{
			Slots: slotsPerEngine, ColdMaxInFlight: 2, TokenTime: tokenTime, PrefillTime: 300 * time.Microsecond, CacheTokens: 200_000,
			CallTime: 5 * time.Millisecond, RestartTime: 2 * time.Second,
		},
		Site: dtconfig.Site{Limits: dtconfig.Limits{
			LoadBound: dtconfig.DefaultLoadBound, RetryRatio: dtconfig.DefaultRetryRatio, FirstByteTimeoutMs: dtconfig.DefaultFirstByteTimeoutMs,
			OrderWindowSeconds: dtconfig.DefaultOrderWindowSeconds, RampMs: dtconfig.DefaultRampMs, MaxHomeWaitMs: dtconfig.DefaultMaxHomeWaitMs, MaxQueuedPerAccount: dtconfig.DefaultMaxQueuedPerAccount,
			MaxQueuedPerShard: dtconfig.DefaultMaxQueuedPerShard, MaxRequestsInFlight: dtconfig.DefaultMaxRequestsInFlight, Policy: policy,
		}},
	}
}

// Traffic generates turns of recurring chats, with exponential interarrival times, at
// random routers.
type Traffic struct {
	Sim               *dtmodel.Simulation
	IdealCache        *dtengine.Cache // Unbounded and shared by all engines.
	TurnsPerSecond    float64
	ChatCount         int
	Weight            func(account int) float64
	turns             map[int]int  // Turns sent, by chat.
	waiting           map[int]bool // Whether a chat awaits an answer.
	Requests          []*dtmodel.Request
	IdealCachedTokens int // Prompt tokens found in IdealCache.
	stopped           bool
}

// newTraffic returns traffic that uses the fraction load of the engines' capacity.
func newTraffic(sim *dtmodel.Simulation, load float64) *Traffic {
	serviceSeconds := (answerTokens + 1) * tokenTime.Seconds()
	rate := load * domainCount * enginesPerDomain * slotsPerEngine / serviceSeconds
	return &Traffic{
		Sim: sim, IdealCache: dtengine.NewCache(math.MaxInt), TurnsPerSecond: rate, ChatCount: 1200,
		turns: map[int]int{}, waiting: map[int]bool{}, Weight: func(int) float64 { return 1 },
	}
}

// Start sends turns until Stop is called.
func (t *Traffic) Start() { t.scheduleNext() }

// Stop ends the traffic; requests in flight continue.
func (t *Traffic) Stop() { t.stopped = true }

func (t *Traffic) scheduleNext() {
	if t.stopped {
		return
	}
	sim := t.Sim
	wait := sim.Random.ExpFloat64() / t.TurnsPerSecond
	sim.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
		t.sendRandom()
		t.scheduleNext()
	})
}

// sendRandom sends the next turn of a random chat, unless that chat awaits an answer.
func (t *Traffic) sendRandom() {
	sim := t.Sim
	chat := sim.Random.IntN(t.ChatCount)
	if t.waiting[chat] || t.stopped {
		return
	}
	t.SendTurn(chat, chat%accountCount)
}

// SendTurn sends the next turn of a chat for an account and returns the request, or nil
// if it finds no router; after 12 turns the chat starts over.
func (t *Traffic) SendTurn(chat, account int) *dtmodel.Request {
	sim := t.Sim
	const maxTurns = 12
	if t.turns[chat] >= maxTurns {
		t.turns[chat] = 0
	}
	t.turns[chat]++
	request := &dtmodel.Request{Tokens: answerTokens, Prefixes: promptPrefixes(chat, t.turns[chat])}
	t.waiting[chat] = true
	t.IdealCachedTokens += t.IdealCache.Lookup(request.Prefixes)
	request.OnEnd = func(request *dtmodel.Request) {
		t.waiting[chat] = false
		if request.Completed {
			t.IdealCache.Add(request.Prefixes)
		}
	}
	router := t.randomRouter()
	if router == nil {
		return nil
	}
	sim.SendTurn(router, dtmodel.AccountName(account), dtmodel.GroupName(0), dtstate.HashString(fmt.Sprint("chat", chat)), request)
	t.Requests = append(t.Requests, request)
	return request
}

// randomRouter returns a random router that accepts requests, as the platform's load
// balancer would, or nil after 64 draws without one.
func (t *Traffic) randomRouter() *dtmodel.Router {
	sim := t.Sim
	for range 64 {
		router := sim.Routers[sim.Random.IntN(len(sim.Routers))]
		if router.Alive && !router.State.Stopping && router.State.Config.Site != nil && len(router.State.Fleet.Servers) > 0 {
			return router
		}
	}
	return nil
}

// promptPrefixes returns the prompt prefixes of a chat's turn: a system prompt that many
// chats share, followed by the chat's own messages.
func promptPrefixes(chat, turn int) []dtengine.Prefix {
	const systemPrompts = 8
	h := dtstate.HashString("system", fmt.Sprint(chat%systemPrompts))
	out := []dtengine.Prefix{{Hash: h, Tokens: systemPromptTokens}}
	for i := range turn {
		h = dtstate.HashString("turn", fmt.Sprint(h, chat, i))
		out = append(out, dtengine.Prefix{Hash: h, Tokens: turnTokens})
	}
	return out
}

// LoadSkew samples how unevenly requests in flight are spread over the engines; the
// excess of an engine is its requests in flight above the load bound times the mean, plus
// one.
type LoadSkew struct {
	Ratios            []float64 // Most loaded engine over mean.
	MaxExcess         float64   // Of engines above the bound when they last received a request.
	MaxExcessMeanFell float64   // Of the other engines, which only a falling mean can put above the bound.
}

// samplePeriodically samples the included engines every 100 ms until done returns true.
func (skew *LoadSkew) samplePeriodically(sim *dtmodel.Simulation, include func(s *dtmodel.Server) bool, done func() bool) {
	sim.AfterFunc(sampleInterval, func() {
		if done() {
			return
		}
		skew.sample(sim, include)
		skew.samplePeriodically(sim, include, done)
	})
}

func (skew *LoadSkew) sample(sim *dtmodel.Simulation, include func(s *dtmodel.Server) bool) {
	var engines []*dtmodel.Server
	total, maxRunning := 0, 0
	for _, s := range sim.Servers {
		if s.Kind != dtconfig.KindEngine || !include(s) {
			continue
		}
		engines = append(engines, s)
		total += len(s.Running)
		maxRunning = max(maxRunning, len(s.Running))
	}
	mean := float64(total) / float64(max(len(engines), 1))
	if mean < minMeanForSkew {
		return
	}
	skew.Ratios = append(skew.Ratios, float64(maxRunning)/mean)
	for _, s := range engines {
		excess := float64(len(s.Running)) - (dtconfig.DefaultLoadBound*mean + 1)
		if s.DispatchExcess > 0 {
			skew.MaxExcess = max(skew.MaxExcess, excess)
			continue
		}
		skew.MaxExcessMeanFell = max(skew.MaxExcessMeanFell, excess)
	}
}
