package dtdispatch

import (
	"fmt"
	"slices"
	"time"
)

// Timing of the calls that read the server list. In each failure domain one router, the reader,
// reads the list and sends it to the others; it is also the collector of the domain.
const (
	// A call waits for a change for this share of the drain timeout. The rest of the timeout
	// lets another router take over if the reader fails.
	serverListWaitShare   = 0.45
	minServerListInterval = 250 * time.Millisecond  // Limits the number of calls to the store.
	maxServerListWait     = 1800 * time.Millisecond // Below the gap that counts as an outage at the default heartbeat interval.
	// A router that receives no list from a reader for this much longer than the wait reads
	// the list itself.
	readerGracePeriod = 300 * time.Millisecond
	// A reader silent for this long is considered failed; it sends more often than that.
	readerTimeout           = 1200 * time.Millisecond
	serverListBatchInterval = 200 * time.Millisecond // A burst of changes within this time takes one call.
	// Maximum retry intervals. The reader retries more often, so that it detects the recovery
	// of the store and sends the list to the others.
	maxReaderRetryDelay    = 500 * time.Millisecond
	maxNonReaderRetryDelay = 2 * time.Second
	maxFollowerRetryDelay  = 4 * time.Second // In a large fleet, whose calls would add up while the store rejects them.
)

// ServerListPolling is the state of reading the server list from the store.
type ServerListPolling struct {
	Polling
	LastHash uint64 // Hash of the list after the last call.
}

// nextServerListAt returns when this router is to read the list next, or the zero time while a
// call is in progress.
func (s *State) nextServerListAt(now time.Time) time.Time {
	if s.ServerListPolling.InProgress {
		return time.Time{}
	}
	due := s.ServerListPolling.NextAt
	if !s.isReader(now) {
		due = later(due, s.Roster.ListedAt.Add(s.serverListWait()+readerGracePeriod))
	}
	retryAt := s.ServerListPolling.RetryTime(s.maxServerListRetryDelay(now))
	if s.Roster.ListedAt.IsZero() {
		return later(s.ServerListPolling.NextAt, s.firstRetryTime(&s.ServerListPolling.Polling, retryAt))
	}
	if s.isResuming(now) && !s.Roster.ListedAt.After(s.Resume.ResumedAt) {
		return later(s.ServerListPolling.NextAt, retryAt)
	}
	return later(due, retryAt)
}

func (s *State) maxServerListRetryDelay(now time.Time) time.Duration {
	switch {
	case s.isReader(now):
		return maxReaderRetryDelay
	case s.Membership.IsLarge():
		return maxFollowerRetryDelay
	}
	return maxNonReaderRetryDelay
}

// serverListWait returns how long a call waits for the list to change.
func (s *State) serverListWait() time.Duration {
	wait := time.Duration(serverListWaitShare * float64(s.Settings.Bounds.DrainTimeout))
	return min(max(wait, minServerListInterval), maxServerListWait)
}

func (s *State) isReader(now time.Time) bool {
	return s.collector(s.Settings.Domain, readerTimeout, now) == s.Settings.RouterName
}

func (s *State) listServersIfDue(now time.Time) {
	due := s.nextServerListAt(now)
	if s.ServerListPolling.InProgress || now.Before(due) {
		return
	}
	s.ServerListPolling.Begin(now)
	wait := s.serverListWait()
	if now.Sub(s.Roster.ListedAt) > wait || s.isResuming(now) {
		wait = 0 // The list is late: waiting longer would make it look like an outage of the store.
	}
	s.emit(ListServers{Wait: wait})
}

// handleServersListed applies the list that this router has read and sends it to its failure
// domain.
func (s *State) handleServersListed(ev ServersListed, now time.Time) {
	lastHash := s.ServerListPolling.LastHash
	nextAt := now.Add(serverListBatchInterval)
	if ev.Unchanged {
		nextAt = s.ServerListPolling.StartedAt.Add(minServerListInterval) // In the past, unless the store returns without waiting.
	}
	s.ServerListPolling.Succeed(nextAt)
	if ev.Unchanged && !s.Roster.IsAdjusted && s.Roster.Hash == lastHash {
		s.Roster.Confirm(now, ev.Revision, now)
	} else {
		s.replaceRoster(ev, now)
	}
	s.sendStatusToDomain(now)
	s.listServersIfDue(now)
}

// replaceRoster applies a list that may differ from the known one and sends the difference to
// the failure domain.
func (s *State) replaceRoster(ev ServersListed, now time.Time) {
	oldHash := s.Roster.Hash
	old := s.Roster.Servers
	s.logIgnoredList(ev.Revision)
	added, removed := s.Roster.Replace(ev.Servers, ev.Revision, s.outageThreshold(), now)
	s.handleRosterChange(added, removed, now)
	s.ServerListPolling.LastHash = s.Roster.Hash
	if s.Roster.Hash != oldHash {
		s.sendToDomain(s.rosterDelta(old, oldHash, now), now)
	}
}

// outageThreshold returns the age of the list at which entries of live servers may have expired.
func (s *State) outageThreshold() time.Duration {
	return outageHeartbeats * s.Settings.Bounds.HeartbeatInterval
}

// logIgnoredList logs the first of several lists in a row that are older than the one in use.
func (s *State) logIgnoredList(revision Revision) {
	ignored := revision < s.Roster.Revision
	if ignored && !s.IsListIgnored {
		s.emit(LogRecord{Event: "server_list_ignored", Revision: s.Roster.Revision, Detail: fmt.Sprintf("revision %d of era %d is older", revision.Number(), revision.Era())})
	}
	s.IsListIgnored = ignored
}

// sendStatusToDomain sends a status, which contains the age of the list, to the routers of the
// failure domain.
func (s *State) sendStatusToDomain(now time.Time) {
	status := s.peerStatus(now)
	s.sendToDomain(&status, now)
}

// handleRosterChange discards the state of removed servers and the health of added ones.
func (s *State) handleRosterChange(added, removed []ServerID, now time.Time) {
	for _, id := range added {
		s.observeStart(id)
	}
	if len(added) > 0 {
		s.correctVersions(now)
	}
	for _, id := range removed {
		delete(s.Loads, id)
		delete(s.Health, id)
		delete(s.ColdBudgets, id)
		s.Capacity.forget(id)
		delete(s.ServerRates, id)
		delete(s.BrittleServers, id)
		s.emit(LogRecord{Event: "server_left", Subject: string(id)})
	}
	for _, id := range added {
		s.resetHealth(id)
		delete(s.DomainHealth, s.Roster.Servers[id].Domain)
		delete(s.ServerRates, id)
		delete(s.BrittleServers, id)
		s.emit(LogRecord{Event: "server_listed", Subject: string(id), Version: s.Roster.Servers[id].Version, Detail: s.Roster.Servers[id].Address})
	}
	for _, id := range added {
		s.paceOf(s.Roster.Servers[id], now)
	}
	s.forgetNotices(now)
	s.forgetReach()
	s.updateVersions(now)
}

// rosterDelta returns the changes since the list old, whose hash is oldHash.
func (s *State) rosterDelta(old map[ServerID]*Server, oldHash uint64, now time.Time) *RosterDelta {
	delta := &RosterDelta{BaseHash: oldHash, Revision: s.Roster.Revision}
	for _, id := range sortedKeys(s.Roster.Servers) {
		server := s.Roster.Servers[id]
		if previous := old[id]; previous == nil || previous.hash() != server.hash() {
			delta.Changed = append(delta.Changed, server.forPeer(now))
		}
	}
	for _, id := range sortedKeys(old) {
		if s.Roster.Servers[id] == nil {
			delta.Removed = append(delta.Removed, id)
		}
	}
	return delta
}

// handleRosterDelta applies a delta from the reader. If the delta is based on another list than
// this router's, revision and age stay the same, so that the router still requests the full
// list.
func (s *State) handleRosterDelta(delta *RosterDelta, now time.Time) {
	if delta.Revision < s.Roster.Revision {
		return
	}
	merged := make(map[ServerID]*Server, len(s.Roster.Servers)+len(delta.Changed))
	for id, server := range s.Roster.Servers {
		merged[id] = server
	}
	changed := s.validServers(delta.Changed)
	for i := range changed {
		merged[changed[i].ID] = &changed[i]
	}
	for _, id := range delta.Removed {
		delete(merged, id)
	}
	list := make([]Server, 0, len(merged))
	for _, id := range sortedKeys(merged) {
		list = append(list, *merged[id])
	}
	revision, listedAt := delta.Revision, now
	if delta.BaseHash != s.Roster.Hash {
		revision, listedAt = s.Roster.Revision, s.Roster.ListedAt
	}
	s.Roster.observeOutage(listedAt, s.outageThreshold(), now)
	added, removed := s.Roster.Update(list, revision, listedAt, now)
	s.handleRosterChange(added, removed, now)
}

// validServers returns the servers of a list from a peer that are valid, and logs the others.
func (s *State) validServers(list []Server) []Server {
	return slices.DeleteFunc(list, func(server Server) bool {
		err := server.Validate()
		if err != nil {
			s.emit(LogRecord{Event: "server_ignored", Detail: err.Error()})
		}
		return err != nil
	})
}

// sendToDomain sends a message to the routers of this failure domain. Those of builds without versions close the connection at a
// list with versions, and lose what follows.
func (s *State) sendToDomain(m PeerMessage, now time.Time) {
	_, isDelta := m.(*RosterDelta)
	for _, name := range sortedKeys(s.Peers.ByName) {
		peer := s.Peers.ByName[name]
		if isDelta && peer.ListsLackVersions {
			continue
		}
		if peer.Domain == s.Settings.Domain && now.Sub(peer.LastHeardAt) < peerTimeout {
			s.emit(SendToPeers{To: name, Message: m})
		}
	}
}
