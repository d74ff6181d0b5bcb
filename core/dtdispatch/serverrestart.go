package dtdispatch

import (
	"slices"
	"time"
)

// A server may restart under its ID with other software, and serve before its new entry is read. A connection that
// was open before the server was down leads to the listed incarnation. On a newer connection the first event of a
// resumable stream is held until the list shows which incarnation has sent it.

const (
	// registrationDelay is the time within which a server that has started writes its entry.
	registrationDelay = 300 * time.Millisecond
	// maxConfirmHold is how long a stream is held for that. Callers give up on a silent stream after two seconds.
	maxConfirmHold = 1500 * time.Millisecond
	// Limits of the streams that are remembered after they have broken off.
	maxBrokenOff    = 256
	maxBrokenOffAge = 3 * time.Second
)

// recordDown records that a server was down, and tells the other routers.
func (s *State) recordDown(id ServerID, now time.Time) {
	s.serverHealth(id).DownAt = now
	getOrCreateSet(&s.ServerNews.Down)[id] = true
	s.tellServerNewsIfDue(now)
}

// recordLoss records that a server has dropped a connection, and tells the other routers. In a large fleet these would
// be too many messages while servers have too many connections.
func (s *State) recordLoss(id ServerID, now time.Time) {
	s.serverHealth(id).LostAt = now
	if s.Membership.IsLarge() {
		return
	}
	getOrCreateSet(&s.ServerNews.Lost)[id] = true
	s.tellServerNewsIfDue(now)
}

// resetHealth forgets the health of a server that is listed anew, but for a loss that may be one of the listed incarnation.
func (s *State) resetHealth(id ServerID) {
	h := s.Health[id]
	delete(s.Health, id)
	if h == nil {
		return
	}
	startedAt := s.Roster.Servers[id].earliestStart()
	if h.DownAt.After(startedAt) {
		s.serverHealth(id).DownAt = h.DownAt
	}
	if h.LostAt.After(startedAt) {
		s.serverHealth(id).LostAt = h.LostAt
	}
	if h.UnseenAt.After(startedAt) {
		s.serverHealth(id).UnseenAt = h.UnseenAt
	}
}

// mayHaveRestarted reports whether a server was down, or may have been, since it was last known to be the listed incarnation.
func (s *State) mayHaveRestarted(id ServerID) bool {
	h := s.Health[id]
	return h != nil && !h.missedAt().IsZero()
}

// isServerConfirmed reports whether the server of the current attempt, which has responded, is the listed incarnation.
// A server may also drop connections because it has too many, which a stream that goes on takes for a restart, too.
func (s *State) isServerConfirmed(r *Request, now time.Time) bool {
	if r.IsStartKnown {
		s.clearLossBefore(r)
		return true
	}
	h := s.Health[r.Server]
	if h == nil {
		h = &ServerHealth{}
	}
	lostAt := h.missedAt()
	if r.goesOn() {
		lostAt = later(lostAt, h.LostAt)
	}
	isNewer := !lostAt.IsZero() && r.ConnectedAt.After(lostAt)
	hasReconnected := r.Reconnected && r.goesOn()
	if !isNewer && !hasReconnected {
		return true
	}
	if s.listConfirmedAt().Sub(r.ConnectedAt) < registrationDelay {
		return s.isListOverdue(now) && (s.isLossOld(h, r) || h.missedAt().IsZero() && s.hadOneVersion(r.Service))
	}
	if isNewer {
		h.clearLosses()
	}
	return true
}

// isListOverdue reports whether the list has not been confirmed for so long that the store must be away, so that no
// new entry of a server can be waited for.
func (s *State) isListOverdue(now time.Time) bool { return now.Sub(s.listConfirmedAt()) > maxStableAge }

// isLossOld reports whether the server of the current attempt had been lost long before the connection was opened.
func (s *State) isLossOld(h *ServerHealth, r *Request) bool {
	return !r.Reconnected && r.ConnectedAt.Sub(later(h.missedAt(), h.LostAt)) >= maxConfirmHold
}

// canMoveUnconfirmed reports whether a stream that goes on need not wait for a list that is overdue, since a server that
// has not been lost could take it.
func (s *State) canMoveUnconfirmed(r *Request, now time.Time) bool {
	return r.goesOn() && s.isListOverdue(now) && s.canMove(r, func(server *Server) bool {
		h := s.Health[server.ID]
		return h == nil || h.missedAt().IsZero() && h.LostAt.IsZero()
	}, now)
}

// hadOneVersion reports whether all servers of a service have had the same software version as long as is known.
func (s *State) hadOneVersion(service string) bool {
	history := s.StreamVersions.ByService[service]
	return history != nil && len(history.Mixes) == 1 && len(history.Weights()) == 1
}

// clearLoss forgets a loss of the server of the current attempt if its connection has outlived it.
func (s *State) clearLoss(r *Request) {
	h := s.serverHealth(r.Server)
	lostAt := later(h.missedAt(), h.LostAt)
	if !lostAt.IsZero() && r.SentAt.After(lostAt) && r.ConnectedAt.Add(registrationDelay).Before(lostAt) {
		h.clearLosses()
	}
}

// clearLossBefore forgets losses of the server of the current attempt from before its connection, over which it has named the
// listed start.
func (s *State) clearLossBefore(r *Request) {
	h := s.Health[r.Server]
	if h != nil && r.ConnectedAt.After(later(h.missedAt(), h.LostAt)) {
		h.clearLosses()
	}
}

// StreamOrigin is the server that has sent the first event of a new stream.
type StreamOrigin struct {
	Server      ServerID
	Start       int64 // Of the incarnation that was listed then.
	ConnectedAt time.Time
	At          time.Time // When the event arrived; zero if none has.

	IsStartKnown bool // The server had named Start over the connection.
}

// unknownVersion is recorded as the version of a stream that either incarnation of a server may have begun.
const unknownVersion = "?"

// observeStart notes that an incarnation that is listed anew has started since the server was seen down, if that was not
// long before.
func (s *State) observeStart(id ServerID) {
	server, h := s.Roster.Servers[id], s.Health[id]
	if h != nil && h.DownAt.After(server.earliestStart().Add(-crashMergePeriod)) && h.DownAt.Before(server.UpSince) {
		server.UpSince = h.DownAt.Add(1) // A connection opened at that time may be the one that was lost.
	}
}

// earliestStart returns the time at which this incarnation of a server may have started at the earliest, by the clock of
// this router.
func (s *Server) earliestStart() time.Time { return s.UnlistedUntil.Add(-registrationDelay) }

// isOnNewIncarnation reports whether a connection leads to the listed incarnation of a server rather than to the one
// that started at start, and whether that is certain. The clocks of hosts differ, so that start only identifies an
// incarnation.
func (s *State) isOnNewIncarnation(id ServerID, start int64, connectedAt time.Time) (isNew, isCertain bool) {
	server := s.Roster.Servers[id]
	if server == nil || server.Start == start || connectedAt.Before(server.earliestStart()) {
		return false, true
	}
	return true, !connectedAt.Before(server.UpSince)
}

// correctOrigin applies the listed incarnation of the server that has begun a new stream.
func (s *State) correctOrigin(r *Request, now time.Time) {
	origin := &r.Origin
	isNew, isCertain := s.isOnNewIncarnation(origin.Server, origin.Start, origin.ConnectedAt)
	if !r.keepsVersion() || origin.At.IsZero() || origin.IsStartKnown || !isNew {
		return
	}
	server := s.Roster.Servers[origin.Server]
	origin.Start = server.Start
	if r.Version == server.Version {
		return
	}
	r.Version = unknownVersion
	if isCertain {
		r.Version = server.Version
	}
	s.emit(LogRecord{
		Event: "server_restarted", RequestID: r.ID, Stream: r.StreamID, Subject: string(origin.Server), Version: server.Version,
		Outcome: certainty(isCertain), Elapsed: now.Sub(r.ArrivedAt),
	})
	s.recordVersion(r, s.StreamVersions.history(r.Service, now), r.Version, now)
}

// confirmVersion applies the listed incarnation of the server of the current attempt, which has responded. It returns
// false if it has ended the attempt, since the server runs another version than the one that began the stream.
func (s *State) confirmVersion(r *Request) bool {
	if !r.keepsVersion() {
		return true
	}
	if isNew, _ := s.isOnNewIncarnation(r.Server, r.ServerStart, r.ConnectedAt); isNew && !r.IsStartKnown {
		server := s.Roster.Servers[r.Server]
		r.ServerStart, r.ServerVersion = server.Start, server.Version
	}
	if !r.goesOn() || !r.HoldsStream || !r.HasVersion || r.ServerVersion == r.Version {
		return true
	}
	r.HoldsStream, r.IsStreamHeld = false, false
	s.emit(EndAttempt{Number: r.Number})
	return false
}

// correctVersions applies new incarnations of servers to the streams that these have begun or go on with.
func (s *State) correctVersions(now time.Time) {
	for _, number := range sortedKeys(s.Requests) {
		r := s.Requests[number]
		s.correctOrigin(r, now)
		if !r.ResponseStartedAt.IsZero() {
			s.confirmVersion(r)
		}
	}
	for _, r := range s.StreamVersions.BrokenOff {
		s.correctOrigin(r, now)
	}
}

// rememberBrokenOff keeps a new stream that has broken off, in case that its server turns out to have restarted.
func (v *StreamVersions) rememberBrokenOff(r *Request, now time.Time) {
	v.BrokenOff = slices.DeleteFunc(v.BrokenOff, func(old *Request) bool { return now.Sub(old.Origin.At) > maxBrokenOffAge })
	if len(v.BrokenOff) >= maxBrokenOff {
		v.BrokenOff = slices.Delete(v.BrokenOff, 0, 1)
	}
	r.HoldsStream, r.IsStreamHeld = false, false
	v.BrokenOff = append(v.BrokenOff, r)
}
