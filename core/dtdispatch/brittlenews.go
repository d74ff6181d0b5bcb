package dtdispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of what routers tell each other of brittle servers.
const (
	brittleRepeatInterval = time.Second // As messages may be lost.
	maxBrittlePerMessage  = 256
)

// BrittleReport tells a peer that a server has said that it is brittle or has turned a request away since.
type BrittleReport struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names to save space.
	Server       ServerRef
	Brittleness  Brittleness
	AgeMs        int64 // Time since the response.
	RefusalAgeMs int64 // Time since the last refusal for want of room, or -1.
	Room         int   // That the refusal has shown.
}

// markBrittleNews has the peers be told of a server with the next status.
func (s *State) markBrittleNews(b *BrittleServer) {
	s.lastBrittleSeq++
	b.Seq = s.lastBrittleSeq
}

// brittleReports returns what is to be sent to the peers of a cursor and advances it: what has changed since the
// last call and, at intervals, all that holds or has ended lately. If ownOnly is set, what other routers have observed is
// left out.
func (s *State) brittleReports(cursor *NewsCursor, ownOnly bool, now time.Time) []BrittleReport {
	if len(s.BrittleServers) == 0 {
		return nil
	}
	changed, others := s.brittleAfter(cursor.Seq, ownOnly, now)
	cursor.Seq = s.lastBrittleSeq
	if len(changed) > maxBrittlePerMessage {
		changed = changed[:maxBrittlePerMessage]
		cursor.Seq = s.BrittleServers[changed[maxBrittlePerMessage-1].ID].Seq
	}
	if now.Sub(cursor.RepeatedAt) >= brittleRepeatInterval {
		cursor.RepeatedAt = now
		changed = append(changed, others[:min(len(others), maxBrittlePerMessage-len(changed))]...)
	}
	reports := make([]BrittleReport, len(changed))
	for i, server := range changed {
		reports[i] = s.BrittleServers[server.ID].report(server, now)
	}
	return reports
}

// brittleAfter returns the servers of which there are news after seq, in the order of the news, and the others that are
// brittle or have been until lately.
func (s *State) brittleAfter(seq uint64, ownOnly bool, now time.Time) (changed, others []*Server) {
	for _, id := range sortedKeys(s.BrittleServers) {
		b, server := s.BrittleServers[id], s.Roster.Servers[id]
		switch {
		case server == nil || ownOnly && !b.IsOwn && !b.IsOwnRefusal:
		case b.Seq > seq:
			changed = append(changed, server)
		case b.Brittleness.IsSet || now.Sub(b.ObservedAt) < endedRateRetention:
			others = append(others, server)
		}
	}
	slices.SortFunc(changed, func(a, b *Server) int {
		return cmp.Compare(s.BrittleServers[a.ID].Seq, s.BrittleServers[b.ID].Seq)
	})
	return changed, others
}

func (b *BrittleServer) report(server *Server, now time.Time) BrittleReport {
	report := BrittleReport{Server: server.Ref(), Brittleness: b.Brittleness, AgeMs: now.Sub(b.ObservedAt).Milliseconds(), RefusalAgeMs: -1, Room: b.Room}
	if !b.RefusedAt.IsZero() {
		report.RefusalAgeMs = now.Sub(b.RefusedAt).Milliseconds()
	}
	return report
}

// mergeBrittle applies what a peer knows of brittle servers.
func (s *State) mergeBrittle(reports []BrittleReport, now time.Time) {
	for i := range reports {
		report := &reports[i]
		server := s.Roster.ByRef[report.Server]
		if server == nil {
			continue
		}
		s.observeBrittleness(server.ID, report.Brittleness, false, now.Add(-time.Duration(report.AgeMs)*time.Millisecond))
		b := s.BrittleServers[server.ID]
		if b == nil || report.RefusalAgeMs < 0 {
			continue
		}
		refusedAt := now.Add(-time.Duration(report.RefusalAgeMs) * time.Millisecond)
		if b.ObserveRefusal(report.Room, false, refusedAt) {
			s.markBrittleNews(b)
		}
	}
}
