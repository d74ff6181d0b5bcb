package dtdispatch

import (
	"slices"
	"time"
)

// A response without a length and without chunks ends with its connection, which the kernel closes in the same way if
// the server is killed. It is complete unless no process listens at the address of the server any more; one that has
// too many connections may not accept another in time. A tunnel ends in the same way with the router that has opened it,
// which is therefore the one to check the server.

// What is known of the end of such a response, for the log and the metrics.
const (
	endAccepted   = "accepted"   // The server has accepted a connection.
	endUnanswered = "unanswered" // It has not, or no router could check it.
	endRefused    = "refused"    // No process listens at its address.
	endReplaced   = "replaced"   // Another process may listen there.
	endPaused     = "paused"     // The router stood still, so that the end may be old.
)

// handleResponseClosed has the server of a response checked that has ended with its connection.
func (s *State) handleResponseClosed(ev ResponseClosed, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil || r.Attempt != ev.Attempt {
		s.emit(EndAttempt{Number: ev.Number})
		return
	}
	r.ClosedAt, r.Framing, r.LastEvent, r.LastVia = now, FramingClose, ev.LastEvent, ev.Via
	if doubt := s.doubtEnd(r); doubt != "" {
		s.recordEnd(r, doubt, "", now)
		s.emit(EndAttempt{Number: ev.Number})
		return
	}
	via := slices.DeleteFunc(slices.Clone(r.Via), func(via Via) bool { return via.Router != ev.Via })
	if r.isTunneled() && len(via) == 0 {
		s.recordEnd(r, endUnanswered, "tunnel not known", now)
		s.emit(EndAttempt{Number: ev.Number})
		return
	}
	s.emit(CheckServer{Server: r.Server, Start: r.ServerStart, Number: r.Number, Address: r.Placement.Server.Address, Via: via})
}

// endClosedResponse applies the result of that check. If the server is gone, AttemptEnded follows and has its crash
// recorded.
func (s *State) endClosedResponse(ev ServerChecked, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil {
		return
	}
	outcome := s.doubtEnd(r)
	switch {
	case outcome != "":
	case ev.Refused:
		outcome = endRefused
	case ev.Connected:
		outcome = endAccepted
	default:
		outcome = endUnanswered
	}
	s.recordEnd(r, outcome, ev.Detail, now)
	switch {
	case ev.Refused || s.mayBeReplaced(r) || r.isTunneled() && ev.Via == "":
		s.emit(EndAttempt{Number: ev.Number, ServerGone: ev.Refused})
	default:
		s.emit(CompleteResponse{Number: ev.Number})
	}
}

// recordEnd logs what has proved a response complete that has ended with its connection, or why nothing has.
func (s *State) recordEnd(r *Request, outcome, detail string, now time.Time) {
	s.emit(LogRecord{
		Event: "response_end", RequestID: r.ID, Stream: r.stream(), Subject: string(r.Server), Version: r.ServerVersion, Outcome: outcome, Detail: detail, Attempt: r.Attempt,
		Elapsed: now.Sub(r.ArrivedAt), Waited: now.Sub(r.ClosedAt), Kind: r.Route.Kind(), Framing: r.Framing, LastEvent: r.LastEvent, Via: r.LastVia,
	})
}

// doubtEnd returns why a check of the server of the current attempt would show nothing of it, or "".
func (s *State) doubtEnd(r *Request) string {
	switch {
	case !s.Resume.ResumedAt.IsZero():
		return endPaused
	case s.mayBeReplaced(r):
		return endReplaced
	}
	return ""
}

// mayBeReplaced reports whether another process may listen at the address of the server of the current attempt, as after a
// pause of this router, or does by the list. The end of a response is read late if its caller reads slowly.
func (s *State) mayBeReplaced(r *Request) bool {
	if !s.Resume.ResumedAt.IsZero() {
		return true
	}
	servedAt := later(r.SentAt, r.ConnectedAt)
	for _, server := range s.Roster.Servers {
		isOther := server.ID != r.Server || server.Start != r.ServerStart
		if isOther && server.Address == r.Placement.Server.Address && servedAt.Before(server.earliestStart()) {
			return true
		}
	}
	return false
}
