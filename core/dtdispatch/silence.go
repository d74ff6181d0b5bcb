package dtdispatch

import (
	"slices"
	"time"
)

// silenceCheckInterval is how often a router looks for another server while the present one is silent.
const silenceCheckInterval = 300 * time.Millisecond

// handleAttemptSilent ends the attempt at a silent server if another server could take the request now. Otherwise the
// server may respond late, as after it has run out of memory and reads the prompt in again, and nobody else will.
func (s *State) handleAttemptSilent(ev AttemptSilent, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil || r.Attempt != ev.Attempt || s.canMove(r, func(*Server) bool { return true }, now) {
		s.emit(EndAttempt{Number: ev.Number})
		return
	}
	if r.SilentAttempt != r.Attempt {
		r.SilentAttempt = r.Attempt
		s.emit(LogRecord{
			Event: "attempt_silent", RequestID: r.ID, Stream: r.stream(), Subject: string(r.Server), Version: r.ServerVersion,
			Outcome: "waits", Attempt: r.Attempt, Elapsed: now.Sub(r.ArrivedAt),
		})
	}
	s.emit(KeepWaiting{Number: ev.Number, Until: now.Add(silenceCheckInterval)})
}

// canMove reports whether another server that is wanted would be sent the request if the current attempt ended now.
func (s *State) canMove(r *Request, isWanted func(*Server) bool, now time.Time) bool {
	switch {
	case !r.Route.IsRetryable() || !r.hasAttemptLeft(now):
		return false
	case s.Crashes.Block(r.Digest, r.PromptParts).IsActive(now):
		return false
	case !s.retryBudget(r.Service).HasRoom(s.retryShare(now).bounds(s.Settings.Bounds), s.RouterCount(), now):
		return false
	}
	servers := s.eligibleServers(r, s.servingServers(r.Service), now)
	if r.HasVersion {
		servers = withVersion(servers, r.Version)
	}
	view := s.loadView(now)
	return slices.ContainsFunc(servers, func(server *Server) bool {
		return server.ID != r.Server && isWanted(server) && s.isUsable(r, server, now) && (server.Slots == 0 || view.InFlight(server) < server.Slots)
	})
}
