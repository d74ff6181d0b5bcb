package dtdispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// A router may be cut off from all servers of a service while they serve others. It goes by its own attempts to connect:
// responses prove nothing, since connections that are open may live on while new ones fail.

const (
	// minUnreachedServers is how many servers must fail, or all of a smaller service, since a single one may be gone.
	minUnreachedServers = 3
	// maxConnectFailureAge is the time for which a failure to connect counts.
	maxConnectFailureAge = 3 * time.Second
	// reachCheckInterval is the time between two rounds of checks of the servers of one service.
	reachCheckInterval = time.Second
	maxReachChecks     = 3 // Servers of a round; one while the router is cut off.
	// unackedPeriod is the time without an acknowledgement after which a connection ends with OutcomeUnacknowledged.
	unackedPeriod = 2500 * time.Millisecond
)

// Reach is what a router knows of its own connections to the servers of one service.
type Reach struct {
	Seed      uint64                 // Of the order in which servers are checked, which differs between routers.
	Failed    map[ServerID]time.Time // When no connection could be opened, by server; since OpenedAt only.
	OpenedAt  time.Time              // When a connection to one of the servers was last opened.
	CutOffAt  time.Time              // When the router was found to be cut off from the servers; zero if it is not.
	CheckedAt time.Time              // When the last round of checks began.
	Checked   map[ServerID]time.Time // When the last check of each server began.
	Checking  map[ServerID]bool      // Servers of the last round whose checks are in progress.
	Unserved  int                    // Attempts in a row, since the cut, that have reached no server; see TakeAttempt.
	TrialAt   time.Time              // When the last attempt was made although others had reached none.
	Missing   []ServerID             // Servers of that round whose checks have failed, until it shows whether they are down.
}

// IsCutOff reports whether the router is cut off from the servers.
func (c *Reach) IsCutOff() bool { return !c.CutOffAt.IsZero() }

// RecordFailure records that a server could not be connected to in an attempt that began at startedAt. One that began
// before a connection to any server was opened says something of its own server only.
func (c *Reach) RecordFailure(id ServerID, startedAt, now time.Time) {
	maps.DeleteFunc(c.Failed, func(_ ServerID, at time.Time) bool { return now.Sub(at) > maxConnectFailureAge })
	if startedAt.Before(c.OpenedAt) {
		return
	}
	if c.Failed == nil {
		c.Failed = map[ServerID]time.Time{}
	}
	c.Failed[id] = now
}

// Confirm reports whether the failures show that the router is cut off from the servers, given those that may be sent
// requests, and that this was not known.
func (c *Reach) Confirm(servers []*Server, now time.Time) bool {
	failed := 0
	for _, server := range servers {
		if c.hasFailed(server) {
			failed++
		}
	}
	if c.IsCutOff() || failed < max(min(minUnreachedServers, len(servers)), 1) {
		return false
	}
	c.CutOffAt = now
	return true
}

// AwaitsCheck reports whether one of the servers may still show that the router is not cut off: it has not failed, and it is
// being checked, or none has been since a connection was last opened.
func (c *Reach) AwaitsCheck(servers []*Server) bool {
	isChecked := c.CheckedAt.After(c.OpenedAt)
	return slices.ContainsFunc(servers, func(server *Server) bool {
		return !c.hasFailed(server) && (c.Checking[server.ID] || !isChecked)
	})
}

// RecordConnection records that a connection to a server was opened at a time, and reports whether that ends a cut.
func (c *Reach) RecordConnection(openedAt time.Time) bool {
	if !openedAt.After(c.OpenedAt) {
		return false
	}
	c.OpenedAt = openedAt
	maps.DeleteFunc(c.Failed, func(_ ServerID, at time.Time) bool { return !at.After(openedAt) })
	if !c.IsCutOff() || openedAt.Before(c.CutOffAt) {
		return false
	}
	c.CutOffAt, c.Failed, c.Unserved = time.Time{}, nil, 0
	return true
}

// Restart discards attempts that may have failed because this router stood still until now.
func (c *Reach) Restart(now time.Time) { c.OpenedAt, c.Failed = now, nil }

// NextCheckAt returns when the next round of checks may begin.
func (c *Reach) NextCheckAt() time.Time { return c.CheckedAt.Add(reachCheckInterval) }

// BeginChecks chooses up to n servers to check: those first that have not failed and were not checked for the longest
// time, and of different failure domains if there are any.
func (c *Reach) BeginChecks(servers []*Server, n int, now time.Time) []*Server {
	c.CheckedAt = now
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *Server) int {
		return cmp.Or(
			cmp.Compare(c.failures(a), c.failures(b)),
			c.Checked[a.ID].Compare(c.Checked[b.ID]),
			cmp.Compare(Mix(c.Seed, a.IDHash), Mix(c.Seed, b.IDHash)),
		)
	})
	chosen := spreadOverDomains(ranked, n)
	c.Checking, c.Missing = map[ServerID]bool{}, nil
	for _, server := range chosen {
		c.BeginCheck(server.ID, now)
		c.Checking[server.ID] = true
	}
	return chosen
}

// BeginCheck records that a check of a server begins.
func (c *Reach) BeginCheck(id ServerID, now time.Time) {
	if c.Checked == nil {
		c.Checked = map[ServerID]time.Time{}
	}
	c.Checked[id] = now
}

// EndCheck applies the end of a check of the last round, and returns the servers of the round that are known to be down: if
// another could be connected to, or if the round has not shown that the router is cut off.
func (c *Reach) EndCheck(id ServerID, isAlive bool) []ServerID {
	delete(c.Checking, id)
	if !isAlive {
		c.Missing = append(c.Missing, id)
	}
	hasOpened := !c.OpenedAt.Before(c.CheckedAt)
	if !c.IsCutOff() && !hasOpened && len(c.Checking) > 0 {
		return nil
	}
	down := c.Missing
	c.Missing = nil
	if c.IsCutOff() {
		return nil
	}
	return down
}

func (c *Reach) hasFailed(server *Server) bool { return c.failures(server) > 0 }

func (c *Reach) failures(server *Server) int {
	if _, hasFailed := c.Failed[server.ID]; hasFailed {
		return 1
	}
	return 0
}

// spreadOverDomains returns the first n of the servers, and those first that are the first of their failure domain.
func spreadOverDomains(servers []*Server, n int) []*Server {
	var chosen, others []*Server
	seen := map[string]bool{}
	for _, server := range servers {
		if seen[server.Domain] {
			others = append(others, server)
			continue
		}
		seen[server.Domain] = true
		chosen = append(chosen, server)
	}
	chosen = append(chosen, others...)
	return chosen[:min(n, len(chosen))]
}

func (s *State) reach(service string) *Reach {
	return getOrCreate(s.Reach, service, func() *Reach {
		return &Reach{Seed: HashString(s.Settings.RouterName), OpenedAt: s.ReachSince}
	})
}

// isUnreachable reports whether this router can't connect to any server of a service.
func (s *State) isUnreachable(service string) bool {
	c := s.Reach[service]
	return c != nil && c.IsCutOff()
}

// unreachableServices returns the services that this router is cut off from, in order.
func (s *State) unreachableServices() []string {
	var services []string
	for _, service := range sortedKeys(s.Reach) {
		if s.Reach[service].IsCutOff() {
			services = append(services, service)
		}
	}
	return services
}

// observeConnection applies what an attempt over a direct connection has shown of the connections of this router. One
// without a response makes the router check other servers, since connections to all of them may hang.
func (s *State) observeConnection(r *Request, ev *AttemptEnded, server *Server, now time.Time) {
	if r.isTunneled() {
		return
	}
	s.recordConnection(server.Service, ev.ConnectedAt, now)
	switch ev.Outcome {
	case OutcomeUnreachable:
		s.recordConnectFailure(server, r.SentAt, now)
	case OutcomeUnacknowledged:
		s.recordConnectFailure(server, later(r.SentAt, now.Add(-unackedPeriod)), now)
	case OutcomeTimedOut, OutcomeExpired:
		if ev.Progress == ProgressNone {
			s.checkReach(server.Service, now)
		}
	}
}

// recordConnection applies that a direct connection to a server of a service was opened at a time, zero for none.
func (s *State) recordConnection(service string, openedAt, now time.Time) {
	c := s.reach(service)
	cutOffAt := c.CutOffAt
	if openedAt.IsZero() || !c.RecordConnection(openedAt) {
		return
	}
	s.emit(LogRecord{Event: "servers_reachable", Subject: service, Elapsed: now.Sub(cutOffAt)})
	for _, server := range s.Roster.ByService[service] {
		s.serverHealth(server.ID).UnseenAt = now
	}
	for _, other := range s.unreachableServices() {
		s.Reach[other].CheckedAt = now.Add(-reachCheckInterval)
	}
	s.sendStatusNow(now)
}

// recordConnectFailure applies that a server could not be connected to in an attempt that began at startedAt.
func (s *State) recordConnectFailure(server *Server, startedAt, now time.Time) {
	c := s.reach(server.Service)
	c.RecordFailure(server.ID, startedAt, now)
	if len(c.Failed) == 0 || c.IsCutOff() {
		return
	}
	servers := s.acceptingServers(server.Service, now)
	if !s.hearsRouters(now) || c.AwaitsCheck(servers) || !c.Confirm(servers, now) {
		s.checkReach(server.Service, now)
		return
	}
	failed := make([]string, 0, len(c.Failed))
	for _, id := range sortedKeys(c.Failed) {
		failed = append(failed, string(id))
	}
	s.emit(LogRecord{Event: "servers_unreachable", Subject: server.Service, Outcome: "cut_off", Detail: strings.Join(failed, " ")})
	s.forgetHealth(server.Service)
	s.sendStatusNow(now)
	c.CheckedAt = now.Add(-reachCheckInterval)
	for _, service := range sortedKeys(s.Roster.ByService) {
		s.checkReach(service, now)
	}
}

// hearsRouters reports whether another router can be asked at all.
func (s *State) hearsRouters(now time.Time) bool {
	for _, peer := range s.Peers.ByName {
		if now.Sub(peer.LastHeardAt) < maxViaSilence {
			return true
		}
	}
	return false
}

// forgetHealth discards the failures of the servers of a service, which this router could not connect to. They need not
// have been down.
func (s *State) forgetHealth(service string) {
	for _, server := range s.Roster.ByService[service] {
		if h := s.Health[server.ID]; h != nil {
			*h = ServerHealth{UnseenAt: later(h.DownAt, h.UnseenAt), LostAt: h.LostAt}
		}
		delete(s.DomainHealth, server.Domain)
	}
}

// acceptingServers returns the servers of a service that may be sent requests as soon as their budgets allow them.
func (s *State) acceptingServers(service string, now time.Time) []*Server {
	var list []*Server
	for _, server := range s.Roster.ByService[service] {
		if s.acceptsRequests(server, now) {
			list = append(list, server)
		}
	}
	return list
}

// checkReach checks whether servers of a service can be connected to, unless that has just been done.
func (s *State) checkReach(service string, now time.Time) {
	c := s.reach(service)
	if now.Before(c.NextCheckAt()) {
		return
	}
	servers, n := s.acceptingServers(service, now), maxReachChecks
	servers = slices.DeleteFunc(servers, s.isBeingAsked)
	if c.IsCutOff() {
		n = 1
	} else {
		servers = slices.DeleteFunc(servers, c.hasFailed)
	}
	for _, server := range c.BeginChecks(servers, n, now) {
		s.emit(CheckServer{Server: server.ID, Start: server.Start, Address: server.Address})
	}
}

// checkReachIfDue checks the services that this router is cut off from.
func (s *State) checkReachIfDue(now time.Time) {
	for _, service := range s.unreachableServices() {
		s.checkReach(service, now)
	}
}

// nextReachCheckAt returns when the next of these checks is due, or the zero time.
func (s *State) nextReachCheckAt() time.Time {
	next := time.Time{}
	for _, service := range s.unreachableServices() {
		if at := s.Reach[service].NextCheckAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// observeCheck applies what a check has shown of the direct connections of this router, for which the accept by the kernel is
// enough, and reports whether that was all that the check was for. A server that is asked for its status may have answered on
// a connection that was open before.
func (s *State) observeCheck(ev ServerChecked, now time.Time) bool {
	server := s.Roster.Servers[ev.Server]
	if server == nil || ev.Via != "" || s.Tunnels.Suspected[server.ID] {
		return false
	}
	c := s.reach(server.Service)
	wasChecking := c.Checking[server.ID]
	switch {
	case !ev.Connected:
		s.recordConnectFailure(server, c.Checked[server.ID], now)
	case wasChecking || !s.Crashes.check(server.ID).IsAsked:
		s.recordConnection(server.Service, now, now)
	}
	if !wasChecking {
		return false
	}
	for _, id := range c.EndCheck(server.ID, ev.Connected) {
		if s.Roster.Servers[id] != nil {
			s.serverHealth(id).RecordUnreachable(now)
			s.recordDown(id, now)
		}
	}
	return true
}

// restartReach discards failures that a standstill of this router may have caused.
func (s *State) restartReach(now time.Time) {
	s.ReachSince = now
	for _, c := range s.Reach {
		c.Restart(now)
	}
}

// forgetReach removes the services that no server is listed of, and the checks of servers that have left.
func (s *State) forgetReach() {
	maps.DeleteFunc(s.Reach, func(service string, _ *Reach) bool { return len(s.Roster.ByService[service]) == 0 })
	for _, c := range s.Reach {
		maps.DeleteFunc(c.Checked, func(id ServerID, _ time.Time) bool { return s.Roster.Servers[id] == nil })
	}
}
