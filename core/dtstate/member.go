package dtstate

import (
	"slices"
	"time"
)

// Intervals, timeouts and bounds of the membership protocol.
const (
	heartbeatInterval   = time.Second
	heartbeatTimeout    = 2500 * time.Millisecond // Silence after which a router is suspected.
	suspicionTimeout    = 1500 * time.Millisecond // Time in which a suspected router can respond or refute the suspicion.
	domainTimeout       = 3 * time.Second         // Silence after which a failure domain counts as unreachable.
	linkAvoidPeriod     = 250 * time.Millisecond  // A peer is avoided for twice this after its link was lost, doubled with each further failure.
	maxLinkFailures     = 6
	ringNeighborCount   = 3      // Heartbeat recipients in a large failure domain.
	indirectPings       = 2      // Routers that are asked to ping a suspected one.
	heartbeatsPerRejoin = 3      // Heartbeats between two attempts to contact a lost router.
	maxAnnouncements    = 16_384 // Announcements in the gossip table.
	flapWindow          = 30 * time.Second
	refutationBits      = 10 // Bits of Member.Version for the refutations.
	statusBits          = 2  // Bits of Member.Version for the status.
)

// MemberStatus is the believed status of a router; of two descriptions with the same
// incarnation and number of refutations, the one with the higher status wins.
type MemberStatus uint8

// Statuses of a member.
const (
	MemberAlive MemberStatus = iota
	MemberSuspect
	MemberDead
	MemberLeft
)

// String returns the status as shown to operators.
func (m MemberStatus) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[m&MemberLeft]
}

// Member describes one router, as announced by itself or by others.
type Member struct {
	ID               RouterID
	Address          string
	OperatorsAddress string
	Domain           FailureDomain
	Region           Region
	Start            uint64 // Incarnation: the start time in Unix milliseconds.
	Refutations      uint64 // Raised by the router itself to refute a wrong status.
	Status           MemberStatus
	AtMs             uint64 // When the status was announced, in Unix milliseconds.
}

// Version orders the descriptions of a member by incarnation, refutations and status.
func (m *Member) Version() uint64 {
	const maxRefutations = 1<<refutationBits - 1
	refutations := min(m.Refutations, maxRefutations)
	return m.Start<<(refutationBits+statusBits) | refutations<<statusBits | uint64(m.Status)
}

// IsServing reports whether the member may own backend servers.
func (m *Member) IsServing() bool { return m.Status <= MemberSuspect }

// Membership holds the known routers and how recently they were heard from.
type Membership struct {
	Self              Member
	ByID              map[RouterID]*Member
	Serving           []RouterID                   // IDs of the serving members, sorted.
	ByDomain          map[FailureDomain][]RouterID // IDs of the serving members, sorted.
	LastHeardAt       map[RouterID]time.Time
	DomainLastHeardAt map[FailureDomain]time.Time
	AvoidUntil        map[RouterID]time.Time // Peers that were recently unreachable or silent.
	LinkResetAt       map[RouterID]time.Time
	LinkFailures      map[RouterID]int              // Successive failures, up to maxLinkFailures.
	LedgerPositions   map[RouterID][]LedgerPosition // The latest ledger positions that each router announced.
	PartnerOffset     map[FailureDomain]int         // Advanced when the partner in a failure domain is silent.
	Epoch             uint64                        // Changes with the serving members.
	Heartbeats        uint64                        // Heartbeat intervals since the start.
	StartedAt         time.Time
}

// initMembership makes this router the only member.
func (s *State) initMembership(now time.Time) {
	m := &s.Members
	m.ByID = map[RouterID]*Member{}
	m.ByDomain = map[FailureDomain][]RouterID{}
	m.LastHeardAt = map[RouterID]time.Time{}
	m.DomainLastHeardAt = map[FailureDomain]time.Time{}
	m.AvoidUntil = map[RouterID]time.Time{}
	m.LinkResetAt = map[RouterID]time.Time{}
	m.LinkFailures = map[RouterID]int{}
	m.LedgerPositions = map[RouterID][]LedgerPosition{}
	m.PartnerOffset = map[FailureDomain]int{}
	m.StartedAt = now
	m.Self = Member{
		ID: s.Settings.Self, Address: s.Settings.Address, OperatorsAddress: s.Settings.OperatorsAddress,
		Domain: s.Settings.Domain, Region: s.Settings.Region, Start: s.Settings.Start,
		AtMs: unixMs(now),
	}
	s.announceSelf(now)
}

func (s *State) announceSelf(now time.Time) {
	self := s.Members.Self
	a := Announcement{Member: &self}
	s.Gossip.put(a)
	s.applyMember(self, now)
	s.Gossip.Unsent = append(s.Gossip.Unsent, a)
}

// mergeSelf refutes a newer description of this router by another one. It returns false,
// since that description is not stored.
func (s *State) mergeSelf(a Announcement, now time.Time) bool {
	self := &s.Members.Self
	if a.Member.Version() <= self.Version() {
		return false
	}
	self.Refutations = a.Member.Refutations + 1
	if a.Member.Start > self.Start {
		self.Start = a.Member.Start + 1
	}
	self.AtMs = unixMs(now)
	s.recordEvent("refute", "", "", "reported as not serving")
	s.announceSelf(now)
	return false
}

func (s *State) leave(now time.Time) {
	s.Members.Self.Status = MemberLeft
	s.Members.Self.AtMs = unixMs(now)
	s.announceSelf(now)
}

// applyMember updates the membership with a newer description of a member.
func (s *State) applyMember(member Member, now time.Time) {
	m := &s.Members
	old := m.ByID[member.ID]
	m.ByID[member.ID] = &member
	if old != nil && old.Domain != member.Domain {
		m.updateLists(old, false)
	}
	if old == nil || old.IsServing() != member.IsServing() || old.Start != member.Start {
		m.updateLists(&member, member.IsServing())
		s.Fleet.Dirty = true
		s.recordEvent("member", string(member.ID), "", member.Status.String())
	}
	if old != nil && (!member.IsServing() || old.Start != member.Start) {
		s.requestSlotsElsewhere(member.ID, now)
	}
}

// removeMember removes a member after its announcement has expired.
func (s *State) removeMember(id RouterID) {
	delete(s.Members.ByID, id)
	delete(s.Members.LastHeardAt, id)
	delete(s.Members.AvoidUntil, id)
	delete(s.Members.LinkResetAt, id)
	delete(s.Members.LinkFailures, id)
	delete(s.Members.LedgerPositions, id)
}

// updateLists adds a member to the sorted lists if it serves, and removes it otherwise.
func (m *Membership) updateLists(member *Member, serving bool) {
	m.Serving = updateSorted(m.Serving, member.ID, serving)
	m.ByDomain[member.Domain] = updateSorted(m.ByDomain[member.Domain], member.ID, serving)
	if len(m.ByDomain[member.Domain]) == 0 {
		delete(m.ByDomain, member.Domain)
	}
	m.Epoch++
}

// updateSorted returns a sorted list with or without id; it never modifies the given list.
func updateSorted(list []RouterID, id RouterID, in bool) []RouterID {
	at, found := slices.BinarySearch(list, id)
	switch {
	case in && !found:
		return slices.Insert(slices.Clone(list), at, id)
	case !in && found:
		return slices.Delete(slices.Clone(list), at, at+1)
	}
	return list
}

// recordPeerHeard records that a router was heard from, so that it is no longer avoided.
func (s *State) recordPeerHeard(id RouterID, now time.Time) {
	m := &s.Members
	member := m.ByID[id]
	if member == nil {
		return
	}
	m.LastHeardAt[id] = now
	delete(m.AvoidUntil, id)
	delete(m.LinkFailures, id)
	s.recordDomainHeard(member.Domain, now)
}

// recordDomainHeard records that a failure domain was reachable at t.
func (s *State) recordDomainHeard(d FailureDomain, t time.Time) {
	old, known := s.Members.DomainLastHeardAt[d]
	if known && !t.After(old) {
		return
	}
	s.Members.DomainLastHeardAt[d] = t
	if known && t.Sub(old) > domainTimeout {
		s.Fleet.Dirty = true
	}
}

// DomainReachable reports whether a failure domain was heard from within domainTimeout.
func (s *State) DomainReachable(d FailureDomain, now time.Time) bool {
	if d == s.Settings.Domain {
		return true
	}
	heard, known := s.Members.DomainLastHeardAt[d]
	if !known {
		heard = s.Members.StartedAt
	}
	return now.Sub(heard) <= domainTimeout
}

// MemberIDs returns the sorted IDs of all known members.
func (s *State) MemberIDs() []RouterID {
	ids := make([]RouterID, 0, len(s.Members.ByID))
	for id := range s.Members.ByID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// joinSeed sends a JoinRequest to one of the seed addresses, in rotation.
func (s *State) joinSeed() {
	self := s.Members.Self
	var others []string
	for _, address := range s.Settings.Seeds {
		if address != self.Address {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return
	}
	address := others[s.Members.Heartbeats%uint64(len(others))]
	s.emit(SendPeer{Address: address, Message: &JoinRequest{Self: self, FullSync: true}})
}

// rejoinLost sends a JoinRequest to a seed or dead member whose address no live member
// has, so that two parts of a fleet that consider each other dead merge again.
func (s *State) rejoinLost() {
	if s.Members.Heartbeats%heartbeatsPerRejoin != 0 {
		return
	}
	live := map[string]bool{s.Members.Self.Address: true}
	for _, id := range s.Members.Serving {
		live[s.Members.ByID[id].Address] = true
	}
	var lost []string
	for _, address := range s.Settings.Seeds {
		if !live[address] {
			lost = append(lost, address)
		}
	}
	for _, id := range s.MemberIDs() {
		if m := s.Members.ByID[id]; m.Status == MemberDead && !live[m.Address] {
			lost = append(lost, m.Address)
		}
	}
	if len(lost) == 0 {
		return
	}
	address := lost[s.random.IntN(len(lost))]
	s.emit(SendPeer{Address: address, Message: &JoinRequest{Self: s.Members.Self}})
}

// handleJoinRequest announces the joining router. It replies with all announcements if that
// router asked for a full sync, and otherwise with this router's description and a summary.
func (s *State) handleJoinRequest(m *JoinRequest, now time.Time) {
	self := m.Self
	s.announce(Announcement{Member: &self}, now)
	if !m.FullSync {
		mine := s.Members.Self
		s.sendAnnouncements(self.ID, []Announcement{{Member: &mine}}, now)
		s.send(self.ID, &GossipSummary{Buckets: append([]uint64(nil), s.Gossip.Buckets[:]...)}, now)
		return
	}
	ids := make([]uint64, 0, len(s.Gossip.Items))
	for id := range s.Gossip.Items {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	items := make([]Announcement, 0, len(ids))
	for _, id := range ids {
		items = append(items, s.Gossip.Items[id])
	}
	s.sendAnnouncements(self.ID, items, now)
}

// handleLinkChanged avoids a peer whose link was lost, for longer with each failure, until
// it is heard from again.
func (s *State) handleLinkChanged(ev LinkChanged, now time.Time) {
	if ev.Up {
		delete(s.Members.AvoidUntil, ev.Peer)
		delete(s.Members.LinkFailures, ev.Peer)
		return
	}
	s.recordEvent("link_lost", string(ev.Peer), "", "")
	s.Members.LinkFailures[ev.Peer] = min(s.Members.LinkFailures[ev.Peer]+1, maxLinkFailures)
	s.Members.AvoidUntil[ev.Peer] = now.Add(linkAvoidPeriod << s.Members.LinkFailures[ev.Peer])
	s.requestSlotsElsewhere(ev.Peer, now)
}

func (s *State) isAvoided(id RouterID, now time.Time) bool {
	until, ok := s.Members.AvoidUntil[id]
	return ok && now.Before(until)
}

func unixMs(t time.Time) uint64 { return uint64(t.UnixMilli()) }
