package dtdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A router that is cut off from a service has other routers connect it to the servers. It decides all that it would over a
// direct connection; the other one only opens the tunnel, by a direct connection of its own, so that there is one hop.

const (
	maxVia             = 3               // Routers that are asked for one tunnel.
	minViaAvoidPeriod  = time.Second     // For which a router is not asked that has opened no tunnel; doubled with each further one.
	maxViaAvoidPeriod  = 4 * time.Second // Statuses tell within it that the router can open tunnels again.
	maxViaSilence      = 2500 * time.Millisecond
	maxTunnelFailures  = 3                // Attempts of a request for which no router has opened a tunnel.
	tunnelSharedPeriod = 10 * time.Second // After its last request a tunnel may be kept for so long.
	// noticeRetellMargin is by how much an announced pause must end later to be told again.
	noticeRetellMargin = 250 * time.Millisecond
)

// Tunnels is what a router knows of those that it shares tunnels with.
type Tunnels struct {
	Routers   map[string]TunnelRouter // That it has asked for tunnels.
	Users     map[string]time.Time    // Routers that have asked it for one, and when last.
	Suspected map[ServerID]bool       // Servers that may have crashed and are checked by way of a router.
}

// NewTunnels returns the state of a router that has shared no tunnel.
func NewTunnels() Tunnels {
	return Tunnels{Routers: map[string]TunnelRouter{}, Users: map[string]time.Time{}, Suspected: map[ServerID]bool{}}
}

// TunnelRouter is a router that has been asked for tunnels.
type TunnelRouter struct {
	UsedAt      time.Time // When a request was last sent by way of it.
	AvoidUntil  time.Time
	AvoidPeriod time.Duration
}

// RecordFailure records that a router has opened no tunnel, for a reason of its own.
func (t *Tunnels) RecordFailure(router string, now time.Time) {
	v := t.Routers[router]
	if now.Before(v.AvoidUntil) {
		return
	}
	v.AvoidPeriod = min(max(2*v.AvoidPeriod, minViaAvoidPeriod), maxViaAvoidPeriod)
	v.AvoidUntil = now.Add(v.AvoidPeriod)
	t.Routers[router] = v
}

// RecordUse records that a request was sent by way of a router.
func (t *Tunnels) RecordUse(router string, now time.Time) {
	t.Routers[router] = TunnelRouter{UsedAt: now}
}

// RecordUser records that a router has asked this one for a tunnel.
func (t *Tunnels) RecordUser(router string, now time.Time) { t.Users[router] = now }

// Forget removes what is too old to matter.
func (t *Tunnels) Forget(now time.Time) {
	maps.DeleteFunc(t.Routers, func(_ string, v TunnelRouter) bool {
		return now.Sub(v.UsedAt) > tunnelSharedPeriod && now.Sub(v.AvoidUntil) > tunnelSharedPeriod
	})
	maps.DeleteFunc(t.Users, func(_ string, at time.Time) bool { return now.Sub(at) > tunnelSharedPeriod })
}

// Sharing returns the routers with which tunnels may be shared at now, in order.
func (t *Tunnels) Sharing(now time.Time) []string {
	sharing := map[string]bool{}
	for name, at := range t.Users {
		sharing[name] = now.Sub(at) <= tunnelSharedPeriod
	}
	for name, v := range t.Routers {
		sharing[name] = sharing[name] || now.Sub(v.UsedAt) <= tunnelSharedPeriod
	}
	maps.DeleteFunc(sharing, func(_ string, isSharing bool) bool { return !isSharing })
	return sortedKeys(sharing)
}

// isTunneled reports whether the current attempt goes by way of another router.
func (r *Request) isTunneled() bool { return len(r.Via) > 0 }

// viaFor returns the routers to ask for a tunnel to a server. There are none if this router is not cut off from the
// service, or if no other is known that may not be.
func (s *State) viaFor(server *Server, now time.Time) []Via {
	if !s.isUnreachable(server.Service) {
		return nil
	}
	return s.rankVia(server, now)
}

// canTunnel reports whether requests for a service are to go by way of other routers.
func (s *State) canTunnel(service string, now time.Time) bool {
	return s.isUnreachable(service) && len(s.viaCandidates(service, now)) > 0
}

// rankVia returns the routers that may open a tunnel to a server: those of this failure domain first, and one of another
// if there is any. Requests to the same server rank them alike, so that tunnels are used again, and other routers rank
// them in another way.
func (s *State) rankVia(server *Server, now time.Time) []Via {
	candidates := s.viaCandidates(server.Service, now)
	isOther := func(router Router) bool { return router.Domain != s.Settings.Domain }
	key := Mix(HashString(s.Settings.RouterName), server.IDHash)
	slices.SortFunc(candidates, func(a, b Router) int {
		return cmp.Or(
			cmp.Compare(s.viaTier(a, now), s.viaTier(b, now)),
			cmp.Compare(Mix(key, HashString(b.Name)), Mix(key, HashString(a.Name))),
		)
	})
	chosen := candidates[:min(maxVia, len(candidates))]
	if other := slices.IndexFunc(candidates, isOther); other >= maxVia {
		chosen[maxVia-1] = candidates[other]
	}
	via := make([]Via, len(chosen))
	for i, router := range chosen {
		via[i] = Via{Router: router.Name, Address: router.Address}
	}
	return via
}

// viaTier returns the order in which routers are asked. Those that name no features may be of a build that leaves the request
// unanswered, and come last. In a large fleet most are not heard from, so that those go first that have opened a tunnel lately.
func (s *State) viaTier(router Router, now time.Time) int {
	tier := 0
	if !s.Peers.Features[router.Name].Has(FeatureTunnels) {
		tier += 4
	}
	if used := s.Tunnels.Routers[router.Name].UsedAt; s.Membership.IsLarge() && (used.IsZero() || now.Sub(used) > tunnelSharedPeriod) {
		tier += 2
	}
	if router.Domain != s.Settings.Domain {
		tier++
	}
	return tier
}

// viaCandidates returns the routers that may be able to open tunnels to the servers of a service.
func (s *State) viaCandidates(service string, now time.Time) []Router {
	var list []Router
	for _, known := range [...]map[string]Router{s.Membership.ListedRouters, s.Membership.UnlistedRouters} {
		for _, name := range sortedKeys(known) {
			if s.mayOpenTunnels(known[name], service, now) {
				list = append(list, known[name])
			}
		}
	}
	return list
}

// mayOpenTunnels reports whether another router may be asked for tunnels to the servers of a service. In a large fleet
// those that are not linked to this one are taken for like the others of their failure domain.
func (s *State) mayOpenTunnels(router Router, service string, now time.Time) bool {
	if router.Name == s.Settings.RouterName || router.Address == "" || now.Before(s.Tunnels.Routers[router.Name].AvoidUntil) {
		return false
	}
	if features := s.Peers.Features[router.Name]; features != 0 && !features.Has(FeatureTunnels) {
		return false
	}
	if peer := s.Peers.ByName[router.Name]; now.Sub(peer.LastHeardAt) < maxViaSilence {
		return !slices.Contains(peer.Unreachable, service)
	}
	return s.Membership.IsLarge() && !s.isDomainCutOff(router.Domain, service, now)
}

// isDomainCutOff reports whether several routers of a failure domain, and all that are heard, are cut off from a service.
func (s *State) isDomainCutOff(domain, service string, now time.Time) bool {
	cutOff := 0
	if domain == s.Settings.Domain && s.isUnreachable(service) {
		cutOff++
	}
	for _, peer := range s.Peers.ByName {
		switch {
		case peer.Domain != domain || now.Sub(peer.LastHeardAt) >= maxViaSilence:
		case !slices.Contains(peer.Unreachable, service):
			return false
		default:
			cutOff++
		}
	}
	return cutOff > 1
}

// recordVia records which routers have opened the connection of an attempt and which have not.
func (s *State) recordVia(ev *AttemptEnded, now time.Time) {
	s.Tunnels.Forget(now)
	for _, router := range ev.FailedVia {
		s.Tunnels.RecordFailure(router, now)
	}
	switch {
	case ev.Via == "" || ev.isTunnelLost():
	case ev.Outcome == OutcomeUnacknowledged:
		s.Tunnels.RecordFailure(ev.Via, now)
	default:
		s.Tunnels.RecordUse(ev.Via, now)
	}
}

// isOfConnection reports whether an attempt has failed for a reason that need not be the server's: this router can't
// connect to any while others can, or another one has not opened a tunnel.
func (s *State) isOfConnection(r *Request, ev *AttemptEnded, now time.Time) bool {
	if r.isTunneled() {
		return ev.Outcome == OutcomeUnreachable && ev.Via == "" || ev.Outcome == OutcomeUnacknowledged || ev.isTunnelLost()
	}
	return isConnectionOutcome(ev.Outcome) && s.canTunnel(r.Service, now)
}

// isTunnelLost reports whether the tunnel of an attempt has broken without a word of the server.
func (e *AttemptEnded) isTunnelLost() bool { return e.Via != "" && slices.Contains(e.FailedVia, e.Via) }

// isConnectionOutcome reports whether an attempt has ended without a word of its server.
func isConnectionOutcome(o Outcome) bool {
	switch o {
	case OutcomeUnreachable, OutcomeUnacknowledged, OutcomeConnectionLost, OutcomeTimedOut:
		return true
	}
	return false
}

// recordTried records that an attempt has failed, after which its server is not tried again. That does not hold for a
// tunnel that was not opened, and not for tunnels to servers that this router could not reach itself.
func (s *State) recordTried(r *Request, ev *AttemptEnded, now time.Time) {
	if r.isTunneled() && ev.Outcome == OutcomeUnreachable && ev.Via == "" {
		r.TunnelFailures++
		return
	}
	r.TriedServers = append(r.TriedServers, r.Server)
	if !r.isTunneled() && isConnectionOutcome(ev.Outcome) {
		r.DirectFailures = append(r.DirectFailures, r.Server)
	}
	if s.canTunnel(r.Service, now) {
		r.TriedServers = slices.DeleteFunc(r.TriedServers, func(id ServerID) bool { return slices.Contains(r.DirectFailures, id) })
		r.DirectFailures = nil
	}
}

// handleTunnelEvent applies an event of the tunnels that this router opens for others.
func (s *State) handleTunnelEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case TunnelRequested:
		s.handleTunnelRequested(ev, now)
	case TunnelDialed:
		s.handleTunnelDialed(ev, now)
	}
}

// handleTunnelRequested connects another router to a server unless this one knows a reason not to.
func (s *State) handleTunnelRequested(ev TunnelRequested, now time.Time) {
	s.Tunnels.Forget(now)
	s.Tunnels.RecordUser(ev.From, now)
	server := s.Roster.Servers[ev.Server]
	if refusal := s.refuseTunnel(server, ev.Start, now); refusal != "" {
		s.emit(RefuseTunnel{Number: ev.Number, Detail: refusal})
		if server != nil && server.Start == ev.Start {
			s.tellNotice(server, []string{ev.From}, now)
		}
		return
	}
	s.emit(OpenTunnel{Number: ev.Number, Address: server.Address, ConnectTimeout: maxConnectTimeout})
}

// handleTunnelDialed applies what a tunnel of another router has shown of the connections of this one, which may have no
// requests of its own.
func (s *State) handleTunnelDialed(ev TunnelDialed, now time.Time) {
	server := s.Roster.Servers[ev.Server]
	switch {
	case server == nil:
	case ev.ConnectedAt.IsZero():
		s.recordConnectFailure(server, ev.StartedAt, now)
	default:
		s.recordConnection(server.Service, ev.ConnectedAt, now)
	}
}

// refuseTunnel returns why another router may not be connected to a server, which is nil if it is not listed, or "". The
// other one counts the requests that a server may be sent.
func (s *State) refuseTunnel(server *Server, start int64, now time.Time) string {
	switch {
	case s.Shutdown.Requested:
		return "router is stopping"
	case s.isResuming(now):
		return "router was paused"
	case server == nil || server.Start != start:
		return "incarnation of the server is not listed"
	case s.isUnreachable(server.Service):
		return "router can't reach the service either"
	case slices.Contains(s.Settings.OwnAddresses, server.Address):
		return "server has the router's own address"
	case s.OutOfService.Domains[server.Domain]:
		return "failure domain of the server is out of service"
	}
	switch s.announcedAvailability(server, now).Block {
	case BlockLeaving:
		return "server is leaving"
	case BlockBackoff:
		return "server has asked for a pause"
	}
	return ""
}

// checkSuspect checks whether a server has crashed that has dropped connections, by way of another router if this one
// can't connect to it.
func (s *State) checkSuspect(server *Server, via []Via, now time.Time) {
	if len(via) == 0 {
		s.reach(server.Service).BeginCheck(server.ID, now)
	} else {
		s.Tunnels.Suspected[server.ID] = true
	}
	s.emit(CheckServer{Server: server.ID, Start: server.Start, Address: server.Address, Via: via})
}

// recheckSuspect has a server checked by way of another router that this one could not connect to, if that may be for
// another reason than a crash, and returns false if not.
func (s *State) recheckSuspect(ev ServerChecked, now time.Time) bool {
	server := s.Roster.Servers[ev.Server]
	if server == nil || ev.Connected || s.Tunnels.Suspected[ev.Server] || !s.isDoubtful(server) {
		return false
	}
	via := s.rankVia(server, now)
	if len(via) == 0 {
		return false
	}
	s.checkSuspect(server, via, now)
	return true
}

// isDoubtful reports whether a check of a server may have failed because this router can't connect to any.
func (s *State) isDoubtful(server *Server) bool {
	return s.isUnreachable(server.Service) || len(s.Crashes.Suspects) > 1
}
