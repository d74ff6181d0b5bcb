package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// Parameters of the communication between routers.
const (
	minStatusInterval       = 250 * time.Millisecond // Loads change by only a few requests within it.
	maxStatusInterval       = 1500 * time.Millisecond
	maxReaderStatusInterval = 500 * time.Millisecond // Half of statusRepeatInterval, so that this is kept.
	statusIntervalPerPeer   = 15 * time.Millisecond  // In a larger fleet, each router sends less often.
	statusRepeatInterval    = time.Second            // Interval at which an unchanged status is repeated.
	peerTimeout             = 30 * time.Second       // Time for which a silent, unlisted peer keeps its share of the budgets.
	syncRetryInterval       = 500 * time.Millisecond // Interval at which an unanswered SyncRequest is repeated.
	// A server takes about 80 bytes in a RosterReply, so replies take at most a fifth of a 10
	// Mbit/s link, the slowest one supported.
	rosterReplyIntervalPerServer = 300 * time.Microsecond
	// Time for which statuses of an earlier incarnation are ignored. It is bounded because a
	// router may restart with its clock set back.
	staleStatusPeriod = 3 * time.Second
	// Least number of routers assumed to share the budgets until a list of them has been read.
	defaultRouterCount = 8
)

// PeerMessage is a message between routers.
type PeerMessage interface{ isPeerMessage() }

// PeerStatus is the periodic status message of a router to its peers.
type PeerStatus struct {
	From           string               `msgpack:"f"`
	Address        string               `msgpack:"p,omitempty"` // Where other routers reach the sender.
	Domain         string               `msgpack:"d"`
	Start          int64                `msgpack:"s"`           // Start time of the sender, which identifies its incarnation.
	InFlight       map[ServerRef]int    `msgpack:"l,omitempty"` // Nonzero numbers of requests in flight; omitted in a large fleet.
	PartServers    map[uint64]ServerRef `msgpack:"k,omitempty"` // Server that last read a prompt part, by part; omitted in a large fleet.
	Crashes        *CrashNews           `msgpack:"cr,omitempty"`
	Rates          []RateReport         `msgpack:"rl,omitempty"` // Request rates that servers have named.
	Brittle        []BrittleReport      `msgpack:"bs,omitempty"` // Servers that have said that they are brittle.
	Rollouts       []RolloutNews        `msgpack:"ro,omitempty"` // What the sender knows of roll-outs.
	OperatorNews   `msgpack:",inline"`
	CapacityNews   `msgpack:",inline"`
	RosterRevision Revision   `msgpack:"r"`
	RosterHash     uint64     `msgpack:"h"`
	RosterAgeMs    int64      `msgpack:"a"`
	IsRosterStable bool       `msgpack:"st,omitempty"` // The server list has been up to date for a while.
	SentAt         time.Time  `msgpack:"t,omitempty"`  // By the sender's clock; in a large fleet each largeFleetClockInterval.
	Unreachable    []string   `msgpack:"u,omitempty"`  // Services none of whose servers the sender can connect to.
	Features       FeatureSet `msgpack:"fe,omitempty"` // Of the sender; none if its build names none. In a large fleet named each largeFleetFeatureInterval.
}

// NoticeNews passes on what a server has announced in a response to the sender, which shares a tunnel with the receiver.
type NoticeNews struct {
	Server  ServerRef     `msgpack:"s"`
	Start   int64         `msgpack:"b"` // Incarnation of the server, in Unix milliseconds.
	Leaving bool          `msgpack:"l,omitempty"`
	Backoff time.Duration `msgpack:"p,omitempty"` // What is left of the pause that it has asked for.
}

// SyncRequest asks a peer for its configuration, its server list or both.
type SyncRequest struct {
	From        string `msgpack:"f"`
	WantsConfig bool   `msgpack:"s,omitempty"`
	WantsRoster bool   `msgpack:"r,omitempty"`
}

// ConfigReply is the reply to a SyncRequest for the configuration.
type ConfigReply struct {
	Source []byte `msgpack:"s"`
}

// RosterReply is the reply to a SyncRequest for the server list.
type RosterReply struct {
	Servers  []Server                  `msgpack:"s"`
	Revision Revision                  `msgpack:"r"`
	AgeMs    int64                     `msgpack:"a"`
	Mixes    map[string]map[string]int `msgpack:"m,omitempty"` // By service: weights of the last mix that the store is known to have.
}

// RosterDelta is a change of the server list, sent by the reader to the other routers of its
// failure domain.
type RosterDelta struct {
	BaseHash uint64     `msgpack:"b"` // Hash of the list that the change applies to.
	Revision Revision   `msgpack:"r"`
	Changed  []Server   `msgpack:"c,omitempty"`
	Removed  []ServerID `msgpack:"g,omitempty"`
}

func (*PeerStatus) isPeerMessage()  {}
func (*SyncRequest) isPeerMessage() {}
func (*ConfigReply) isPeerMessage() {}
func (*RosterReply) isPeerMessage() {}
func (*RosterDelta) isPeerMessage() {}
func (*NoticeNews) isPeerMessage()  {}

// Peers is the state of the communication with other routers.
type Peers struct {
	ByName             map[string]Peer
	NextStatusAt       time.Time
	StatusSentAt       time.Time
	ClockSentAt        time.Time               // Time of the last status that named it.
	ConfigRequest      ConfigRequest           // The last one.
	RejectedConfigs    map[string]int64        // By router: version that it has named, whose configuration was rejected.
	RosterRequestedAt  time.Time               // Time of the last SyncRequest for the server list.
	RosterSentAt       time.Time               // Time of the last RosterReply to any peer.
	CrashCursor        NewsCursor              // Crash reports sent.
	RateCursor         NewsCursor              // Server rates sent.
	BrittleCursor      NewsCursor              // Brittle servers sent.
	RolloutClock       NewsClock               // Roll-outs told.
	FeaturesSentAt     time.Time               // Time of the last status that named them in a large fleet.
	MaxClockDifference time.Duration           // Greatest difference of another router's clock that was logged.
	Features           map[string]FeatureSet   // Of other routers, as last logged.
	LoggedFaults       map[PeerFault]time.Time // And when they were last logged.
	Featureless        int                     // Number of other routers that name no features.
	lastStatus         PeerStatus
}

// NewsCursor is the position up to which news of some kind have been sent to some peers.
type NewsCursor struct {
	Seq        uint64
	RepeatedAt time.Time
}

// Peer is the state of one other router.
type Peer struct {
	Domain            string
	Start             int64
	LastHeardAt       time.Time
	RosterHash        uint64        // Of its list of servers, as of its last status.
	ClockSamples      []ClockSample // Of its clock, those of lately.
	LoggedAhead       time.Duration // By how much its clock was ahead when that was last logged.
	SettledAhead      time.Duration // By how much its clock is ahead, less the usual transit of a status.
	Unreachable       []string      // Services that it can't connect to, as of its last status.
	LateBy            time.Duration // By how much longer than usual its last status was under way.
	ListCurrentAt     time.Time     // As of when its list of servers was last known to be the one in use.
	Features          FeatureSet    // As of its last status.
	ListsLackVersions bool          // This incarnation's lists of servers don't say which software versions these have.
	ServesSince       time.Time     // When it was first heard to list servers, by this incarnation of it.
	TellsRollouts     bool          // This incarnation has told what it knows of roll-outs.
	KeepsVersions     bool          // It records the versions at which streams begin.
}

// NextStatusTime returns the time when the next status is due.
func (p *Peers) NextStatusTime() time.Time { return p.NextStatusAt }

func (s *State) handlePeerMessage(from string, m PeerMessage, now time.Time) {
	switch m := m.(type) {
	case *PeerStatus:
		s.observeEra(max(m.RosterRevision, m.OutOfServiceRevision).Era(), now)
		s.handlePeerStatus(m, now)
	case *SyncRequest:
		s.handleSyncRequest(m, now)
	case *ConfigReply:
		s.emit(DecodeConfig{Source: m.Source, From: from})
	case *RosterReply:
		s.observeEra(m.Revision.Era(), now)
		if !s.lacksVersions(from, m.Servers, now) {
			s.handleRosterReply(m, now)
		}
	case *RosterDelta:
		s.observeEra(m.Revision.Era(), now)
		if !s.lacksVersions(from, m.Changed, now) {
			s.handleRosterDelta(m, now)
		}
	case *VersionNews:
		s.handleVersionNews(m, now)
	case *NoticeNews:
		s.handleNoticeNews(m, now)
	case *RouterLoads:
		s.recordRouterLoads(m.From, m.InFlight, now)
		s.mergeRollouts(m.Rollouts, true, now)
		s.mergeCapacity(&m.CapacityNews, now, &s.Capacity.News.Domains, &s.Capacity.News.Routers)
	case *DomainLoads:
		s.handleDomainLoads(m, now)
	case *FleetLoadSummary:
		s.handleFleetLoadSummary(m, now)
	case *FleetLoadTable:
		s.handleFleetLoadTable(m, now)
	}
}

// handleRosterReply applies the list of servers of a peer.
func (s *State) handleRosterReply(reply *RosterReply, now time.Time) {
	if s.StreamVersions.RecordedMixes == nil {
		s.StreamVersions.RecordedMixes = reply.Mixes
	}
	listedAt := now.Add(-time.Duration(reply.AgeMs) * time.Millisecond)
	added, removed := s.Roster.Update(s.validServers(reply.Servers), reply.Revision, listedAt, now)
	s.handleRosterChange(added, removed, now)
}

// handlePeerStatus merges the status of a peer and requests what the peer has in a newer
// version.
func (s *State) handlePeerStatus(status *PeerStatus, now time.Time) {
	p := &s.Peers
	if p.ByName == nil {
		p.ByName = map[string]Peer{}
	}
	previous := p.ByName[status.From]
	if status.Start < previous.Start && now.Sub(previous.LastHeardAt) < staleStatusPeriod {
		return // A delayed status of an earlier incarnation.
	}
	peer := Peer{Domain: status.Domain, Start: status.Start, LastHeardAt: now, RosterHash: status.RosterHash, Unreachable: status.Unreachable, Features: status.Features, LoggedAhead: previous.LoggedAhead, SettledAhead: previous.SettledAhead, ClockSamples: previous.ClockSamples}
	peer.ListsLackVersions = previous.ListsLackVersions && previous.Start == status.Start
	peer.TellsRollouts = len(status.Rollouts) > 0 || previous.TellsRollouts && previous.Start == status.Start
	if peer.Features == 0 && s.Membership.IsLarge() && status.Start == previous.Start {
		peer.Features = previous.Features
	}
	s.observeRecorder(&peer, &previous, status, now)
	s.observeClock(&peer, status, now)
	s.observeList(&peer, &previous, status, now)
	p.ByName[status.From] = peer
	if s.hashesNoVersions(status) {
		s.noteListWithoutVersions(status.From, now)
	}
	s.observeFeatures(status.From, peer.Features, featuresFromStatus)
	s.Membership.see(status.From, now)
	s.addUnlistedRouter(status)
	if !s.Membership.IsLarge() {
		s.updatePeerLoads(status, now)
		s.Prompts.Merge(status.PartServers, now)
	}
	s.mergeCrashes(status.Crashes, now)
	s.mergeRates(status.Rates, now)
	s.mergeBrittle(status.Brittle, now)
	s.mergeRollouts(status.Rollouts, false, now)
	s.mergeCapacity(&status.CapacityNews, now)
	s.mergeOperatorNews(status.From, &status.OperatorNews, now)
	s.syncWithPeer(status, now)
	s.releaseConfirmedResumes(now)
}

// observeClock records by how much the clock of the sender of a status differs from this router's, and logs it when
// it changes.
func (s *State) observeClock(peer *Peer, status *PeerStatus, now time.Time) {
	if status.SentAt.IsZero() {
		return
	}
	ahead := status.SentAt.Sub(now)
	peer.observeTransit(ahead, now)
	peer.addClockSample(ClockSample{At: now, Ahead: ahead})
	s.checkRecordedClock(status.From, peer, now)
	if (ahead - peer.LoggedAhead).Abs() <= mixSkew {
		return
	}
	peer.LoggedAhead = ahead
	s.Peers.MaxClockDifference = max(s.Peers.MaxClockDifference, ahead.Abs())
	s.emit(LogRecord{Event: "router_clock", Subject: status.From, Elapsed: ahead})
}

func (s *State) updatePeerLoads(status *PeerStatus, now time.Time) {
	for id, server := range s.Roster.Servers {
		if n := status.InFlight[server.Ref()]; n > 0 || s.Loads[id] != nil {
			s.serverLoad(id).SetPeerCount(status.From, n, now)
		}
	}
}

// syncWithPeer confirms this router's server list if the peer has the same one, and requests the
// peer's list if it is newer. It ends the grace period if the peer could reach the store throughout.
func (s *State) syncWithPeer(status *PeerStatus, now time.Time) {
	p := &s.Peers
	listedAt := now.Add(-time.Duration(status.RosterAgeMs)*time.Millisecond - p.ByName[status.From].LateBy)
	if status.IsRosterStable && status.RosterRevision.Era() == s.StoreEra {
		s.Roster.GraceEndsAt = time.Time{} // The store was reachable throughout, so a server missing from the list is gone.
	}
	if s.Roster.ListedAt.IsZero() && len(s.Roster.Servers) == 0 && status.RosterHash == s.Roster.Hash {
		return // The peer knows as little as this router: two that start together must not take their empty lists for read.
	}
	if status.RosterHash == s.Roster.Hash {
		s.Roster.Confirm(listedAt, status.RosterRevision, now)
		return
	}
	if isFirstReadUnderWay(&s.ServerListPolling.Polling, !s.Roster.ListedAt.IsZero(), now) {
		return
	}
	if p.ByName[status.From].ListsLackVersions || s.Membership.IsLarge() && !s.mayRequestRoster(status, now) {
		return
	}
	if status.RosterRevision > s.Roster.Revision && listedAt.After(s.Roster.ListedAt) && now.Sub(p.RosterRequestedAt) >= syncRetryInterval {
		p.RosterRequestedAt = now
		s.emit(SendToPeers{To: status.From, Message: &SyncRequest{From: s.Settings.RouterName, WantsRoster: true}})
	}
}

// mayRequestRoster reports whether a router of a large fleet may request the server list,
// which is long there, from the sender of a status. It may ask the reader of its own failure
// domain and, while its own calls to the store fail, any router of another domain.
func (s *State) mayRequestRoster(status *PeerStatus, now time.Time) bool {
	if status.Domain == s.Settings.Domain {
		return status.From == s.collector(s.Settings.Domain, readerTimeout, now)
	}
	return s.ServerListPolling.Failures > 0
}

// StatusInterval returns the interval between two statuses.
func (p *Peers) StatusInterval() time.Duration {
	return min(max(time.Duration(len(p.ByName))*statusIntervalPerPeer, minStatusInterval), maxStatusInterval)
}

func (s *State) handleSyncRequest(request *SyncRequest, now time.Time) {
	if request.WantsConfig && s.Config != nil {
		s.emit(SendToPeers{To: request.From, Message: &ConfigReply{Source: s.Config.Source}})
	}
	if request.WantsRoster && !s.Peers.ByName[request.From].ListsLackVersions && len(s.Roster.Servers) > 0 && now.Sub(s.Peers.RosterSentAt) >= s.rosterReplyInterval() {
		s.Peers.RosterSentAt = now
		list := make([]Server, 0, len(s.Roster.Servers))
		for _, id := range sortedKeys(s.Roster.Servers) {
			list = append(list, s.Roster.Servers[id].forPeer(now))
		}
		s.emit(SendToPeers{To: request.From, Message: &RosterReply{
			Servers: list, Revision: s.Roster.Revision, AgeMs: now.Sub(s.Roster.ListedAt).Milliseconds(),
			Mixes: maps.Clone(s.StreamVersions.RecordedMixes),
		}})
	}
}

// rosterReplyInterval returns the minimum interval between RosterReply messages to any peers; a
// peer without a reply repeats its request.
func (s *State) rosterReplyInterval() time.Duration {
	return time.Duration(len(s.Roster.Servers)) * rosterReplyIntervalPerServer
}

// sendStatusIfDue sends a status to all peers if one is due. An unchanged status is sent only
// at statusRepeatInterval, unless the store is down: routers then go by whether they hear each other.
func (s *State) sendStatusIfDue(now time.Time) {
	p := &s.Peers
	if now.Before(p.NextStatusAt) {
		return
	}
	p.NextStatusAt = now.Add(s.statusInterval(now))
	s.listStreamsBesideLateLists(now)
	status := s.peerStatus(now)
	status.Crashes = s.crashNews(&p.CrashCursor, true, now)
	status.Rates = s.rateReports(&p.RateCursor, true, now)
	status.Brittle = s.brittleReports(&p.BrittleCursor, true, now)
	status.Rollouts = s.rolloutNews(&p.RolloutClock, s.statusReport(), now)
	if !s.Membership.IsLarge() {
		status.CapacityNews = s.takeCapacityNews(&s.Capacity.News.Peers, now)
	}
	hasNews := !status.CapacityNews.isEmpty() || len(status.Rollouts) > 0 || status.Crashes != nil || len(status.Rates) > 0 || len(status.Brittle) > 0
	if !s.IsStoreDown && now.Sub(p.StatusSentAt) < statusRepeatInterval && !hasNews && len(s.Prompts.Unsent) == 0 && sameStatus(&status, &p.lastStatus) {
		return
	}
	p.StatusSentAt = now
	p.lastStatus = status
	message := status
	message.PartServers = s.Prompts.Unsent
	if !s.Membership.IsLarge() || now.Sub(p.ClockSentAt) >= largeFleetClockInterval {
		message.SentAt, p.ClockSentAt = now, now
	}
	if now.Sub(p.FeaturesSentAt) >= largeFleetFeatureInterval || now.Sub(s.StartedAt) < largeFleetFeatureInterval {
		message.Features, p.FeaturesSentAt = OwnFeatures, now
	}
	s.Prompts.Unsent = nil
	s.emit(SendToPeers{Message: &message})
}

// sendStatusNow sends a status without waiting until it is due.
func (s *State) sendStatusNow(now time.Time) {
	s.Peers.NextStatusAt = now
	s.sendStatusIfDue(now)
}

// statusInterval returns the interval between two statuses of this router. Others go by the age of a
// reader's knowledge, so that its statuses must not become rarer as its domain grows.
func (s *State) statusInterval(now time.Time) time.Duration {
	interval := s.Peers.StatusInterval()
	if s.confirmsForOthers(now) {
		return min(interval, maxReaderStatusInterval)
	}
	return interval
}

func (s *State) peerStatus(now time.Time) PeerStatus {
	status := PeerStatus{
		From: s.Settings.RouterName, Address: s.Settings.Address, Domain: s.Settings.Domain, Start: s.Settings.Start, RosterHash: s.Roster.Hash,
		RosterRevision: s.Roster.Revision, RosterAgeMs: now.Sub(s.Roster.ListedAt).Milliseconds(),
		OperatorNews: s.operatorNews(now), Unreachable: s.unreachableServices(),
	}
	status.IsRosterStable = s.Roster.IsStable(now)
	if !s.Membership.IsLarge() {
		status.InFlight, status.Features = s.inFlight(), OwnFeatures
	}
	return status
}

// sameStatus reports whether two statuses are equal in everything that must be sent at once.
func sameStatus(a, b *PeerStatus) bool {
	if a.ConfigVersion != b.ConfigVersion || a.OutOfServiceRevision != b.OutOfServiceRevision {
		return false
	}
	return maps.Equal(a.InFlight, b.InFlight) && slices.Equal(a.Unreachable, b.Unreachable)
}
