package dtmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Settings describes the fleet to simulate.
type Settings struct {
	Seed                              uint64
	RegionPrefix                      string
	Domains                           int
	RoutersPerDomain                  int
	EnginesPerDomain                  int
	ServicesPerDomain                 int // Plain services in each failure domain.
	EngineGroups                      int // Zero means one.
	Accounts                          int
	Server                            ServerSettings
	Site                              dtconfig.Site
	SameDomainDelay, CrossDomainDelay time.Duration // One-way delay within and between failure domains.
	LostMessageRatio                  float64       // Peer messages that are lost.
	DuplicateMessageRatio             float64       // Peer messages that are delivered twice.
	HostListLag                       time.Duration
	SkipEncoding                      bool // Passes messages unencoded, which is faster but counts no bytes.
}

// task is a function that runs at a point in virtual time; sequence orders tasks of the
// same time.
type task struct {
	at       time.Time
	sequence uint64
	run      func()
}

// taskHeap is a min-heap of tasks by time.
type taskHeap []task

// Len implements heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h taskHeap) Less(a, b int) bool {
	if h[a].at.Equal(h[b].at) {
		return h[a].sequence < h[b].sequence
	}
	return h[a].at.Before(h[b].at)
}

// Swap implements heap.Interface.
func (h taskHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) } //nolint:forcetypeassert // Only Simulation pushes.

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*h = old[:len(old)-1]
	return last
}

// Simulation is a simulated fleet and its virtual clock.
type Simulation struct {
	Settings          Settings
	Now               time.Time
	Random            *rand.Rand
	Platform          *Platform
	Routers           []*Router
	RoutersByID       map[dtstate.RouterID]*Router
	ServersByID       map[dtstate.ServerID]*Server
	Servers           []*Server
	Requests          map[dtstate.RequestID]*Request
	MaxDispatchExcess float64                                                   // Largest DispatchExcess of any server.
	IsPartitioned     func(from, to string) bool                                // Reports whether a network partition separates two failure domains.
	Trace             func(at time.Time, router *Router, r dtstate.RecordEvent) // Receives the routers' records, if set.
	tasks             taskHeap
	sequence          uint64
}

// EpochMs is the virtual time at which every simulation begins, in Unix milliseconds.
const EpochMs = 1_700_000_000_000

// New returns a simulation whose configuration is stored in the platform and whose
// routers start within the first second of virtual time.
func New(settings Settings) *Simulation {
	sim := &Simulation{
		Settings: settings, Now: time.UnixMilli(EpochMs), Random: rand.New(rand.NewPCG(settings.Seed, settings.Seed+1)), //nolint:gosec // Seeded for reproducible runs.
		RoutersByID: map[dtstate.RouterID]*Router{}, ServersByID: map[dtstate.ServerID]*Server{}, Requests: map[dtstate.RequestID]*Request{},
		IsPartitioned: func(string, string) bool { return false },
	}
	sim.Platform = newPlatform(sim)
	sim.addServers()
	sim.Platform.putInitialConfig(sim.buildSite())
	for d := range settings.Domains {
		for i := range settings.RoutersPerDomain {
			sim.addRouter(d, i)
		}
	}
	return sim
}

// DomainName returns the name of the failure domain with index d.
func DomainName(d int) string { return fmt.Sprintf("dom-%d", d) }

// GroupName returns the name of the engine group with index g.
func GroupName(g int) string { return fmt.Sprintf("engines-%d", g) }

// ServiceGroup is the name of the group of plain services.
const ServiceGroup = "desk"

// AccountName returns the name of the client account with index a.
func AccountName(a int) dtstate.ClientAccount { return dtstate.ClientAccount(fmt.Sprintf("acc-%d", a)) }

func (sim *Simulation) buildSite() *dtconfig.Site {
	s := sim.Settings.Site
	groups := map[string]dtconfig.Group{}
	for g := range max(sim.Settings.EngineGroups, 1) {
		groups[GroupName(g)] = dtconfig.Group{
			Kind: dtconfig.KindEngine, MaxInFlight: sim.Settings.Server.Slots, ColdMaxInFlight: max(sim.Settings.Server.ColdMaxInFlight, 1), SlowFirstTokenMs: 500,
		}
	}
	groups[ServiceGroup] = dtconfig.Group{Kind: dtconfig.KindService, MaxInFlight: 64, ColdMaxInFlight: 8, SlowFirstTokenMs: 1000}
	s.Groups = groups
	s.Accounts = map[string]dtconfig.Account{}
	for a := range max(sim.Settings.Accounts, 1) {
		s.Accounts[string(AccountName(a))] = dtconfig.Account{Weight: 1}
	}
	s.FailureDomains = map[string]dtconfig.FailureDomain{}
	for d := range sim.Settings.Domains {
		s.FailureDomains[DomainName(d)] = dtconfig.FailureDomain{Region: sim.region(d)}
	}
	return &s
}

// NewSite returns a copy of the initial configuration, to apply as a new version.
func (sim *Simulation) NewSite() *dtconfig.Site { return sim.buildSite() }

// region returns the region of a failure domain; up to four domains share one.
func (sim *Simulation) region(d int) string {
	const perRegion = 4
	return fmt.Sprintf("%s-%d", sim.Settings.RegionPrefix, d/perRegion)
}

// AfterFunc calls run after d of virtual time.
func (sim *Simulation) AfterFunc(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.tasks, task{at: sim.Now.Add(max(d, 0)), sequence: sim.sequence, run: run})
}

// Advance runs the simulation for d of virtual time.
func (sim *Simulation) Advance(d time.Duration) {
	end := sim.Now.Add(d)
	for len(sim.tasks) > 0 && !sim.tasks[0].at.After(end) {
		next, ok := heap.Pop(&sim.tasks).(task)
		if !ok {
			return
		}
		sim.Now = next.at
		next.run()
	}
	sim.Now = end
}

// chance returns true with probability p.
func (sim *Simulation) chance(p float64) bool { return p > 0 && sim.Random.Float64() < p }

// jitter returns a random duration between d and 1.2 d.
func (sim *Simulation) jitter(d time.Duration) time.Duration {
	const jitterDivisor = 5
	if d < jitterDivisor {
		return d
	}
	return d + time.Duration(sim.Random.Int64N(int64(d)/jitterDivisor))
}
