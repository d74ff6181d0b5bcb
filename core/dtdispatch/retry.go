package dtdispatch

import (
	"time"
)

// retryUnreachable tries another server after one that accepted no connection. Such an attempt
// does not count towards the route's maximum, since no byte was sent.
func (s *State) retryUnreachable(r *Request, ev *AttemptEnded, now time.Time) {
	r.SentAttempts--
	s.recordTried(r, ev, now)
	isLast := len(r.TriedServers) >= maxTriedServers || r.TunnelFailures >= maxTunnelFailures
	if s.Shutdown.Ending || isLast || r.Deadline.Sub(now) < minTimeForRetry {
		s.giveUp(r, ReasonNoServer, now)
		return
	}
	s.emit(LogRecord{
		Event: "retry_uncounted", RequestID: r.ID, Subject: r.Service, Outcome: ev.Outcome.String(), Attempt: r.Attempt, Elapsed: now.Sub(r.ArrivedAt), Via: ev.Via,
	})
	s.startAttempt(r, ReasonNoServer, now)
}

// retry starts another attempt if the route and the retry budget allow it, and gives up
// otherwise.
func (s *State) retry(r *Request, ev *AttemptEnded, now time.Time) {
	s.recordTried(r, ev, now)
	reason := ReasonBusy
	switch ev.Outcome {
	case OutcomeFailure:
		r.HasServerFailure = true
		r.MayHaveRun = true
	case OutcomeConnectionLost, OutcomeUnacknowledged, OutcomeMalformed, OutcomeTimedOut, OutcomeUnconfirmed:
		r.MayHaveRun = true
		reason = ReasonServerLost
	}
	if r.MayHaveRun && !r.Route.IsRetryable() || ev.Outcome == OutcomeFailure && ev.Status < minServerErrorStatus {
		s.giveUp(r, reason, now)
		return
	}
	switch {
	case s.Shutdown.Ending:
		s.giveUp(r, ReasonStopping, now)
	case !r.hasAttemptLeft(now) || s.isUnrecordable(r):
		s.giveUp(r, reason, now)
	case s.Crashes.Block(r.Digest, r.PromptParts).IsActive(now):
		s.giveUp(r, ReasonPoison, now)
	case !s.takeRetry(r, now):
		s.giveUp(r, ReasonRetryBudget, now)
	default:
		s.startAttempt(r, reason, now)
	}
}

// takeRetry counts a retry if the budget of the service has room for it.
func (s *State) takeRetry(r *Request, now time.Time) bool {
	budget, routers := s.retryBudget(r.Service), s.RouterCount()
	share := s.retryShare(now)
	bounds := share.bounds(s.Settings.Bounds)
	usage := budget.Usage(bounds, routers, now)
	isAllowed := budget.Take(bounds, routers, now)
	outcome := "allowed"
	if !isAllowed {
		outcome = ReasonRetryBudget.String()
	}
	s.emit(LogRecord{
		Event: "retry", RequestID: r.ID, Subject: r.Service, Outcome: outcome, Detail: string(share), Attempt: r.Attempt, Elapsed: now.Sub(r.ArrivedAt), Via: r.LastVia,
		RouterCount: routers, Retries: usage, RouterAge: now.Sub(s.StartedAt),
	})
	return isAllowed
}

// hasAttemptLeft reports whether the route and the deadline allow another attempt.
func (r *Request) hasAttemptLeft(now time.Time) bool {
	return r.SentAttempts < r.Route.MaxAttempts && r.Deadline.Sub(now) >= minTimeForRetry
}
