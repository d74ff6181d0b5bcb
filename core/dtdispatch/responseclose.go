package dtdispatch

import (
	"slices"
	"time"
)

// A response without a length and without chunks ends with its connection, which the kernel closes in the same way if
// the server is killed. It is complete only if the process that has sent it answers a request that is sent after the end was
// read: a kill ends all threads of a process before its kernel closes any connection. An accept proves nothing, since the
// kernel accepts for a process that is ending or stopped, and a proxy for a server that is gone. What is in doubt is not
// complete. A tunnel ends in the same way with the router that has opened it, so that the answer has to come by way of it.

// What has proved the end of such a response, or why nothing has, for the log and the metrics.
const (
	endProved     = "proved"     // The process of the server has answered.
	endNamed      = "named"      // A process with the ID of the server has, which does not name its incarnation.
	endUnanswered = "unanswered" // It has not, or no router could ask it.
	endLost       = "lost"       // It has ended a connection without an answer.
	endRefused    = "refused"    // No process listens at its address.
	endReplaced   = "replaced"   // Another process listens there, or may.
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
	if server := s.Roster.Servers[r.Server]; server != nil {
		s.countColdStatus(server, now)
	}
	s.emit(CheckServer{
		Server: r.Server, Start: r.SentStart, Number: r.Number, Address: r.Placement.Server.Address, Via: via,
		StatusPath: s.Config.Services[r.Service].StatusPath, KnownSince: later(r.SentAt, ev.ConnectedAt), Deadline: s.statusDeadline(r, now), MaxIdleConns: s.maxIdleConns(r.Service),
	})
}

// statusDeadline returns until when the server of a response may take to answer: as long as for the next event, or for
// the head of a response.
func (s *State) statusDeadline(r *Request, now time.Time) time.Time {
	if timeout := s.streamIdleTimeout(r); timeout > 0 {
		return earlier(now.Add(timeout), r.Deadline)
	}
	return s.headerDeadline(r, now)
}

// A server whose status does not name its incarnation may have been restarted under its ID since the end of the response. A
// stream, which can be gone on with, is cut then. A plain response is not: the relay keeps a connection from before the next
// request as a witness, but had none yet. Its end is read as soon as it arrives.

// endClosedResponse applies the result of that check. If the server is gone, AttemptEnded follows and has its crash
// recorded.
func (s *State) endClosedResponse(ev ServerChecked, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil {
		return
	}
	outcome := s.endOutcome(r, &ev)
	s.recordEnd(r, outcome, ev.Detail, now)
	if outcome == endProved || outcome == endNamed && !r.Route.Streaming {
		s.emit(CompleteResponse{Number: ev.Number})
		return
	}
	s.emit(EndAttempt{Number: ev.Number, ServerGone: ev.Refused || ev.Lost || ev.Replaced})
}

// endOutcome returns what a check of the server of a response has shown of its end.
func (s *State) endOutcome(r *Request, ev *ServerChecked) string {
	doubt := s.doubtEnd(r)
	switch {
	case doubt != "":
		return doubt
	case ev.Refused:
		return endRefused
	case ev.Replaced:
		return endReplaced
	case ev.Lost:
		return endLost
	case ev.Via != r.LastVia:
		return endUnanswered
	case ev.Answered:
		return endProved
	case ev.Named:
		return endNamed
	}
	return endUnanswered
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

// mayBeReplaced reports whether another process may listen at the address of the server of the current attempt by the list. The
// end of a response is read late if its caller reads slowly. Which incarnation has served a connection is not certain once
// another one is listed: ServerStart may name the later one, and so may UpSince if a server was taken for down before.
func (s *State) mayBeReplaced(r *Request) bool {
	if server := s.Roster.Servers[r.Server]; server != nil && server.Start != r.SentStart {
		return true
	}
	servedAt := later(r.SentAt, r.ConnectedAt)
	for _, server := range s.Roster.Servers {
		if server.ID != r.Server && server.Address == r.Placement.Server.Address && servedAt.Before(server.earliestStart()) {
			return true
		}
	}
	return false
}
