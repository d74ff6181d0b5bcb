package dtstate

import (
	"time"
)

// Timeouts and bounds of an owner's slots.
const (
	slotTimeout            = 7 * time.Second        // Slots that are not renewed within this time are removed.
	verdictProbeTimeout    = 800 * time.Millisecond // How long a verdict waits for a probe; after that, no crash is assumed unless the server drops probes.
	droppedProbeDelay      = 100 * time.Millisecond // The kernel may accept connections for a process that has just ended.
	maxHops                = 2                      // Forwards of one slot request.
	poisonCrashThreshold   = 2                      // Crashed servers after which a request is refused.
	recentForwardRetention = 2 * time.Second        // How long requests with the same digest follow a forwarded one to its server.
	maxRecentForwards      = 4096
	meanWorkWindow         = 64 // Number of requests over which the mean work is smoothed.
)

// OwnerState is the state of this router as owner: the slots and queues of the servers
// that it owns.
type OwnerState struct {
	Slots  map[SlotKey]*OwnedSlot
	Groups map[string]*OwnedGroup
}

// OwnedGroup is the part of a server group that this router owns: its accounts, its queue
// and its completion rate.
type OwnedGroup struct {
	Accounts        map[ClientAccount]*AccountLoad
	Queue           Queue
	RunningByDigest map[uint64]int           // Requests in flight or awaiting a verdict, by digest.
	RecentForwards  map[uint64]recentForward // By digest.
	HomeWaiters     []HomeWaiter
	CompletionRate  float64 // Requests per second, smoothed.
	VirtualTime     float64 // Highest virtual time served from the queue; no account is queued with a lower one.
	MeanWork        float64 // Smoothed mean of the estimated tokens of a request.
	Heartbeats      int     // Successive heartbeats in which this router has owned servers of the group.
	completedCount  int     // Since the last heartbeat.
}

// AccountLoad is the load of one client account at this owner.
type AccountLoad struct {
	InFlight    int
	VirtualTime float64 // Work granted so far divided by the account's weight, for fair queueing.
	LastSeenAt  time.Time
}

func (o *OwnerState) init() {
	o.Slots = map[SlotKey]*OwnedSlot{}
	o.Groups = map[string]*OwnedGroup{}
}

// applyConfig lowers the caps of owned servers to the limits of a new configuration.
func (o *OwnerState) applyConfig(s *State) {
	for _, sv := range s.Fleet.Servers {
		if sv.Owned != nil {
			sv.Owned.Cap = min(sv.Owned.Cap, s.maxInFlight(sv.Group))
		}
	}
}

// group returns the owned part of a group and creates it if needed.
func (o *OwnerState) group(name string) *OwnedGroup {
	g := o.Groups[name]
	if g == nil {
		g = &OwnedGroup{Accounts: map[ClientAccount]*AccountLoad{}, RunningByDigest: map[uint64]int{}, RecentForwards: map[uint64]recentForward{}}
		g.Queue.init()
		o.Groups[name] = g
	}
	return g
}

// account returns the load of a client account and marks it as seen at now.
func (g *OwnedGroup) account(a ClientAccount, now time.Time) *AccountLoad {
	load := g.Accounts[a]
	if load == nil {
		load = &AccountLoad{VirtualTime: g.VirtualTime}
		g.Accounts[a] = load
	}
	load.LastSeenAt = now
	return load
}

// handleSlotRequest grants a slot, forwards the request to another owner, queues it or
// denies it. A repeated request that has a slot or is queued gets the same reply again.
func (s *State) handleSlotRequest(req *SlotRequest, now time.Time) {
	s.Fleet.refresh(s, now)
	s.handleLoads(req.Loads, now)
	key := SlotKey{req.Request, req.Attempt}
	if slot := s.Owner.Slots[key]; slot != nil {
		s.send(req.EntryRouter, &SlotGrant{Request: req.Request, Attempt: req.Attempt, Server: slot.Server}, now)
		return
	}
	g := s.Fleet.Groups[req.Group]
	if reason := s.denialReason(g, req); reason != ReasonNone {
		s.denySlot(req, reason, 0, now)
		return
	}
	og := s.Owner.group(req.Group)
	queue := &og.Queue
	if queue.ByKey[key] != nil || og.waitsForHome(key) {
		s.send(req.EntryRouter, &SlotQueued{Request: req.Request, Attempt: req.Attempt}, now)
		return
	}
	if !queue.hasWaiting(req.Class) && s.waitForHome(g, req, now) {
		return
	}
	s.placeOrEnqueue(g, req, now)
}

// placeOrEnqueue places a request that does not wait for its home server, or queues it.
func (s *State) placeOrEnqueue(g *ServerGroup, req *SlotRequest, now time.Time) {
	if reason := s.denialReason(g, req); reason != ReasonNone {
		s.denySlot(req, reason, 0, now)
		return
	}
	queue := &s.Owner.group(req.Group).Queue
	if queue.hasWaiting(req.Class) {
		s.enqueue(g, req, now)
		s.serveQueue(g, now)
		return
	}
	if !s.place(g, req, now) {
		s.enqueue(g, req, now)
	}
}

// denialReason returns the reason to deny a slot request without queueing it, or
// ReasonNone.
func (s *State) denialReason(g *ServerGroup, req *SlotRequest) Reason {
	switch {
	case s.Stopping:
		return ReasonMoved
	case g == nil || len(g.Candidates) == 0:
		return ReasonNoServer
	case max(req.Crashes, s.crashCount(req.Digest)) >= poisonCrashThreshold:
		return ReasonPoison
	}
	return ReasonNone
}

func (s *State) denySlot(req *SlotRequest, reason Reason, retryAfter time.Duration, now time.Time) {
	d := &SlotDenial{Request: req.Request, Attempt: req.Attempt, Reason: reason}
	d.RetryAfterMs = uint32(retryAfter.Milliseconds())
	s.send(req.EntryRouter, d, now)
}

// place grants a slot at the first server of the chat's ranking that admits the request,
// or else at the least loaded one, or forwards the request to that server's owner; it
// reports whether it did either. Requests with equal digests never run concurrently.
func (s *State) place(g *ServerGroup, req *SlotRequest, now time.Time) bool {
	og := s.Owner.group(req.Group)
	if req.Digest != 0 && og.RunningByDigest[req.Digest] > 0 {
		return false
	}
	if max(req.Crashes, s.crashCount(req.Digest)) > 0 {
		return s.placePoisonSuspect(g, req, now)
	}
	if s.forwardDuplicate(g, og, req, now) {
		return true
	}
	og.MeanWork += (float64(req.Work) - og.MeanWork) / meanWorkWindow
	p := s.newPlacement(g, og, req, now)
	var buf [maxRankedServers]*BackendServer
	ranked := s.placementRanker().rank(s, g, req.Chat, buf[:0], now)
	for i, sv := range ranked {
		p.loadBound = s.loadBoundFor(og, req, i == 0)
		if s.tryServer(g, sv, &p, now) {
			return true
		}
	}
	if !p.limitsLoad {
		return req.Hops > 0 && s.tryLeastLoaded(g, &p, now)
	}
	p.loadBound = 1 + (s.Config.Limits().LoadBound-1)*wideBoundShare
	for _, sv := range ranked {
		if s.tryServer(g, sv, &p, now) {
			return true
		}
	}
	return s.tryLeastLoaded(g, &p, now)
}

// placePoisonSuspect places a request that a server has crashed on. It uses only the
// first running server of the ranking, so that copies of the request run one at a time.
func (s *State) placePoisonSuspect(g *ServerGroup, req *SlotRequest, now time.Time) bool {
	var first *BackendServer
	var buf [maxRankedServers]*BackendServer
	for _, sv := range (rendezvousRanker{}).rank(s, g, req.Chat, buf[:0], now) {
		if !sv.Down() && !containsServer(req.TriedServers, sv.ID) {
			first = sv
			break
		}
	}
	switch {
	case first == nil:
		return false
	case first.Owned == nil:
		if req.Hops > maxHops || !s.isUsable(first, req.TriedServers, now) {
			return false
		}
		s.forward(g, first, req, now)
		return true
	case first.Load.InFlight >= first.Load.Cap, first.awaitsNews():
		return false
	}
	s.grantSlot(g, first, req, now)
	return true
}

// placement is a slot request with the limits that apply to it now.
type placement struct {
	*SlotRequest
	limitsLoad    bool    // The load bound applies.
	loadBound     float64 // Multiple of the mean load; see loadBoundFor.
	overFairShare bool
}

func (s *State) newPlacement(g *ServerGroup, og *OwnedGroup, req *SlotRequest, now time.Time) placement {
	return placement{
		SlotRequest: req, limitsLoad: s.placementRanker().limitsLoad(), loadBound: s.loadBoundFor(og, req, true), overFairShare: s.exceedsFairShare(g, og, req, now),
	}
}

// tryServer grants a slot at a server that admits the request, or forwards the request to
// the server's owner, and reports whether it did either.
func (s *State) tryServer(g *ServerGroup, sv *BackendServer, p *placement, now time.Time) bool {
	if !s.admits(g, sv, p) {
		return false
	}
	if sv.Owned != nil {
		s.grantSlot(g, sv, p.SlotRequest, now)
		return true
	}
	if p.Hops >= maxHops || sv.Shard.Owner == "" || sv.Shard.Owner == s.Settings.Self || s.isAvoided(sv.Shard.Owner, now) {
		return false
	}
	s.forward(g, sv, p.SlotRequest, now)
	return true
}

// tryLeastLoaded tries the least loaded server that admits the request, owned servers
// first.
func (s *State) tryLeastLoaded(g *ServerGroup, p *placement, now time.Time) bool {
	var best *BackendServer
	for _, sv := range g.Owned {
		if s.admits(g, sv, p) && (best == nil || sv.Load.InFlight < best.Load.InFlight) {
			best = sv
		}
	}
	if best != nil {
		return s.tryServer(g, best, p, now)
	}
	for i := range g.Candidates {
		sv := g.Candidates[i].Server
		if s.admits(g, sv, p) && (best == nil || sv.Load.InFlight < best.Load.InFlight) {
			best = sv
		}
	}
	return best != nil && s.tryServer(g, best, p, now)
}

// exceedsFairShare reports whether one more request takes a client account above its
// weighted share of the owned servers' caps.
func (s *State) exceedsFairShare(g *ServerGroup, og *OwnedGroup, req *SlotRequest, now time.Time) bool {
	const accountIdleTimeout = time.Minute
	load := og.account(req.Account, now)
	if !s.placementRanker().limitsLoad() || req.Class == ClassOrder {
		return false
	}
	var totalCap float64
	for _, sv := range g.Owned {
		totalCap += float64(sv.Load.Cap)
	}
	totalWeight := 0.0
	for name, other := range og.Accounts {
		if now.Sub(other.LastSeenAt) < accountIdleTimeout {
			totalWeight += s.Config.Weight(name)
		}
	}
	share := totalCap * s.Config.Weight(req.Account) / totalWeight
	return float64(load.InFlight+1) > share
}

// recentForward is the target of a forwarded slot request.
type recentForward struct {
	server ServerID
	at     time.Time
}

// forwardDuplicate forwards a request to the owner of the server that recently got one
// with the same digest, so that equal requests never run concurrently.
func (s *State) forwardDuplicate(g *ServerGroup, og *OwnedGroup, req *SlotRequest, now time.Time) bool {
	f, ok := og.RecentForwards[req.Digest]
	if !ok || req.Digest == 0 || req.Hops >= maxHops || now.Sub(f.at) > recentForwardRetention {
		return false
	}
	sv := s.Fleet.Servers[f.server]
	if sv == nil || sv.Owned != nil || sv.Down() || containsServer(req.TriedServers, sv.ID) || !s.isUsable(sv, req.TriedServers, now) {
		return false
	}
	s.forward(g, sv, req, now)
	return true
}

// hasDuplicate reports whether a request with the same digest runs here or was forwarded
// recently.
func (g *OwnedGroup) hasDuplicate(digest uint64, now time.Time) bool {
	if digest == 0 {
		return false
	}
	f, forwarded := g.RecentForwards[digest]
	return g.RunningByDigest[digest] > 0 || forwarded && now.Sub(f.at) <= recentForwardRetention
}

// recordForward records the target of a forwarded request, for at most maxRecentForwards
// digests.
func (g *OwnedGroup) recordForward(digest uint64, server ServerID, now time.Time) {
	if len(g.RecentForwards) >= maxRecentForwards {
		for d, f := range g.RecentForwards {
			if now.Sub(f.at) > recentForwardRetention {
				delete(g.RecentForwards, d)
			}
		}
	}
	if len(g.RecentForwards) < maxRecentForwards {
		g.RecentForwards[digest] = recentForward{server: server, at: now}
	}
}

// forward forwards a slot request to the owner of sv and adds it to the known load of sv
// until the owner reports a new one.
func (s *State) forward(g *ServerGroup, sv *BackendServer, req *SlotRequest, now time.Time) {
	next := *req
	next.Hops++
	next.Crashes = max(req.Crashes, s.crashCount(req.Digest))
	next.Loads = nil
	for _, ownedServer := range g.Owned {
		next.Loads = append(next.Loads, ownedServer.Load)
	}
	load := sv.Load
	load.InFlight++
	load.Work += req.Work
	s.Fleet.setLoad(sv, load)
	s.Owner.group(g.Name).recordForward(req.Digest, sv.ID, now)
	s.send(sv.Shard.Owner, &next, now)
}

func (s *State) grantSlot(g *ServerGroup, sv *BackendServer, req *SlotRequest, now time.Time) {
	slot := &OwnedSlot{EntryRouter: req.EntryRouter, GrantedAt: now, RenewedAt: now, Crashes: req.Crashes}
	slot.Slot = Slot{
		Request: req.Request, Attempt: req.Attempt, Server: sv.ID, Account: req.Account,
		Work: req.Work, Digest: req.Digest, Class: req.Class,
	}
	s.addSlot(sv, slot, now)
	s.scheduleLoads(g, now)
	s.send(req.EntryRouter, &SlotGrant{Request: req.Request, Attempt: req.Attempt, Server: sv.ID}, now)
}

func (s *State) denyHomeWaiters(og *OwnedGroup, now time.Time) {
	waiters := og.HomeWaiters
	og.HomeWaiters = nil
	for _, waiter := range waiters {
		s.denySlot(waiter.SlotRequest, ReasonMoved, 0, now)
	}
}

// denyAllWaiting denies all waiting requests when the router stops, so that their entry
// routers turn to the next owner.
func (s *State) denyAllWaiting(now time.Time) {
	s.Fleet.refresh(s, now)
	for _, name := range s.Fleet.GroupNames {
		queue := &s.Owner.group(name).Queue
		for _, qr := range queue.all() {
			queue.remove(qr)
			s.denySlot(qr.SlotRequest, ReasonMoved, 0, now)
		}
		s.denyHomeWaiters(s.Owner.group(name), now)
	}
}
