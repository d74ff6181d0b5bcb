package dtstate

import (
	"slices"
	"sort"
	"time"
)

// heartbeatTick runs the periodic tasks of each heartbeat interval.
func (s *State) heartbeatTick(now time.Time) {
	s.setTimer(now, heartbeatInterval, timerHeartbeat, "", 0)
	s.Members.Heartbeats++
	s.expireAnnouncements(now)
	if !s.Stopping {
		s.sendHeartbeats(now)
		s.checkNeighbors(now)
	}
	s.checkDomains(now)
	s.fleetTick(now)
	s.renewSlots(now)
	s.slotTick(now)
	s.leaderTick(now)
}

// sendHeartbeats sends heartbeats to the neighbors and partners, and tries to join or
// rejoin others.
func (s *State) sendHeartbeats(now time.Time) {
	s.Fleet.refresh(s, now)
	targets := s.heartbeatTargets()
	for _, to := range targets {
		s.send(to, s.newHeartbeat(to, now, false), now)
	}
	if len(s.Members.Serving) == 1 || s.Config.Site == nil {
		s.joinSeed()
	}
	s.rejoinLost()
}

func (s *State) newHeartbeat(to RouterID, now time.Time, reply bool) *Heartbeat {
	h := &Heartbeat{
		SilenceMs:     s.silenceMs(to, now),
		Sequence:      s.Members.Heartbeats,
		ConfigVersion: s.Config.Version,
		GossipHash:    s.Gossip.Hash(),
		Reply:         reply,
		Ledger:        LedgerPosition{Start: s.Settings.Start, Number: s.Ledger.LastNumber},
	}
	for _, d := range s.Fleet.Domains {
		heard, known := s.Members.DomainLastHeardAt[d]
		if known && d != s.Settings.Domain {
			age := now.Sub(heard).Milliseconds()
			h.DomainAges = append(h.DomainAges, DomainAge{Domain: d, AgeMs: uint32(max(age, 0))})
		}
	}
	return h
}

// silenceMs returns for how many milliseconds a ring predecessor has been silent, or zero
// for other routers.
func (s *State) silenceMs(id RouterID, now time.Time) uint32 {
	if !slices.Contains(s.ringPredecessors(), id) {
		return 0
	}
	heard, known := s.Members.LastHeardAt[id]
	if !known {
		heard = s.Members.StartedAt
	}
	return uint32(max(now.Sub(heard).Milliseconds(), 0))
}

// heartbeatTargets returns the ring successors and one partner in each other failure
// domain.
func (s *State) heartbeatTargets() []RouterID {
	targets := s.ringSuccessors()
	for _, d := range s.Fleet.Domains {
		if d == s.Settings.Domain {
			continue
		}
		if p, ok := s.partner(d); ok {
			targets = append(targets, p)
		}
	}
	return targets
}

// ringSuccessors returns the routers of this failure domain that this one sends
// heartbeats to: all others in a small domain, the next ones of the ring in a large one.
func (s *State) ringSuccessors() []RouterID {
	return s.ringNeighbors(1)
}

// ringPredecessors returns the routers of this failure domain that send it heartbeats.
func (s *State) ringPredecessors() []RouterID {
	return s.ringNeighbors(-1)
}

func (s *State) ringNeighbors(step int) []RouterID {
	all := s.Members.ByDomain[s.Settings.Domain]
	self := sort.Search(len(all), func(i int) bool { return all[i] >= s.Settings.Self })
	count := len(all) - 1
	if len(all) > maxFullMeshRouters {
		count = ringNeighborCount
	}
	var out []RouterID
	for i := 1; i <= count; i++ {
		at := ((self+step*i)%len(all) + len(all)) % len(all)
		if all[at] != s.Settings.Self {
			out = append(out, all[at])
		}
	}
	return out
}

// partner returns the router of another failure domain that this one exchanges heartbeats
// with.
func (s *State) partner(d FailureDomain) (RouterID, bool) {
	all := s.Members.ByDomain[d]
	if len(all) == 0 {
		return "", false
	}
	start := int(HashString(string(s.Settings.Self)) % uint64(len(all)))
	return all[(start+s.Members.PartnerOffset[d])%len(all)], true
}

// randomDomainRouters returns up to n random routers of this failure domain, possibly with
// duplicates.
func (s *State) randomDomainRouters(n int) []RouterID {
	all := s.Members.ByDomain[s.Settings.Domain]
	var out []RouterID
	for range n {
		id := all[s.random.IntN(len(all))]
		if id != s.Settings.Self {
			out = append(out, id)
		}
	}
	return out
}

// checkNeighbors suspects the ring predecessors that were silent for heartbeatTimeout.
func (s *State) checkNeighbors(now time.Time) {
	for _, id := range s.ringPredecessors() {
		heard, known := s.Members.LastHeardAt[id]
		if !known {
			s.Members.LastHeardAt[id] = now
			continue
		}
		if now.Sub(heard) > heartbeatTimeout && s.Members.ByID[id].Status == MemberAlive {
			s.suspect(id, now)
		}
	}
}

// suspect announces that a silent router is suspected, and pings it directly and through
// other routers before it is declared dead.
func (s *State) suspect(id RouterID, now time.Time) {
	member := *s.Members.ByID[id]
	member.Status = MemberSuspect
	member.AtMs = unixMs(now)
	s.announce(Announcement{Member: &member}, now)
	s.send(id, s.newHeartbeat(id, now, false), now)
	for _, peer := range s.randomDomainRouters(indirectPings) {
		if peer != id {
			s.send(peer, &PingRequest{Target: id}, now)
		}
	}
	s.setTimer(now, suspicionTimeout, timerSuspect, string(id), member.Version())
}

// handleSuspectTimer declares a suspected router dead if it has not been heard from since.
func (s *State) handleSuspectTimer(id RouterID, version uint64, now time.Time) {
	member := s.Members.ByID[id]
	if member == nil || member.Version() != version || s.Stopping {
		return
	}
	if heard, ok := s.Members.LastHeardAt[id]; ok && now.Sub(heard) < heartbeatTimeout {
		return
	}
	dead := *member
	dead.Status = MemberDead
	dead.AtMs = unixMs(now)
	s.announce(Announcement{Member: &dead}, now)
}

// checkDomains changes the partner in a silent failure domain and marks the fleet dirty
// while a domain is unreachable.
func (s *State) checkDomains(now time.Time) {
	for _, d := range s.Fleet.Domains {
		if d == s.Settings.Domain {
			continue
		}
		heard, known := s.Members.DomainLastHeardAt[d]
		if !known {
			s.Members.DomainLastHeardAt[d] = now
			continue
		}
		if now.Sub(heard) > heartbeatInterval*3/2 {
			s.Members.PartnerOffset[d]++
		}
		if now.Sub(heard) > domainTimeout {
			s.Fleet.Dirty = true
		}
	}
}

func (s *State) handleMembershipMessage(from RouterID, m Message, now time.Time) {
	switch m := m.(type) {
	case *Heartbeat:
		s.handleHeartbeat(from, m, now)
	case *JoinRequest:
		s.handleJoinRequest(m, now)
	case *Gossip:
		s.handleGossip(from, m, now)
	case *GossipSummary:
		s.handleGossipSummary(from, m, now)
	case *GossipIndex:
		s.handleGossipIndex(from, m, now)
	case *PingRequest:
		s.handlePingRequest(from, m, now)
	case *PingAck:
		s.recordPeerHeard(m.Target, now)
	}
}

// handleHeartbeat processes a heartbeat, and replies to a peer in another failure domain
// or to a suspected one.
func (s *State) handleHeartbeat(from RouterID, m *Heartbeat, now time.Time) {
	member := s.Members.ByID[from]
	if member == nil || !member.IsServing() {
		// The peer may not know this router either.
		self := s.Members.Self
		s.sendAnnouncements(from, []Announcement{{Member: &self}}, now)
	}
	s.compareHash(from, m.GossipHash, now)
	if member == nil {
		return
	}
	s.resetSilentLink(from, m, now)
	s.recordLedgerPosition(from, m.Ledger)
	if member.Domain == s.Settings.Domain {
		for _, d := range m.DomainAges {
			s.recordDomainHeard(d.Domain, now.Add(-time.Duration(d.AgeMs)*time.Millisecond))
		}
	}
	if !m.Reply && (member.Domain != s.Settings.Domain || member.Status == MemberSuspect) {
		s.send(from, s.newHeartbeat(from, now, true), now)
	}
	if member.Status != MemberAlive {
		// Lets the peer refute a wrong status.
		s.sendAnnouncements(from, []Announcement{{Member: member}}, now)
	}
}

// recordLedgerPosition records the last refusal numbers of a router's latest
// incarnations.
func (s *State) recordLedgerPosition(from RouterID, position LedgerPosition) {
	const maxIncarnations = 4
	positions := s.Members.LedgerPositions[from]
	if n := len(positions); n > 0 && positions[n-1].Start == position.Start {
		positions[n-1].Number = max(positions[n-1].Number, position.Number)
		return
	}
	positions = append(positions, position)
	s.Members.LedgerPositions[from] = positions[max(len(positions)-maxIncarnations, 0):]
}

// resetSilentLink replaces the connection to a peer that does not receive this router's
// heartbeats.
func (s *State) resetSilentLink(to RouterID, m *Heartbeat, now time.Time) {
	silent := time.Duration(m.SilenceMs) * time.Millisecond
	if silent < heartbeatTimeout || now.Sub(s.Members.StartedAt) < heartbeatTimeout {
		return
	}
	s.resetLink(to, now)
}

// resetLink requests a new connection to a peer, at most once in each heartbeatTimeout.
func (s *State) resetLink(to RouterID, now time.Time) {
	if now.Sub(s.Members.LinkResetAt[to]) < heartbeatTimeout {
		return
	}
	s.Members.LinkResetAt[to] = now
	s.recordEvent("link_reset", string(to), "", "")
	s.emit(ResetLink{Peer: to})
}

// handlePingRequest replies with a PingAck if the target was heard from recently, and pings
// the target in any case.
func (s *State) handlePingRequest(from RouterID, m *PingRequest, now time.Time) {
	heard, ok := s.Members.LastHeardAt[m.Target]
	if ok && now.Sub(heard) < heartbeatTimeout {
		s.send(from, &PingAck{Target: m.Target}, now)
	}
	s.send(m.Target, s.newHeartbeat(m.Target, now, false), now)
}
