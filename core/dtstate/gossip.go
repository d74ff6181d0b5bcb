package dtstate

import (
	"slices"
	"sort"
	"time"
)

// Bounds of the gossip table and its messages.
const (
	gossipBuckets              = 64
	maxAnnouncementsPerMessage = 24
	gossipFanout               = 3 // Random recipients of each announcement in a large fleet, besides the heartbeat recipients.
	// Up to this size, a router sends heartbeats to all routers of its failure domain and
	// announcements to all routers of the fleet.
	maxFullMeshRouters   = 9
	maxIndexBuckets      = 4 // Buckets in one GossipIndex.
	maxHashMismatches    = 1 // Tolerated in succession, as announcements may be in transit.
	maxCrashRecords      = 1024
	deadMemberRetention  = time.Hour
	crashRecordRetention = 10 * time.Minute
)

// Announcement is an item that the routers spread by gossip; exactly one field is set, and
// the highest version wins.
type Announcement struct {
	Member *Member
	Host   *Host
	Config *ConfigRecord
	Crash  *CrashRecord
	Switch *DomainSwitch
}

// CrashRecord records that a backend server crashed while it ran a request with the
// digest, or that the digest was cleared because such a request was answered completely.
type CrashRecord struct {
	Digest  uint64
	Server  ServerID
	Cleared bool
	AtMs    uint64 // In Unix milliseconds.
}

// DomainSwitch is an operator's instruction to take a failure domain out of service or
// back.
type DomainSwitch struct {
	Domain FailureDomain
	Out    bool
	AtMs   uint64 // In Unix milliseconds; the latest switch of a domain wins.
}

// Host is an entry of the platform's list of hosts, which lags behind the hosts
// themselves; Revision is the revision of the entry.
type Host struct {
	ID       string
	Kind     string
	Address  string
	Domain   FailureDomain
	Region   Region
	Group    string
	Draining bool
	Gone     bool // The platform no longer lists the host.
	Revision uint64
}

// Identity returns the hash of the subject; announcements with equal identities are
// versions of one another.
func (a *Announcement) Identity() uint64 {
	switch {
	case a.Member != nil:
		return HashString("member", string(a.Member.ID))
	case a.Host != nil:
		return HashString("host", a.Host.ID)
	case a.Config != nil:
		return HashString("config")
	case a.Crash != nil:
		return crashIdentity(a.Crash.Digest, a.Crash.Server)
	case a.Switch != nil:
		return HashString("switch", string(a.Switch.Domain))
	}
	return 0
}

// crashIdentity returns the identity of the crash of one server with one digest. The string
// "blame" is part of the protocol, since all routers must compute the same hash.
func crashIdentity(digest uint64, server ServerID) uint64 {
	return mix(digest ^ HashString("blame", string(server)))
}

// Version returns the version of the announcement within its identity.
func (a *Announcement) Version() uint64 {
	switch {
	case a.Member != nil:
		return a.Member.Version()
	case a.Host != nil:
		return a.Host.Revision
	case a.Config != nil:
		return a.Config.Version
	case a.Crash != nil:
		return a.Crash.AtMs<<1 | boolBit(a.Crash.Cleared)
	case a.Switch != nil:
		return a.Switch.AtMs<<1 | boolBit(a.Switch.Out)
	}
	return 0
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// GossipTable holds the latest version of each announcement.
type GossipTable struct {
	Items            map[uint64]Announcement
	Buckets          [gossipBuckets]uint64 // XOR of the hashes of the announcements in each bucket.
	Unsent           []Announcement        // Sent at the end of the step.
	HashMismatches   map[RouterID]int      // Successive mismatches, by peer.
	CrashRecordCount int
	CrashedServers   map[uint64][]ServerID // Servers that crashed, by the digest they ran.
}

func (t *GossipTable) init() {
	t.Items = map[uint64]Announcement{}
	t.HashMismatches = map[RouterID]int{}
	t.CrashedServers = map[uint64][]ServerID{}
}

// Hash returns the XOR of all buckets, equal for tables with the same announcements.
func (t *GossipTable) Hash() uint64 {
	var d uint64
	for _, b := range t.Buckets {
		d ^= b
	}
	return d
}

// put stores a if it is newer than the stored version and reports whether it was.
func (t *GossipTable) put(a Announcement) bool {
	id, v := a.Identity(), a.Version()
	old, found := t.Items[id]
	if found && old.Version() >= v {
		return false
	}
	if found {
		t.remove(id)
	}
	t.Items[id] = a
	t.Buckets[id%gossipBuckets] ^= mix(id ^ mix(v))
	if a.Crash != nil {
		t.CrashRecordCount++
		if !a.Crash.Cleared {
			t.CrashedServers[a.Crash.Digest] = append(t.CrashedServers[a.Crash.Digest], a.Crash.Server)
		}
	}
	return true
}

func (t *GossipTable) remove(id uint64) {
	old, found := t.Items[id]
	if !found {
		return
	}
	t.Buckets[id%gossipBuckets] ^= mix(id ^ mix(old.Version()))
	delete(t.Items, id)
	if old.Crash != nil {
		t.CrashRecordCount--
		t.removeCrash(old.Crash)
	}
}

func (t *GossipTable) removeCrash(crash *CrashRecord) {
	left := slices.DeleteFunc(t.CrashedServers[crash.Digest], func(id ServerID) bool { return id == crash.Server })
	t.CrashedServers[crash.Digest] = left
	if len(left) == 0 {
		delete(t.CrashedServers, crash.Digest)
	}
}

// index lists the identities and versions in one bucket, sorted by identity.
func (t *GossipTable) index(bucket uint64) []GossipIndexEntry {
	var entries []GossipIndexEntry
	for id, a := range t.Items {
		if id%gossipBuckets == bucket {
			entries = append(entries, GossipIndexEntry{Identity: id, Version: a.Version()})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Identity < entries[j].Identity })
	return entries
}

// announce merges a and sends it to other routers if it is newer.
func (s *State) announce(a Announcement, now time.Time) {
	if !s.merge(a, now) {
		return
	}
	s.Gossip.Unsent = append(s.Gossip.Unsent, a)
}

// merge stores and applies a if it is newer than the stored version, and reports whether
// it was.
func (s *State) merge(a Announcement, now time.Time) bool {
	if a.Identity() == 0 || announcementExpired(&a, now) || !s.hasRoomFor(&a) {
		return false
	}
	if a.Member != nil && a.Member.ID == s.Settings.Self {
		return s.mergeSelf(a, now)
	}
	if a.Config != nil {
		return s.mergeConfig(a.Config)
	}
	if !s.Gossip.put(a) {
		return false
	}
	s.applyAnnouncement(a, now)
	return true
}

// hasRoomFor reports whether the table may store a; crash records have a bound of their
// own.
func (s *State) hasRoomFor(a *Announcement) bool {
	if a.Crash == nil {
		return len(s.Gossip.Items) < maxAnnouncements
	}
	_, found := s.Gossip.Items[a.Identity()]
	return found || s.Gossip.CrashRecordCount < maxCrashRecords
}

func (s *State) applyAnnouncement(a Announcement, now time.Time) {
	switch {
	case a.Member != nil:
		s.applyMember(*a.Member, now)
	case a.Host != nil:
		s.applyHost(*a.Host, now)
	case a.Switch != nil:
		s.applyDomainSwitch(*a.Switch, now)
	}
}

func announcementExpired(a *Announcement, now time.Time) bool {
	switch {
	case a.Member != nil && a.Member.Status >= MemberDead:
		return now.Sub(time.UnixMilli(int64(a.Member.AtMs))) > deadMemberRetention
	case a.Crash != nil:
		return now.Sub(time.UnixMilli(int64(a.Crash.AtMs))) > crashRecordRetention
	}
	return false
}

// expireAnnouncements removes announcements past their retention.
func (s *State) expireAnnouncements(now time.Time) {
	for id, a := range s.Gossip.Items {
		if !announcementExpired(&a, now) {
			continue
		}
		s.Gossip.remove(id)
		if a.Member != nil {
			s.removeMember(a.Member.ID)
		}
	}
}

func (s *State) flushGossip(now time.Time) {
	unsent := s.Gossip.Unsent
	if len(unsent) == 0 {
		return
	}
	s.Gossip.Unsent = nil
	for _, to := range s.gossipTargets() {
		s.sendAnnouncements(to, unsent, now)
	}
}

// gossipTargets returns the routers that an announcement is sent to directly.
func (s *State) gossipTargets() []RouterID {
	if len(s.Members.Serving) <= maxFullMeshRouters {
		return s.Members.Serving
	}
	targets := s.heartbeatTargets()
	return append(targets, s.randomDomainRouters(gossipFanout)...)
}

// sendAnnouncements sends announcements to one router, in messages of bounded size.
func (s *State) sendAnnouncements(to RouterID, items []Announcement, now time.Time) {
	if to == s.Settings.Self {
		return
	}
	for len(items) > 0 {
		n := min(len(items), maxAnnouncementsPerMessage)
		s.send(to, &Gossip{Announcements: items[:n:n]}, now)
		items = items[n:]
	}
}

// handleGossip merges a peer's announcements; in a large fleet it forwards the new ones.
func (s *State) handleGossip(from RouterID, m *Gossip, now time.Time) {
	for _, a := range m.Announcements {
		if !s.merge(a, now) || len(s.Members.Serving) <= maxFullMeshRouters {
			continue
		}
		s.Gossip.Unsent = append(s.Gossip.Unsent, a)
	}
	s.Gossip.HashMismatches[from] = 0
}

// compareHash starts a repair of both tables if the hash of a peer's table differs from
// this router's more than maxHashMismatches times in succession.
func (s *State) compareHash(from RouterID, hash uint64, now time.Time) {
	if hash == s.Gossip.Hash() {
		delete(s.Gossip.HashMismatches, from)
		return
	}
	s.Gossip.HashMismatches[from]++
	if s.Gossip.HashMismatches[from] <= maxHashMismatches {
		return
	}
	s.Gossip.HashMismatches[from] = 0
	s.send(from, &GossipSummary{Buckets: append([]uint64(nil), s.Gossip.Buckets[:]...)}, now)
}

// handleGossipSummary replies to a peer's summary with an index of some buckets that
// differ.
func (s *State) handleGossipSummary(from RouterID, m *GossipSummary, now time.Time) {
	if len(m.Buckets) != gossipBuckets {
		return
	}
	start := s.random.IntN(gossipBuckets)
	index := &GossipIndex{}
	for i := range gossipBuckets {
		b := (start + i) % gossipBuckets
		if m.Buckets[b] == s.Gossip.Buckets[b] {
			continue
		}
		index.Buckets = append(index.Buckets, uint64(b))
		index.Entries = append(index.Entries, s.Gossip.index(uint64(b))...)
		if len(index.Buckets) == maxIndexBuckets {
			break
		}
	}
	s.send(from, index, now)
}

// handleGossipIndex sends a peer the announcements that are newer here, and replies with
// an index of its own to receive those that are newer there.
func (s *State) handleGossipIndex(from RouterID, m *GossipIndex, now time.Time) {
	peerVersions := make(map[uint64]uint64, len(m.Entries))
	for _, e := range m.Entries {
		peerVersions[e.Identity] = e.Version
	}
	var newer []Announcement
	mine := &GossipIndex{Buckets: m.Buckets, Reply: true}
	for _, b := range m.Buckets {
		for _, e := range s.Gossip.index(b % gossipBuckets) {
			mine.Entries = append(mine.Entries, e)
			if peerVersions[e.Identity] < e.Version {
				newer = append(newer, s.Gossip.Items[e.Identity])
			}
		}
	}
	s.sendAnnouncements(from, newer, now)
	if !m.Reply {
		s.send(from, mine, now)
	}
}
