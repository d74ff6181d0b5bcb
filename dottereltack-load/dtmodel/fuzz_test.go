package dtmodel_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// traceEnabled reports whether runs log the routers' records.
var traceEnabled = os.Getenv("DOTTERELTACK_TRACE") != ""

// TestMain fixes the seed, so that every run has the same result; make fuzz sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !isSet[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func limits() dtconfig.Limits {
	return dtconfig.Limits{
		LoadBound: 1.25, RetryRatio: 0.1, FirstByteTimeoutMs: 10_000, OrderWindowSeconds: 900, RampMs: 10_000,
		MaxQueuedPerAccount: 256, MaxQueuedPerShard: 4096, MaxRequestsInFlight: 50_000, Policy: dtconfig.PolicyAffinityBounded,
	}
}

// smallFleet returns a fleet of three failure domains with two routers each.
func smallFleet(seed uint64) dtmodel.Settings {
	return dtmodel.Settings{
		Seed: seed, RegionPrefix: "reg", Domains: 3, RoutersPerDomain: 2, EnginesPerDomain: 3, ServicesPerDomain: 2, Accounts: 4,
		SameDomainDelay: 200 * time.Microsecond, CrossDomainDelay: 700 * time.Microsecond, HostListLag: time.Second,
		Server: dtmodel.ServerSettings{
			Slots: 8, TokenTime: 5 * time.Millisecond, PrefillTime: 20 * time.Microsecond, CacheTokens: 1 << 16,
			CallTime: 50 * time.Millisecond, RestartTime: time.Second,
		},
		Site: dtconfig.Site{Limits: limits()},
	}
}

// machine is the state machine under test: a simulated fleet under random faults, with
// what its invariants need.
type machine struct {
	sim           *dtmodel.Simulation
	keys          []orderKey
	latestVersion uint64
	seenVersions  map[incarnation]uint64 // Version last in force, which must not fall.
}

type incarnation struct {
	router dtstate.RouterID
	number int
}

// orderKey is the idempotency key of an order and its time of creation.
type orderKey struct {
	key       string
	createdAt time.Time
}

func newMachine(seed uint64) *machine {
	m := &machine{sim: dtmodel.New(smallFleet(seed)), latestVersion: 1, seenVersions: map[incarnation]uint64{}}
	m.sim.Advance(3 * time.Second)
	return m
}

// drawRouter draws a router and returns it, or nil if it is not alive.
func (m *machine) drawRouter(t *rapid.T) *dtmodel.Router {
	router := m.sim.Routers[rapid.IntRange(0, len(m.sim.Routers)-1).Draw(t, "router")]
	if !router.Alive {
		return nil
	}
	return router
}

func (m *machine) sendOrder(router *dtmodel.Router) {
	k := orderKey{key: fmt.Sprintf("key-%d", len(m.keys)), createdAt: m.sim.Now}
	m.keys = append(m.keys, k)
	m.sim.SendOrder(router, dtmodel.AccountName(0), k.key, k.createdAt, 1)
}

// advance runs the simulation for d and checks the invariants every 200 ms.
func (m *machine) advance(t *rapid.T, d time.Duration) {
	const interval = 200 * time.Millisecond
	for d > 0 {
		m.sim.Advance(min(d, interval))
		d -= interval
		m.checkInvariants(t)
	}
}

// checkInvariants checks that no order runs twice, that no request has two answers,
// that confirmations and refusals agree with the executions, and that no router returns
// to an older configuration.
func (m *machine) checkInvariants(t *rapid.T) {
	executions := map[string]int{}
	for _, s := range m.sim.Servers {
		for key, n := range s.Executions {
			executions[key] += n
		}
	}
	for key, n := range executions {
		if n > 1 {
			t.Fatalf("order %s ran %d times", key, n)
		}
	}
	for _, request := range m.sim.Requests {
		if request.Answers > 1 {
			t.Fatalf("request %s got %d answers", request.ID, request.Answers)
		}
		if request.Completed && request.Key != "" && executions[request.Key] != 1 {
			t.Fatalf("order %s was confirmed and ran %d times", request.Key, executions[request.Key])
		}
		if request.Refusal != nil && request.Refusal.Ran == dtstate.NotExecuted && request.Executions > 0 {
			t.Fatalf("request %s ran and was refused as not run: %s", request.ID, request.Refusal.Reason)
		}
	}
	for _, router := range m.sim.Routers {
		key := incarnation{router.ID, router.Incarnation()}
		if v := router.State.Config.Version; v < m.seenVersions[key] {
			t.Fatalf("router %s went from configuration %d back to %d", router.ID, m.seenVersions[key], v)
		}
		m.seenVersions[key] = router.State.Config.Version
	}
}

// recoverAndCheck ends all faults, lets the fleet recover and checks that every request has
// an answer, that every refusal is in the ledger and that the routers have converged.
func (m *machine) recoverAndCheck(t *rapid.T) {
	sim := m.sim
	sim.IsPartitioned = func(string, string) bool { return false }
	sim.Platform.Outage, sim.Platform.LostResponseRatio, sim.Platform.LostCallRatio, sim.Platform.ExtraDelay = false, 0, 0, 0
	sim.Settings.LostMessageRatio, sim.Settings.DuplicateMessageRatio = 0, 0
	for d := range sim.Settings.Domains {
		sim.Platform.SetPartitioned(dtmodel.DomainName(d), false)
	}
	m.advance(t, 80*time.Second)
	for _, router := range sim.Routers {
		if !router.Alive {
			router.Start()
		}
	}
	m.advance(t, 40*time.Second)
	for _, request := range sim.Requests {
		if !request.Ended() && request.Router.Alive && !routerRestarted(request) {
			t.Fatalf("request %s never got an answer", request.ID)
		}
	}
	m.checkLedger(t)
	want := sim.Platform.ConfigRecord().Version
	for _, router := range sim.Routers {
		if router.State.Config.Version != want {
			t.Fatalf("router %s has configuration %d, the platform %d", router.ID, router.State.Config.Version, want)
		}
		if len(router.State.Members.Serving) != len(sim.Routers) {
			t.Fatalf("router %s considers %v alive", router.ID, router.State.Members.Serving)
		}
	}
}

// routerRestarted reports whether the router has restarted since it accepted the request.
func routerRestarted(request *dtmodel.Request) bool {
	return request.Incarnation != request.Router.Incarnation()
}

// checkLedger checks that every refusal that a caller received is in the ledger, except
// those of routers that have restarted since.
func (m *machine) checkLedger(t *rapid.T) {
	accounted := m.sim.AccountedRefusals()
	for _, request := range m.sim.Requests {
		if request.Refusal == nil || routerRestarted(request) {
			continue
		}
		if !accounted[request.ID] {
			t.Fatalf("refusal %d of %s (%s) is not accounted for", request.Refusal.Number, request.Refusal.Router, request.Refusal.Reason)
		}
	}
}

// actions returns the random actions of the state machine. Their names are part of the
// seeded sequence: renaming one changes the runs of a given seed.
func (m *machine) actions() map[string]func(*rapid.T) {
	sim := m.sim
	drawDuration := func(t *rapid.T, maxSeconds int) time.Duration {
		return time.Duration(rapid.IntRange(1, maxSeconds*1000).Draw(t, "ms")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"order": func(t *rapid.T) {
			router := m.drawRouter(t)
			if router == nil {
				return
			}
			m.sendOrder(router)
		},
		"resend": func(t *rapid.T) {
			router := m.drawRouter(t)
			if router == nil || len(m.keys) == 0 {
				return
			}
			k := m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
			sim.SendOrder(router, dtmodel.AccountName(0), k.key, k.createdAt, 1)
		},
		"chat": func(t *rapid.T) {
			router := m.drawRouter(t)
			if router == nil {
				return
			}
			chat := uint64(rapid.IntRange(1, 20).Draw(t, "chat"))
			request := &dtmodel.Request{Tokens: 40, Prefixes: []dtengine.Prefix{{Hash: chat, Tokens: 50}}}
			sim.SendTurn(router, dtmodel.AccountName(1), dtmodel.GroupName(0), chat*977, request)
		},
		"poison": func(t *rapid.T) {
			router := m.drawRouter(t)
			if router == nil {
				return
			}
			request := &dtmodel.Request{Tokens: 40, Poison: true, Prefixes: []dtengine.Prefix{{Hash: 666, Tokens: 50}}}
			sim.SendTurn(router, dtmodel.AccountName(2), dtmodel.GroupName(0), 666, request)
		},
		"kill": func(t *rapid.T) {
			if router := m.drawRouter(t); router != nil {
				router.Kill()
				sim.AfterFunc(drawDuration(t, 8), func() {
					if !router.Alive {
						router.Start()
					}
				})
			}
		},
		"pause": func(t *rapid.T) {
			if router := m.drawRouter(t); router != nil {
				router.Pause(drawDuration(t, 70))
			}
		},
		"stop": func(t *rapid.T) {
			if router := m.drawRouter(t); router != nil {
				router.Stop()
			}
		},
		"crash server": func(t *rapid.T) {
			sim.Servers[rapid.IntRange(0, len(sim.Servers)-1).Draw(t, "server")].Crash()
		},
		"crash a busy server": func(*rapid.T) {
			for _, s := range sim.Servers {
				if len(s.Running) > 0 && s.Alive {
					s.Crash()
					return
				}
			}
		},
		"order and crash": func(t *rapid.T) {
			router := m.drawRouter(t)
			if router == nil {
				return
			}
			m.sendOrder(router)
			m.advance(t, drawDuration(t, 1)/10)
			for _, s := range sim.Servers {
				if s.Kind == dtconfig.KindService && len(s.Running) > 0 && s.Alive {
					s.Crash()
				}
			}
		},
		"cut domain": func(t *rapid.T) {
			d := dtmodel.DomainName(rapid.IntRange(0, 2).Draw(t, "domain"))
			sim.IsPartitioned = func(a, b string) bool { return a != b && (a == d || b == d) }
			sim.Platform.SetPartitioned(d, rapid.Bool().Draw(t, "also from the platform"))
		},
		"heal": func(*rapid.T) {
			sim.IsPartitioned = func(string, string) bool { return false }
			for d := range sim.Settings.Domains {
				sim.Platform.SetPartitioned(dtmodel.DomainName(d), false)
			}
		},
		"platform": func(t *rapid.T) {
			sim.Platform.Outage = rapid.Bool().Draw(t, "down")
			sim.Platform.LostResponseRatio = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lose")
			sim.Platform.LostCallRatio = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "drop")
			sim.Platform.ExtraDelay = time.Duration(rapid.IntRange(0, 600).Draw(t, "slow")) * time.Millisecond
		},
		"network": func(t *rapid.T) {
			sim.Settings.LostMessageRatio = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(t, "loss")
			sim.Settings.DuplicateMessageRatio = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate")
		},
		"config": func(*rapid.T) {
			r := sim.Platform.ConfigRecord()
			m.latestVersion = max(m.latestVersion, r.Version) + 1
			sim.Platform.ApplyConfig(sim.NewSite(), m.latestVersion)
		},
		"old copy": func(t *rapid.T) {
			sim.Platform.RollBackConfig(uint64(rapid.IntRange(1, 3).Draw(t, "back")))
		},
		"switch domain": func(t *rapid.T) {
			if router := m.drawRouter(t); router != nil {
				d := dtstate.FailureDomain(dtmodel.DomainName(rapid.IntRange(0, 2).Draw(t, "domain")))
				router.Deliver(dtstate.DomainSwitched{Domain: d, Out: rapid.Bool().Draw(t, "out")})
			}
		},
		"short": func(t *rapid.T) { m.advance(t, drawDuration(t, 1)) },
		"long":  func(t *rapid.T) { m.advance(t, drawDuration(t, 6)) },
	}
}

// TestFaults runs random faults on a simulated fleet and checks its invariants.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		if traceEnabled {
			m.sim.Trace = func(at time.Time, router *dtmodel.Router, r dtstate.RecordEvent) {
				t.Logf("%d %s %s peer=%s request=%s %s", at.UnixMilli()-dtmodel.EpochMs, router.ID, r.Name, r.Subject, r.Request, r.Detail)
			}
		}
		t.Repeat(m.actions())
		m.recoverAndCheck(t)
	})
}
