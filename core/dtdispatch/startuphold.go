package dtdispatch

import (
	"fmt"
	"time"
)

// A router that has just started listens before it knows a configuration and a list of servers. It holds requests until
// it knows both: a caller that is refused comes back later than the store answers.
const (
	maxStartupHold     = time.Second // Callers of usual routes have little time left after a longer wait.
	startupHoldDivisor = 2           // Of the time that a caller waits; the rest is for its response.
	maxStartupHeld     = 256         // Further requests are refused.
)

// Startup is what a router holds until it can serve for the first time.
type Startup struct {
	Held    []StartupRequest // In the order of their arrival.
	IsEnded bool             // A configuration and a list of servers have been known.
}

// StartupRequest is a request that arrived before this router could serve.
type StartupRequest struct {
	RequestArrived
	Until time.Time // When it is refused.
}

// isStarting reports whether this router has still to hear of a configuration or of a list of servers.
func (s *State) isStarting() bool { return s.Config == nil || s.Roster.ListedAt.IsZero() }

// holdAtStart holds a request while this router can't serve, and reports whether it has. The timeout is that of the
// caller or route, or zero if none is known.
func (s *State) holdAtStart(ev *RequestArrived, timeout time.Duration, now time.Time) bool {
	if !s.isStarting() || s.Shutdown.Requested || len(s.Startup.Held) >= maxStartupHeld {
		return false
	}
	wait := maxStartupHold
	if timeout > 0 {
		wait = min(wait, timeout/startupHoldDivisor)
	}
	until := ev.HeaderReadAt.Add(wait)
	if !now.Before(until) {
		return false
	}
	s.Startup.Held = append(s.Startup.Held, StartupRequest{RequestArrived: *ev, Until: until})
	return true
}

// endStartupHolds handles the held requests once this router can serve, and those that have waited for long enough.
func (s *State) endStartupHolds(now time.Time) {
	isServing := !s.isStarting()
	if isServing && !s.Startup.IsEnded {
		s.Startup.IsEnded = true
		s.emit(LogRecord{Event: "startup", Outcome: "serving", Elapsed: now.Sub(s.StartedAt), Detail: fmt.Sprintf("%d requests were held", len(s.Startup.Held))})
	}
	if len(s.Startup.Held) == 0 {
		return
	}
	held := s.Startup.Held
	s.Startup.Held = nil
	for i := range held {
		switch {
		case s.Shutdown.Requested:
			s.refuseHeld(&held[i].RequestArrived, unavailable(ReasonStopping, retryAfterStopping), now)
		case isServing && !s.isResuming(now) && !held[i].isLate(now):
			s.handleRequestArrived(held[i].RequestArrived, now)
		case !now.Before(held[i].Until):
			s.refuseHeld(&held[i].RequestArrived, unavailable(s.startupReason(), retryAfterNoConfig), now)
		default:
			s.Startup.Held = append(s.Startup.Held, held[i])
		}
	}
}

// isLate reports whether too little of the caller's time is left, as after the router has stood still.
func (r *StartupRequest) isLate(now time.Time) bool {
	return r.CallerTimeout > 0 && r.HeaderReadAt.Add(r.CallerTimeout).Sub(now) < minTimeForRetry
}

// startupReason returns the reason for the refusal of a request that this router can't serve yet.
func (s *State) startupReason() Reason {
	if s.Config == nil {
		return ReasonNoConfig
	}
	return ReasonNoServer
}

// refuseHeld refuses a request that has not been admitted.
func (s *State) refuseHeld(ev *RequestArrived, refusal Refuse, now time.Time) {
	s.refuse(&Request{Number: ev.Number, ID: ev.ID, ArrivedAt: ev.HeaderReadAt}, refusal, now)
}

// nextStartupEnd returns when the next of the held requests is refused, or the zero time.
func (s *State) nextStartupEnd() time.Time {
	next := time.Time{}
	for i := range s.Startup.Held {
		if until := s.Startup.Held[i].Until; next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}
