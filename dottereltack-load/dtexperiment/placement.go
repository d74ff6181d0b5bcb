package dtexperiment

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Phases of a scenario in virtual time.
const (
	startupTime     = 5 * time.Second
	warmupTime      = 90 * time.Second
	measurementTime = 120 * time.Second
	completionTime  = 30 * time.Second
)

// Scenario is an experiment that runs under a given placement policy.
type Scenario struct {
	Name string
	Run  func(seed uint64, policy string) []Metric
}

// Scenarios returns all experiments on placement and limits.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", Steady},
		{"churn", Churn},
		{"restart", RollingRestart},
		{"cold", ColdStart},
		{"surge", Surge},
		{"poison", Poison},
		{"poison_part", PoisonPart},
		{"third", ThirdOfServersFail},
	}
}

// newWarmSimulation returns a simulation whose traffic has filled the prefix caches;
// load is the fraction of the engines' capacity that it uses.
func newWarmSimulation(seed uint64, policy string, load float64) (*dtmodel.Simulation, *Traffic) {
	sim := dtmodel.New(settings(seed, policy))
	sim.Advance(startupTime)
	t := newTraffic(sim, load)
	t.Start()
	sim.Advance(warmupTime)
	return sim, t
}

// cacheUse counts the prompt tokens found in the engines' caches, and those that would
// have been found in an unbounded cache shared by all engines.
type cacheUse struct {
	cachedTokens, idealTokens int
}

func currentCacheUse(sim *dtmodel.Simulation, t *Traffic) cacheUse {
	u := cacheUse{idealTokens: t.IdealCachedTokens}
	for _, s := range sim.Servers {
		u.cachedTokens += s.CachedTokens
	}
	return u
}

// reuseSince returns the ratio of cached to ideally cached tokens since before.
func (u cacheUse) reuseSince(before cacheUse) float64 {
	return float64(u.cachedTokens-before.cachedTokens) / float64(max(u.idealTokens-before.idealTokens, 1))
}

func anyServer(*dtmodel.Server) bool { return true }

// Steady measures cache reuse and load skew under constant load without failures.
func Steady(seed uint64, policy string) []Metric {
	sim, t := newWarmSimulation(seed, policy, utilization)
	before := currentCacheUse(sim, t)
	from := sim.Now
	end := sim.Now.Add(measurementTime)
	var skew LoadSkew
	sim.MaxDispatchExcess = 0
	skew.samplePeriodically(sim, anyServer, func() bool { return sim.Now.After(end) })
	sim.Advance(measurementTime)
	waits := firstByteWaits(t.Requests, from, end, func(*dtmodel.Request) bool { return true })
	completed, refused, _ := countOutcomes(t.Requests, from, end)
	return []Metric{
		{"cache_reuse_steady", policy, currentCacheUse(sim, t).reuseSince(before)},
		{"load_skew_p99", policy, quantile(skew.Ratios, 0.99)},
		{"load_skew_max", policy, quantile(skew.Ratios, 1)},
		{"load_over_bound_max", policy, max(skew.MaxExcess, 0)},
		{"load_over_bound_mean_fell_max", policy, max(skew.MaxExcessMeanFell, 0)},
		{"load_given_over_bound_max", policy, sim.MaxDispatchExcess},
		{"steady_first_byte_p95", policy, quantile(waits, 0.95)},
		{"steady_refused_ratio", policy, float64(refused) / float64(max(completed+refused, 1))},
	}
}

// Churn measures cache reuse and load skew while servers leave and return and routers
// restart.
func Churn(seed uint64, policy string) []Metric {
	sim, t := newWarmSimulation(seed, policy, utilization)
	before := currentCacheUse(sim, t)
	from := sim.Now
	end := sim.Now.Add(measurementTime)
	drainingServers := map[dtstate.ServerID]bool{}
	var skew LoadSkew
	skew.samplePeriodically(sim, func(s *dtmodel.Server) bool { return !drainingServers[s.ID] }, func() bool { return sim.Now.After(end) })
	const cycle, drainingTime, returnTime = 20 * time.Second, 8 * time.Second, 4 * time.Second
	for i := 0; sim.Now.Before(end); i++ {
		s := sim.Servers[(i*5)%(len(sim.Servers)-domainCount)]
		if s.Kind != dtconfig.KindEngine {
			s = sim.Servers[0]
		}
		s.SetListed(true, false)
		drainingServers[s.ID] = true
		sim.Advance(drainingTime)
		s.SetListed(false, false)
		sim.Advance(returnTime)
		delete(drainingServers, s.ID)
		router := sim.Routers[i%len(sim.Routers)]
		router.Stop()
		sim.Advance(cycle - drainingTime - returnTime)
		if !router.Alive {
			router.Start()
		}
	}
	_, refused, unanswered := countOutcomes(t.Requests, from, end)
	lastWork := 0.0
	for _, s := range sim.Servers {
		lastWork = max(lastWork, s.LastWorkAfterDraining.Seconds())
	}
	return []Metric{
		{"leaving_last_work_seconds", policy, lastWork},
		{"cache_reuse_churn", policy, currentCacheUse(sim, t).reuseSince(before)},
		{"churn_load_skew_p99", policy, quantile(skew.Ratios, 0.99)},
		{"churn_load_skew_max", policy, quantile(skew.Ratios, 1)},
		{"churn_refused", policy, float64(refused)},
		{"churn_unanswered", policy, float64(unanswered - t.countInFlight())},
	}
}

// countInFlight returns the number of unanswered requests whose router has not restarted.
func (t *Traffic) countInFlight() int {
	n := 0
	for _, request := range t.Requests {
		if !request.Ended() && request.Router.Alive && request.Incarnation == request.Router.Incarnation() {
			n++
		}
	}
	return n
}

// RollingRestart restarts the routers one after another and counts unanswered and refused
// requests.
func RollingRestart(seed uint64, policy string) []Metric {
	sim, t := newWarmSimulation(seed, policy, utilization)
	from := sim.Now
	for _, router := range sim.Routers {
		router.Stop()
		for range 300 {
			sim.Advance(100 * time.Millisecond)
			if !router.Alive {
				break
			}
		}
		router.Start()
		sim.Advance(2 * time.Second)
	}
	t.Stop()
	sim.Advance(completionTime)
	_, refused, unanswered := countOutcomes(t.Requests, from, sim.Now)
	return append([]Metric{
		{"restart_cut", policy, float64(unanswered)},
		{"restart_refused", policy, float64(refused)},
	}, refusalsByReason("restart", policy, t.Requests, from, sim.Now)...)
}

// ColdStart crashes all servers at once, so that all restart cold, and measures their
// overload and the outcomes of requests.
func ColdStart(seed uint64, policy string) []Metric {
	sim, t := newWarmSimulation(seed, policy, utilization)
	const coldTime = 20 * time.Second
	for _, s := range sim.Servers {
		s.Crash()
	}
	sim.Settings.Server.ColdTime = coldTime
	sim.Advance(sim.Settings.Server.RestartTime + 100*time.Millisecond)
	from := sim.Now
	sim.Advance(coldTime)
	maxRunning := 0
	for _, s := range sim.Servers {
		if s.Kind == dtconfig.KindEngine {
			maxRunning = max(maxRunning, s.MaxRunningCold)
		}
	}
	t.Stop()
	sim.Advance(completionTime)
	completed, refused, unanswered := countOutcomes(t.Requests, from, sim.Now)
	return append([]Metric{
		{"cold_overload_max", policy, float64(maxRunning) / float64(sim.Settings.Server.ColdMaxInFlight)},
		{"cold_completed", policy, float64(completed)},
		{"cold_refused", policy, float64(refused)},
		{"cold_unanswered", policy, float64(unanswered)},
	}, refusalsByReason("cold", policy, t.Requests, from, sim.Now)...)
}

// Surge makes one client account send ten times its share for 30 seconds and compares
// the other accounts' waits for the first byte before and during that time.
func Surge(seed uint64, policy string) []Metric {
	const load, factor, surgeTime = 0.5, 10, 30 * time.Second
	sim, t := newWarmSimulation(seed, policy, load)
	others := func(request *dtmodel.Request) bool { return request.Account != dtmodel.AccountName(0) }
	from := sim.Now
	sim.Advance(measurementTime / 2)
	p95Before := quantile(firstByteWaits(t.Requests, from, sim.Now, others), 0.95)
	start, end := sim.Now, sim.Now.Add(surgeTime)
	chat := t.ChatCount
	var sendSurge func()
	sendSurge = func() {
		if sim.Now.After(end) {
			return
		}
		chat++
		t.SendTurn(chat, 0)
		wait := sim.Random.ExpFloat64() / (t.TurnsPerSecond / accountCount * factor)
		sim.AfterFunc(time.Duration(wait*float64(time.Second)), sendSurge)
	}
	sendSurge()
	sim.Advance(surgeTime)
	p95During := quantile(firstByteWaits(t.Requests, start, end, others), 0.95)
	t.Stop()
	sim.Advance(completionTime)
	refused := 0
	for _, request := range t.Requests {
		if others(request) && request.Refusal != nil && !request.SentAt.Before(start) {
			refused++
		}
	}
	return []Metric{
		{"surge_p95_ratio", policy, p95During / p95Before},
		{"surge_others_refused", policy, float64(refused)},
	}
}

// Poison sends a request that crashes its server through all routers at once, in
// several rounds, and counts the crashed servers.
func Poison(seed uint64, policy string) []Metric {
	const load, roundCount = 0.3, 5
	sim, t := newWarmSimulation(seed, policy, load)
	crashes := 0
	before := 0
	for _, s := range sim.Servers {
		before += s.Crashes
	}
	var requests []*dtmodel.Request
	for range roundCount {
		for _, router := range sim.Routers {
			request := &dtmodel.Request{Tokens: answerTokens, Poison: true, Prefixes: []dtengine.Prefix{{Hash: 666, Tokens: systemPromptTokens}}}
			sim.SendTurn(router, dtmodel.AccountName(1), dtmodel.GroupName(0), 666, request)
			requests = append(requests, request)
		}
		sim.Advance(3 * time.Second)
	}
	t.Stop()
	sim.Advance(completionTime)
	for _, s := range sim.Servers {
		crashes += s.Crashes
	}
	poisonRefusals, unanswered := 0, 0
	for _, request := range requests {
		if request.Refusal != nil && request.Refusal.Reason == dtstate.ReasonPoison {
			poisonRefusals++
		}
		if !request.Ended() {
			unanswered++
		}
	}
	return []Metric{
		{"poison_servers_killed", policy, float64(crashes - before)},
		{"poison_told_ratio", policy, float64(poisonRefusals) / float64(len(requests))},
		{"poison_unanswered", policy, float64(unanswered)},
	}
}

// PoisonPart sends requests that share a prompt part which crashes servers, each by itself different,
// through the routers in turn, and counts the crashed servers and the other requests that were
// refused for crashing servers without having reached one.
func PoisonPart(seed uint64, policy string) []Metric {
	const load, requestCount, deadlyPart = 0.3, 30, 666
	sim, t := newWarmSimulation(seed, policy, load)
	crashes := 0
	for _, s := range sim.Servers {
		crashes -= s.Crashes
	}
	sent := map[*dtmodel.Request]bool{}
	for i := range requestCount {
		chat := 1_000_000 + i
		prefixes := promptPrefixes(chat, 1)
		prefixes = append(prefixes[:1:1], dtengine.Prefix{Hash: deadlyPart, Tokens: systemPromptTokens}, prefixes[len(prefixes)-1])
		request := &dtmodel.Request{Tokens: answerTokens, Poison: true, Prefixes: prefixes}
		sim.SendTurn(sim.Routers[i%len(sim.Routers)], dtmodel.AccountName(1), dtmodel.GroupName(0), uint64(chat), request)
		sent[request] = true
		sim.Advance(700 * time.Millisecond)
	}
	t.Stop()
	sim.Advance(completionTime)
	for _, s := range sim.Servers {
		crashes += s.Crashes
	}
	soundRefused, unanswered := 0, 0
	for _, request := range sim.Requests {
		// A request that was itself running on two crashed servers is refused like one that crashed them.
		if !sent[request] && request.Attempts == 0 && request.Refusal != nil && request.Refusal.Reason == dtstate.ReasonPoison {
			soundRefused++
		}
		if !request.Ended() {
			unanswered++
		}
	}
	return []Metric{
		{"part_servers_killed", policy, float64(crashes)},
		{"part_sound_refused", policy, float64(soundRefused)},
		{"part_unanswered", policy, float64(unanswered)},
	}
}

// ThirdOfServersFail crashes a third of the engines at once and measures the attempts
// per request.
func ThirdOfServersFail(seed uint64, policy string) []Metric {
	sim, t := newWarmSimulation(seed, policy, utilization)
	from := sim.Now
	for i, s := range sim.Servers {
		if s.Kind == dtconfig.KindEngine && i%3 == 0 {
			s.Crash()
		}
	}
	const window = 10 * time.Second
	sim.Advance(window)
	attempts, requests := 0, 0
	for _, request := range t.Requests {
		if request.EndedAt.Before(from) && !request.EndedAt.IsZero() {
			continue
		}
		attempts += max(request.Attempts, 1)
		requests++
	}
	return []Metric{{"retry_amplification_max", policy, float64(attempts) / float64(max(requests, 1))}}
}
