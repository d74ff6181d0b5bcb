package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// Routers of several builds serve side by side during an upgrade. What another build says in a form that this one can't read, or
// leaves out, is not taken for news.

// Limits of the log lines about what peers send and this router can't use.
const (
	peerFaultInterval = time.Minute // Between two lines about one kind of message of one peer.
	maxPeerFaults     = 256         // Lines within it.
)

// PeerFault is a kind of message of a peer that this router can't use.
type PeerFault struct{ Peer, Kind string }

// handlePeerEvent applies an event that the links to other routers deliver.
func (s *State) handlePeerEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case PeerMessageReceived:
		s.handlePeerMessage(ev.From, ev.Message, now)
	case PeerMessageUnreadable:
		outcome := "skipped"
		if ev.IsClosed {
			outcome = "closed"
		}
		s.logPeerFault(LogRecord{Event: "peer_message_unreadable", Subject: ev.From, Kind: ev.Kind, Outcome: outcome, Detail: ev.Detail}, now)
	}
}

// logPeerFault logs that a peer has sent what this router can't use, unless it has logged so of late.
func (s *State) logPeerFault(record LogRecord, now time.Time) {
	p := &s.Peers
	maps.DeleteFunc(p.LoggedFaults, func(_ PeerFault, at time.Time) bool { return now.Sub(at) >= peerFaultInterval })
	fault := PeerFault{Peer: record.Subject, Kind: record.Kind}
	if _, isLogged := p.LoggedFaults[fault]; isLogged || len(p.LoggedFaults) >= maxPeerFaults {
		return
	}
	if p.LoggedFaults == nil {
		p.LoggedFaults = map[PeerFault]time.Time{}
	}
	p.LoggedFaults[fault] = now
	s.emit(record)
}

// lacksVersions reports whether a list of servers from a peer does not say which software versions they have. A router that took
// that for servers without a version would go on with streams at servers of another version.
func (s *State) lacksVersions(from string, list []Server, now time.Time) bool {
	if !slices.ContainsFunc(list, func(server Server) bool { return server.LacksVersion }) {
		return false
	}
	s.noteListWithoutVersions(from, now)
	return true
}

// noteListWithoutVersions records that the build of a peer knows no versions of servers.
func (s *State) noteListWithoutVersions(from string, now time.Time) {
	peer, isKnown := s.Peers.ByName[from]
	if peer.ListsLackVersions {
		return
	}
	if isKnown {
		peer.ListsLackVersions = true
		s.Peers.ByName[from] = peer
	}
	s.logPeerFault(LogRecord{Event: "peer_list_ignored", Subject: from, Kind: "server_list", Detail: "the servers' software versions are missing"}, now)
}

// hashesNoVersions reports whether the sender of a status has the list of this router and is of a build that knows no versions.
func (s *State) hashesNoVersions(status *PeerStatus) bool {
	return len(s.Roster.Servers) > 0 && status.RosterHash == s.Roster.HashNoVersions
}
