package dtstate

import (
	"sort"
	"time"
)

// Bounds of shards, rankings and known loads.
const (
	serversPerShard  = 8                // Shards are split until their mean size is at most this.
	maxRankedServers = 6                // Maximum length of a ranking.
	loadTimeout      = 10 * time.Second // Age after which a reported load is dropped.
)

// Flags of a server's load.
const (
	FlagCold uint8 = 1 << iota // The server is warming up after its start or slow answers.
	FlagDown                   // The server refused a connection or left several probes unanswered.
)

// BackendServer is the state that this router keeps about one backend server.
type BackendServer struct {
	ID              ServerID
	Address         string
	Domain          FailureDomain
	Region          Region
	Group           string
	Hash            uint64
	Draining        bool
	Shard           *Shard
	Load            ServerLoad
	LoadHeardAt     time.Time    // When another owner last reported Load.
	Owned           *OwnedServer // Set while this router owns the server.
	inTotals        bool         // Included in the totals of its group with the two values below.
	totaledInFlight uint32
	totaledWork     uint32
}

// Cold reports whether the server is still warming up.
func (b *BackendServer) Cold() bool { return b.Load.Flags&FlagCold != 0 }

// Down reports whether the server counts as down.
func (b *BackendServer) Down() bool { return b.Load.Flags&FlagDown != 0 }

// Shard is a set of servers of one group in one failure domain that have the same owner.
type Shard struct {
	Group  string
	Domain FailureDomain
	Index  int
	Hash   uint64
	Owner  RouterID
	Backup RouterID // The router that takes over if the owner leaves.
}

// ServerGroup holds the backend servers of one model or service, with the totals of their
// loads.
type ServerGroup struct {
	Name          string
	Servers       []*BackendServer // Sorted by ID.
	Candidates    []Candidate      // Servers that may get new requests.
	Owned         []*BackendServer // Servers that this router owns.
	ReadyCount    int              // Candidates that are up and warm; the totals are theirs.
	TotalInFlight int64
	TotalWork     int64
	loadsSentAt   time.Time
	loadsTimerSet bool // A load report is scheduled.
}

// Candidate is a server that may get new requests, kept small so that ranking is fast.
type Candidate struct {
	Hash    uint64
	Server  *BackendServer
	Ramping bool // Its failure domain returns to service gradually.
}

// Fleet holds the backend servers and their division among the routers.
type Fleet struct {
	Hosts          map[string]Host
	Servers        map[ServerID]*BackendServer
	ByHash         map[uint64]*BackendServer
	Groups         map[string]*ServerGroup
	GroupNames     []string        // Sorted.
	Domains        []FailureDomain // Sorted.
	DomainSwitches map[FailureDomain]DomainSwitch
	RampStarts     map[FailureDomain]time.Time // When failure domains returned to service.
	Dirty          bool                        // Hosts, members or configuration have changed since the last refresh.
}

func (f *Fleet) init() {
	f.Hosts = map[string]Host{}
	f.Servers = map[ServerID]*BackendServer{}
	f.ByHash = map[uint64]*BackendServer{}
	f.Groups = map[string]*ServerGroup{}
	f.DomainSwitches = map[FailureDomain]DomainSwitch{}
	f.RampStarts = map[FailureDomain]time.Time{}
	f.Dirty = true
}

// applyConfig rebuilds the fleet for a new configuration.
func (f *Fleet) applyConfig(s *State, now time.Time) {
	f.Dirty = true
	f.refresh(s, now)
}

// startRamp starts the gradual return of chats to a failure domain.
func (f *Fleet) startRamp(d FailureDomain, now time.Time) {
	f.RampStarts[d] = now
	f.Dirty = true
}

// applyHost updates the fleet with an entry of the platform's list of hosts.
func (s *State) applyHost(h Host, now time.Time) {
	f := &s.Fleet
	if h.Kind == hostKindRouter {
		return
	}
	f.Dirty = true
	id := ServerID(h.ID)
	if h.Gone {
		s.removeServer(id, now)
		return
	}
	sv := f.Servers[id]
	if sv == nil {
		sv = &BackendServer{ID: id, Hash: mix(HashString("server", h.ID))}
		f.Servers[id] = sv
		f.ByHash[sv.Hash] = sv
		s.recordEvent("server_known", h.ID, "", h.Group)
	}
	if h.Draining && !sv.Draining {
		s.recordEvent("server_leaving", h.ID, "", "")
	}
	sv.Address, sv.Domain, sv.Region, sv.Group, sv.Draining = h.Address, h.Domain, h.Region, h.Group, h.Draining
}

// hostKindRouter is the kind under which the platform lists routers.
const hostKindRouter = "router"

// removeServer removes a server that the platform no longer lists.
func (s *State) removeServer(id ServerID, now time.Time) {
	sv := s.Fleet.Servers[id]
	if sv == nil {
		return
	}
	s.recordEvent("server_gone", string(id), "", "")
	s.releaseIfOwned(sv, now)
	delete(s.Fleet.Servers, id)
	delete(s.Fleet.ByHash, sv.Hash)
}

// refresh rebuilds the groups, shards and candidates if they may have changed.
func (f *Fleet) refresh(s *State, now time.Time) {
	if !f.Dirty {
		return
	}
	f.Dirty = false
	f.rebuildDomains(s)
	f.rebuildGroups()
	for _, name := range f.GroupNames {
		g := f.Groups[name]
		f.assignShards(s, g)
		f.selectCandidates(s, g, now)
		g.Owned = g.Owned[:0]
		for _, sv := range g.Servers {
			s.updateOwnership(sv, now)
			if sv.Owned != nil {
				g.Owned = append(g.Owned, sv)
			}
		}
		f.recomputeTotals(g)
	}
}

// rebuildDomains lists the failure domains of this router, the members and the servers.
func (f *Fleet) rebuildDomains(s *State) {
	seen := map[FailureDomain]bool{s.Settings.Domain: true}
	for d := range s.Members.ByDomain {
		seen[d] = true
	}
	for _, sv := range f.Servers {
		seen[sv.Domain] = true
	}
	f.Domains = f.Domains[:0:0]
	for d := range seen {
		f.Domains = append(f.Domains, d)
	}
	sort.Slice(f.Domains, func(i, j int) bool { return f.Domains[i] < f.Domains[j] })
}

func (f *Fleet) rebuildGroups() {
	for _, g := range f.Groups {
		g.Servers = g.Servers[:0]
	}
	for _, sv := range f.Servers {
		g := f.Groups[sv.Group]
		if g == nil {
			g = &ServerGroup{Name: sv.Group}
			f.Groups[sv.Group] = g
			f.GroupNames = append(f.GroupNames, sv.Group)
			sort.Strings(f.GroupNames)
		}
		g.Servers = append(g.Servers, sv)
	}
	for _, g := range f.Groups {
		sort.Slice(g.Servers, func(i, j int) bool { return g.Servers[i].ID < g.Servers[j].ID })
	}
}

func (f *Fleet) assignShards(s *State, g *ServerGroup) {
	counts := map[FailureDomain]int{}
	for _, sv := range g.Servers {
		counts[sv.Domain]++
	}
	type shardKey struct {
		domain FailureDomain
		index  int
	}
	shards := map[shardKey]*Shard{}
	for _, sv := range g.Servers {
		at := shardKey{sv.Domain, int(sv.Hash % uint64(shardCount(counts[sv.Domain])))}
		sh := shards[at]
		if sh == nil {
			sh = newShard(s, g.Name, at.domain, at.index)
			shards[at] = sh
		}
		sv.Shard = sh
	}
}

// shardCount returns the number of shards for n servers, a power of two.
func shardCount(n int) int {
	count := 1
	for count*serversPerShard < n {
		count *= 2
	}
	return count
}

// newShard returns a shard whose owner and backup rank first and second by rendezvous
// hashing.
func newShard(s *State, group string, d FailureDomain, index int) *Shard {
	sh := &Shard{Group: group, Domain: d, Index: index}
	sh.Hash = mix(HashString("shard", group, string(d)) + uint64(index))
	sh.Owner, sh.Backup = s.topTwoRouters(sh.Hash, s.Members.ByDomain[d])
	return sh
}

// topTwoRouters returns the routers that rank first and second for hash by rendezvous
// hashing.
func (s *State) topTwoRouters(hash uint64, routers []RouterID) (first, second RouterID) {
	var firstScore, secondScore uint64
	for _, id := range routers {
		score := mix(hash ^ HashString(string(id)))
		switch {
		case first == "" || score > firstScore:
			first, second, firstScore, secondScore = id, first, score, firstScore
		case second == "" || score > secondScore:
			second, secondScore = id, score
		}
	}
	return first, second
}

// topRouter returns the router that ranks first for hash, or "".
func (s *State) topRouter(hash uint64, routers []RouterID) RouterID {
	first, _ := s.topTwoRouters(hash, routers)
	return first
}

// selectCandidates lists the servers of g that may get new requests: those in this
// router's region, or in all regions if there are none.
func (f *Fleet) selectCandidates(s *State, g *ServerGroup, now time.Time) {
	near := g.Candidates[:0]
	var far []Candidate
	for _, sv := range g.Servers {
		if sv.Draining || s.DomainOutOfService(sv.Domain) || !s.DomainReachable(sv.Domain, now) {
			continue
		}
		_, ramping := f.RampStarts[sv.Domain]
		c := Candidate{Hash: sv.Hash, Server: sv, Ramping: ramping}
		if sv.Region == s.Settings.Region {
			near = append(near, c)
			continue
		}
		far = append(far, c)
	}
	if len(near) == 0 {
		near = append(near, far...)
	}
	g.Candidates = near
}

func (f *Fleet) recomputeTotals(g *ServerGroup) {
	for _, sv := range g.Servers {
		sv.inTotals = false
	}
	g.ReadyCount, g.TotalInFlight, g.TotalWork = 0, 0, 0
	for _, c := range g.Candidates {
		f.addToTotals(g, c.Server)
	}
}

// addToTotals adds a server to the totals of its group if it is up and warm.
func (f *Fleet) addToTotals(g *ServerGroup, sv *BackendServer) {
	if sv.inTotals || sv.Load.Cap == 0 || sv.Load.Flags != 0 {
		return
	}
	sv.inTotals = true
	sv.totaledInFlight, sv.totaledWork = sv.Load.InFlight, sv.Load.Work
	g.ReadyCount++
	g.TotalInFlight += int64(sv.totaledInFlight)
	g.TotalWork += int64(sv.totaledWork)
}

func (f *Fleet) removeFromTotals(g *ServerGroup, sv *BackendServer) {
	if !sv.inTotals {
		return
	}
	sv.inTotals = false
	g.ReadyCount--
	g.TotalInFlight -= int64(sv.totaledInFlight)
	g.TotalWork -= int64(sv.totaledWork)
}

// setLoad updates the known load of a server and the totals of its group.
func (f *Fleet) setLoad(sv *BackendServer, load ServerLoad) {
	g := f.Groups[sv.Group]
	if g == nil {
		sv.Load = load
		return
	}
	counted := sv.inTotals
	active := counted || f.isCandidate(g, sv)
	f.removeFromTotals(g, sv)
	sv.Load = load
	if active {
		f.addToTotals(g, sv)
	}
}

func (f *Fleet) isCandidate(g *ServerGroup, sv *BackendServer) bool {
	for i := range g.Candidates {
		if g.Candidates[i].Server == sv {
			return true
		}
	}
	return false
}

// handleLoads records loads reported by another owner. A report on a server that this
// router owns shows that the ownership is contested.
func (s *State) handleLoads(loads []ServerLoad, now time.Time) {
	for _, l := range loads {
		sv := s.Fleet.ByHash[l.ServerHash]
		if sv == nil || sv.Owned != nil || l.Version <= sv.Load.Version {
			if sv != nil && sv.Owned != nil {
				sv.Owned.ContestedAt = now
			}
			continue
		}
		sv.LoadHeardAt = now
		s.Fleet.setLoad(sv, l)
	}
}

// fleetTick ends ramps, drops stale loads, probes the owned servers and reports their
// loads.
func (s *State) fleetTick(now time.Time) {
	f := &s.Fleet
	ramp := time.Duration(s.Config.Limits().RampMs) * time.Millisecond
	for d, start := range f.RampStarts {
		if now.Sub(start) >= ramp {
			delete(f.RampStarts, d)
			f.Dirty = true
		}
	}
	f.refresh(s, now)
	for _, name := range f.GroupNames {
		s.expireLoads(f.Groups[name], now)
		s.probeOwned(f.Groups[name], now)
		s.scheduleLoads(f.Groups[name], now)
	}
}

// expireLoads removes servers from the totals whose load was not reported for
// loadTimeout.
func (s *State) expireLoads(g *ServerGroup, now time.Time) {
	for _, sv := range g.Servers {
		if sv.Owned == nil && sv.Load.Cap != 0 && now.Sub(sv.LoadHeardAt) > loadTimeout {
			load := sv.Load
			load.Cap = 0
			s.Fleet.setLoad(sv, load)
		}
	}
}
