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

// trace has the events of a failing run printed.
var trace = os.Getenv("DOTTERELTACK_TRACE") != ""

// TestMain fixes the seed, so that every run gives the same verdict; make fuzz sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// limits returns the limits of a modelled site.
func limits() dtconfig.Limits {
	return dtconfig.Limits{
		LoadBound: 1.25, RetryRatio: 0.1, FirstByteTimeoutMs: 10_000, OrderWindowSeconds: 900, RampMs: 10_000,
		MaxQueuedPerAccount: 256, MaxQueuedPerShard: 4096, MaxRequestsInFlight: 50_000, Policy: dtconfig.PolicyAffinityBounded,
	}
}

// small returns three failure domains with two routers each.
func small(seed uint64) dtmodel.Settings {
	return dtmodel.Settings{
		Seed: seed, Region: "reg", Domains: 3, Routers: 2, Engines: 3, Services: 2, Accounts: 4,
		Near: 200 * time.Microsecond, Far: 700 * time.Microsecond, HostsLag: time.Second,
		Server: dtmodel.ServerSettings{
			Slots: 8, Token: 5 * time.Millisecond, Prefill: 20 * time.Microsecond, CacheTokens: 1 << 16,
			Call: 50 * time.Millisecond, Restart: time.Second,
		},
		Site: dtconfig.Site{Limits: limits()},
	}
}

// machine is a fleet under random faults and the oracle that judges it.
type machine struct {
	w        *dtmodel.World
	keys     []madeKey
	version  uint64
	versions map[life]uint64
}

// life is one incarnation of a router.
type life struct {
	router dtstate.RouterID
	number int
}

// madeKey is an order key that some caller uses.
type madeKey struct {
	key  string
	made time.Time
}

func newMachine(seed uint64) *machine {
	m := &machine{w: dtmodel.New(small(seed)), version: 1, versions: map[life]uint64{}}
	m.w.Run(3 * time.Second)
	return m
}

// node draws a router that is alive, or nil.
func (m *machine) node(t *rapid.T) *dtmodel.Node {
	n := m.w.Nodes[rapid.IntRange(0, len(m.w.Nodes)-1).Draw(t, "router")]
	if !n.Alive {
		return nil
	}
	return n
}

// order sends an order under a new key to a router.
func (m *machine) order(n *dtmodel.Node) {
	k := madeKey{key: fmt.Sprintf("key-%d", len(m.keys)), made: m.w.Now}
	m.keys = append(m.keys, k)
	m.w.Order(n, dtmodel.Account(0), k.key, k.made, 1)
}

// pass lets time pass in pieces and checks what must hold at every moment.
func (m *machine) pass(t *rapid.T, d time.Duration) {
	const piece = 200 * time.Millisecond
	for d > 0 {
		m.w.Run(min(d, piece))
		d -= piece
		m.check(t)
	}
}

// check is what must hold at every moment.
func (m *machine) check(t *rapid.T) {
	runs := map[string]int{}
	for _, s := range m.w.All {
		for key, n := range s.Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			t.Fatalf("order %s ran %d times", key, n)
		}
	}
	for _, c := range m.w.Calls {
		if c.Answers > 1 {
			t.Fatalf("request %s got %d answers", c.Request, c.Answers)
		}
		if c.Completed && c.Key != "" && runs[c.Key] != 1 {
			t.Fatalf("order %s was confirmed and ran %d times", c.Key, runs[c.Key])
		}
		if c.Refusal != nil && c.Refusal.Ran == dtstate.NotExecuted && c.Ran > 0 {
			t.Fatalf("request %s ran and was refused as not run: %s", c.Request, c.Refusal.Reason)
		}
	}
	for _, n := range m.w.Nodes {
		of := life{n.ID, n.Life()}
		if v := n.State.Config.Version; v < m.versions[of] {
			t.Fatalf("router %s went from configuration %d back to %d", n.ID, m.versions[of], v)
		}
		m.versions[of] = n.State.Config.Version
	}
}

// settle heals everything, waits and checks what must hold in the end.
func (m *machine) settle(t *rapid.T) {
	w := m.w
	w.Cut = func(string, string) bool { return false }
	w.Platform.Down, w.Platform.LoseRatio, w.Platform.DropRatio, w.Platform.Slow = false, 0, 0, 0
	w.Settings.Loss, w.Settings.Duplicate = 0, 0
	for d := range w.Settings.Domains {
		w.Platform.CutOff(dtmodel.Domain(d), false)
	}
	m.pass(t, 80*time.Second)
	for _, n := range w.Nodes {
		if !n.Alive {
			n.Start()
		}
	}
	m.pass(t, 40*time.Second)
	for _, c := range w.Calls {
		if !c.Ended() && c.Node.Alive && !restarted(c) {
			t.Fatalf("request %s never got an answer", c.Request)
		}
	}
	m.checkLedger(t)
	want := w.Platform.Record().Version
	for _, n := range w.Nodes {
		if n.State.Config.Version != want {
			t.Fatalf("router %s has configuration %d, the platform %d", n.ID, n.State.Config.Version, want)
		}
		if len(n.State.Members.Serving) != len(w.Nodes) {
			t.Fatalf("router %s believes %v alive", n.ID, n.State.Members.Serving)
		}
	}
}

// restarted says whether the router that took a request is another incarnation now.
func restarted(c *dtmodel.Call) bool {
	return c.Life != c.Node.Life()
}

// checkLedger compares what callers were told with what can be accounted for.
func (m *machine) checkLedger(t *rapid.T) {
	held := m.w.Accounted()
	for _, c := range m.w.Calls {
		if c.Refusal == nil || restarted(c) {
			continue
		}
		if !held[c.Request] {
			t.Fatalf("refusal %d of %s (%s) is not accounted for", c.Refusal.Number, c.Refusal.Router, c.Refusal.Reason)
		}
	}
}

// actions are the things that may happen, together or one after another.
func (m *machine) actions() map[string]func(*rapid.T) {
	w := m.w
	seconds := func(t *rapid.T, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most*1000).Draw(t, "ms")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"order": func(t *rapid.T) {
			n := m.node(t)
			if n == nil {
				return
			}
			m.order(n)
		},
		"resend": func(t *rapid.T) {
			n := m.node(t)
			if n == nil || len(m.keys) == 0 {
				return
			}
			k := m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
			w.Order(n, dtmodel.Account(0), k.key, k.made, 1)
		},
		"chat": func(t *rapid.T) {
			n := m.node(t)
			if n == nil {
				return
			}
			chat := uint64(rapid.IntRange(1, 20).Draw(t, "chat"))
			call := &dtmodel.Call{Tokens: 40, Prefixes: []dtengine.Prefix{{Hash: chat, Tokens: 50}}}
			w.Chat(n, dtmodel.Account(1), dtmodel.Group(0), chat*977, call)
		},
		"poison": func(t *rapid.T) {
			n := m.node(t)
			if n == nil {
				return
			}
			call := &dtmodel.Call{Tokens: 40, Poison: true, Prefixes: []dtengine.Prefix{{Hash: 666, Tokens: 50}}}
			w.Chat(n, dtmodel.Account(2), dtmodel.Group(0), 666, call)
		},
		"kill": func(t *rapid.T) {
			if n := m.node(t); n != nil {
				n.Kill()
				w.After(seconds(t, 8), func() {
					if !n.Alive {
						n.Start()
					}
				})
			}
		},
		"pause": func(t *rapid.T) {
			if n := m.node(t); n != nil {
				n.Pause(seconds(t, 70))
			}
		},
		"stop": func(t *rapid.T) {
			if n := m.node(t); n != nil {
				n.Stop()
			}
		},
		"crash server": func(t *rapid.T) {
			w.All[rapid.IntRange(0, len(w.All)-1).Draw(t, "server")].Crash()
		},
		"crash a busy server": func(*rapid.T) {
			for _, s := range w.All {
				if len(s.Running) > 0 && s.Alive {
					s.Crash()
					return
				}
			}
		},
		"order and crash": func(t *rapid.T) {
			n := m.node(t)
			if n == nil {
				return
			}
			m.order(n)
			m.pass(t, seconds(t, 1)/10)
			for _, s := range w.All {
				if s.Kind == dtconfig.KindService && len(s.Running) > 0 && s.Alive {
					s.Crash()
				}
			}
		},
		"cut domain": func(t *rapid.T) {
			d := dtmodel.Domain(rapid.IntRange(0, 2).Draw(t, "domain"))
			w.Cut = func(a, b string) bool { return a != b && (a == d || b == d) }
			w.Platform.CutOff(d, rapid.Bool().Draw(t, "also from the platform"))
		},
		"heal": func(*rapid.T) {
			w.Cut = func(string, string) bool { return false }
			for d := range w.Settings.Domains {
				w.Platform.CutOff(dtmodel.Domain(d), false)
			}
		},
		"platform": func(t *rapid.T) {
			w.Platform.Down = rapid.Bool().Draw(t, "down")
			w.Platform.LoseRatio = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lose")
			w.Platform.DropRatio = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "drop")
			w.Platform.Slow = time.Duration(rapid.IntRange(0, 600).Draw(t, "slow")) * time.Millisecond
		},
		"network": func(t *rapid.T) {
			w.Settings.Loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(t, "loss")
			w.Settings.Duplicate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate")
		},
		"config": func(*rapid.T) {
			r := w.Platform.Record()
			m.version = max(m.version, r.Version) + 1
			w.Platform.Apply(w.NewSite(), m.version)
		},
		"old copy": func(t *rapid.T) {
			w.Platform.Rollback(uint64(rapid.IntRange(1, 3).Draw(t, "back")))
		},
		"switch domain": func(t *rapid.T) {
			if n := m.node(t); n != nil {
				d := dtstate.FailureDomain(dtmodel.Domain(rapid.IntRange(0, 2).Draw(t, "domain")))
				n.Deliver(dtstate.DomainSwitched{Domain: d, Out: rapid.Bool().Draw(t, "out")})
			}
		},
		"short": func(t *rapid.T) { m.pass(t, seconds(t, 1)) },
		"long":  func(t *rapid.T) { m.pass(t, seconds(t, 6)) },
	}
}

// TestFaults drives a fleet of reducers through random faults against the oracle.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		if trace {
			m.w.Trace = func(at time.Time, n *dtmodel.Node, r dtstate.RecordEvent) {
				t.Logf("%d %s %s peer=%s request=%s %s", at.UnixMilli()-dtmodel.Epoch, n.ID, r.Step, r.Peer, r.Request, r.Detail)
			}
		}
		t.Repeat(m.actions())
		m.settle(t)
	})
}
