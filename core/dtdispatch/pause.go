package dtdispatch

import "time"

// After a pause of its process or host, a router does not know what has changed meanwhile: keys may
// have been withdrawn, servers may have left. It holds new requests until it has heard.
const (
	maxResumeTime   = 500 * time.Millisecond // Requests are held for this long at most, so that a router without a store serves on.
	maxHeldRequests = 256                    // Further ones are refused.
	retryAfterPause = 100 * time.Millisecond
)

// Resume is the state after a pause.
type Resume struct {
	ResumedAt time.Time // Zero once the router has heard what it has missed.
	Held      []RequestArrived
}

// handlePaused discards the age of what this router knows, and asks for it anew.
func (s *State) handlePaused(ev Paused, now time.Time) {
	s.emit(LogRecord{Event: "paused", Elapsed: ev.Gap})
	s.Resume.ResumedAt = now
	s.OperatorKeys.ConfirmedAt = s.OperatorKeys.ConfirmedAt.Add(-ev.Gap) // The clock may not have counted it.
	if s.OperatorKeys.Polling.InProgress {
		s.emit(RestartWatch{})
	}
	s.addSuspension(ev, now)
	s.restartReach(now)
	s.ServerListPolling.NextAt, s.OperatorKeys.Polling.NextAt = time.Time{}, time.Time{}
	s.listServersIfDue(now)
	s.readOperatorKeysIfDue(now)
}

// isResuming reports whether the router has still to hear what it has missed in a pause.
func (s *State) isResuming(now time.Time) bool {
	since := s.Resume.ResumedAt
	if since.IsZero() || now.Sub(since) >= maxResumeTime {
		return false
	}
	return !s.OperatorKeys.ConfirmedAt.After(since) || !s.Roster.ListedAt.After(since)
}

// hold keeps a request until the router has heard what it has missed.
func (s *State) hold(ev RequestArrived, now time.Time) {
	if len(s.Resume.Held) < maxHeldRequests {
		s.Resume.Held = append(s.Resume.Held, ev)
		return
	}
	s.refuseHeld(&ev, unavailable(ReasonResuming, retryAfterPause), now)
}

// finishResume handles the held requests once the router has heard what it has missed.
func (s *State) finishResume(now time.Time) {
	if s.Resume.ResumedAt.IsZero() || s.isResuming(now) {
		return
	}
	held := s.Resume.Held
	s.Resume = Resume{}
	s.emit(LogRecord{Event: "resumed"})
	for _, ev := range held {
		s.handleRequestArrived(ev, now)
	}
}

// nextResumeTime returns the time at which held requests are handled in any case.
func (s *State) nextResumeTime() time.Time {
	if s.Resume.ResumedAt.IsZero() {
		return time.Time{}
	}
	return s.Resume.ResumedAt.Add(maxResumeTime)
}
