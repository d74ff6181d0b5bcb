package dtdispatch

import (
	"slices"
	"strconv"
	"time"
)

// A connection leads to the process that has accepted it, whatever the list shows by then. A server of streams is
// therefore asked for its start over each connection before the first stream is sent there: only that tells which software
// runs behind it, and what has not been sent may be sent elsewhere.

// unlistedPeriod is how long a server that has named another start than the listed one gets no streams, unless its new entry
// is read before.
const unlistedPeriod = time.Second

// replacementPeriod is the time between two servers of a release that is under way, at the most.
const replacementPeriod = 2 * time.Minute

// statusPath returns where the relay asks a server for its start before it sends the request, or "".
func (s *State) statusPath(r *Request, server *Server, now time.Time) string {
	service := s.Config.Services[r.Service]
	if server.Start == 0 || !service.NamesStart || !s.needsStart(r, server.ID, now) {
		return ""
	}
	return service.StatusPath
}

// needsStart reports whether the request is a stream that must begin or go on at the listed incarnation of a server. A new stream
// goes by the list unless the server was down or others of its service have lately been replaced under their IDs, and while no new
// entry of a server can be waited for.
func (s *State) needsStart(r *Request, id ServerID, now time.Time) bool {
	if r.goesOn() {
		return r.keepsVersion()
	}
	replacedAt := s.Roster.ReplacedAt[r.Service]
	isReplacing := !replacedAt.IsZero() && now.Sub(replacedAt) < replacementPeriod
	return r.isResumable() && !s.isListOverdue(now) && (isReplacing || s.wasDown(id))
}

// wasDown reports whether a server was down, or may have been, since it was last known to be the listed incarnation. A connection
// that it has dropped shows that too rarely.
func (s *State) wasDown(id ServerID) bool {
	h := s.Health[id]
	return h != nil && (s.mayHaveRestarted(id) || !h.UnlistedAt.IsZero())
}

// withListedStart returns those of servers that have not just named another start than the listed one, if the request needs that.
func (s *State) withListedStart(r *Request, servers []*Server, now time.Time) []*Server {
	isUnlisted := func(server *Server) bool {
		h := s.Health[server.ID]
		return h != nil && now.Sub(h.UnlistedAt) < unlistedPeriod && s.needsStart(r, server.ID, now)
	}
	if !slices.ContainsFunc(servers, isUnlisted) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), isUnlisted)
}

// recordUnlistedStart records that a server has restarted, and that the list does not show it yet.
func (s *State) recordUnlistedStart(server *Server, start int64, requestID string, now time.Time) {
	if start == server.Start { // It has been listed meanwhile.
		return
	}
	s.serverHealth(server.ID).UnlistedAt = now
	s.emit(LogRecord{Event: "server_unlisted", RequestID: requestID, Subject: string(server.ID), Version: server.Version, Detail: strconv.FormatInt(start, 10)})
}
