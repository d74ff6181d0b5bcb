package dtmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Settings is the fleet to model.
type Settings struct {
	Seed       uint64
	Region     string
	Domains    int
	Routers    int // Routers in each failure domain.
	Engines    int // Engines in each failure domain.
	Services   int // Plain services in each failure domain.
	Groups     int // Engine groups; zero means one.
	Accounts   int
	Server     ServerSettings
	Site       dtconfig.Site
	Near, Far  time.Duration // One-way delay inside and between failure domains.
	Loss       float64
	Duplicate  float64
	HostsLag   time.Duration
	SkipEncode bool // Leaves messages unencoded: faster, but bytes are not counted.
}

// job is one thing that happens at a time.
type job struct {
	at    time.Time
	order uint64
	do    func()
}

type jobs []job

// Len implements heap.Interface.
func (j jobs) Len() int { return len(j) }

// Less implements heap.Interface.
func (j jobs) Less(a, b int) bool {
	if j[a].at.Equal(j[b].at) {
		return j[a].order < j[b].order
	}
	return j[a].at.Before(j[b].at)
}

// Swap implements heap.Interface.
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) } //nolint:forcetypeassert // Only World pushes.

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	old[len(old)-1] = job{}
	*j = old[:len(old)-1]
	return last
}

// World is the modelled fleet and its virtual time.
type World struct {
	Settings  Settings
	Now       time.Time
	Random    *rand.Rand
	Platform  *Platform
	Nodes     []*Node
	ByID      map[dtstate.RouterID]*Node
	Servers   map[dtstate.ServerID]*Server
	All       []*Server
	Calls     map[dtstate.RequestID]*Call
	GivenOver float64                    // Most by which a server was above its bound when given work.
	Cut       func(from, to string) bool // Whether two failure domains are separated.
	Trace     func(at time.Time, node *Node, r dtstate.RecordEvent)
	queue     jobs
	count     uint64
}

// Epoch is the virtual time at which every world begins.
const Epoch = 1_700_000_000_000

// New returns a world whose routers have started and know the configuration.
func New(cfg Settings) *World {
	w := &World{
		Settings: cfg, Now: time.UnixMilli(Epoch), Random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)), //nolint:gosec // Seeded runs repeat.
		ByID: map[dtstate.RouterID]*Node{}, Servers: map[dtstate.ServerID]*Server{}, Calls: map[dtstate.RequestID]*Call{},
		Cut: func(string, string) bool { return false },
	}
	w.Platform = newPlatform(w)
	w.addServers()
	w.Platform.putConfig(w.site())
	for d := range cfg.Domains {
		for i := range cfg.Routers {
			w.addNode(d, i)
		}
	}
	return w
}

// Domain returns the name of a failure domain.
func Domain(d int) string { return fmt.Sprintf("dom-%d", d) }

// Group returns the name of an engine group.
func Group(g int) string { return fmt.Sprintf("engines-%d", g) }

// ServiceGroup is the group of plain services.
const ServiceGroup = "desk"

// Account returns the name of a client account.
func Account(a int) dtstate.ClientAccount { return dtstate.ClientAccount(fmt.Sprintf("acc-%d", a)) }

// site returns the configuration in force at the start.
func (w *World) site() *dtconfig.Site {
	s := w.Settings.Site
	groups := map[string]dtconfig.Group{}
	for g := range max(w.Settings.Groups, 1) {
		groups[Group(g)] = dtconfig.Group{
			Kind: dtconfig.KindEngine, MaxInflight: w.Settings.Server.Slots, ColdMaxInflight: max(w.Settings.Server.ColdCap, 1), SlowFirstTokenMs: 500,
		}
	}
	groups[ServiceGroup] = dtconfig.Group{Kind: dtconfig.KindService, MaxInflight: 64, ColdMaxInflight: 8, SlowFirstTokenMs: 1000}
	s.Groups = groups
	s.Accounts = map[string]dtconfig.Account{}
	for a := range max(w.Settings.Accounts, 1) {
		s.Accounts[string(Account(a))] = dtconfig.Account{Weight: 1}
	}
	s.FailureDomains = map[string]dtconfig.FailureDomain{}
	for d := range w.Settings.Domains {
		s.FailureDomains[Domain(d)] = dtconfig.FailureDomain{Region: w.region(d)}
	}
	return &s
}

// NewSite returns a further configuration of the modelled fleet.
func (w *World) NewSite() *dtconfig.Site { return w.site() }

// region returns the region of a failure domain; one region holds up to four.
func (w *World) region(d int) string {
	const perRegion = 4
	return fmt.Sprintf("%s-%d", w.Settings.Region, d/perRegion)
}

// After does something after d of virtual time.
func (w *World) After(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, job{at: w.Now.Add(max(d, 0)), order: w.count, do: do})
}

// Run lets d of virtual time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next, ok := heap.Pop(&w.queue).(job)
		if !ok {
			return
		}
		w.Now = next.at
		next.do()
	}
	w.Now = end
}

// chance says yes with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

// jitter returns a time between d and 1.2 d.
func (w *World) jitter(d time.Duration) time.Duration {
	const part = 5
	if d < part {
		return d
	}
	return d + time.Duration(w.Random.Int64N(int64(d)/part))
}
