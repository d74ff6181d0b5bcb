package dtstate

import (
	"time"
)

// handleAttemptEnded releases the slot of an attempt and ends, retries or resumes the
// request.
func (s *State) handleAttemptEnded(ev AttemptEnded, now time.Time) {
	r := s.Entry.Requests[ev.Request]
	if r == nil || r.Attempt != ev.Attempt || r.Phase != PhaseRunning {
		return
	}
	r.Offset = max(r.Offset, ev.Offset)
	if ev.Outcome == OutcomeCut {
		r.Phase = PhaseAwaitingVerdict
	}
	s.releaseSlot(r, ev.Outcome, now)
	switch ev.Outcome {
	case OutcomeCompleted, OutcomeRejected:
		s.completeRequest(r, ev, now)
	case OutcomeCallerGone, OutcomeUnused:
		s.cancelAtServer(r)
		s.removeRequest(r)
	case OutcomeNotSent, OutcomeAnswerLost:
		if r.RequestArrived.Resume != nil {
			s.refuseAdmitted(r, ReasonAnswerCut, now)
			return
		}
		r.UnresolvedAttempts--
		r.TriedServers = append(r.TriedServers, r.Server)
		s.requestSlot(r, now)
	case OutcomeOverloaded:
		r.UnresolvedAttempts--
		r.TriedServers = append(r.TriedServers, r.Server)
		s.retryAfterBackoff(r, now)
	case OutcomeCut:
		s.handleCut(r, now)
	}
}

// releaseSlot releases a slot at the owner that granted it and, after a change of
// ownership, at the new owner, which may have adopted the slot.
func (s *State) releaseSlot(r *Request, outcome Outcome, now time.Time) {
	m := &SlotReleased{Request: r.Request, Attempt: r.Attempt, Server: r.Server, Outcome: outcome}
	sv := s.Fleet.Servers[r.Server]
	owner := r.Owner
	s.send(owner, m, now)
	if sv != nil && sv.Shard != nil && sv.Shard.Owner != owner && sv.Shard.Owner != "" {
		unused := *m
		unused.Outcome = OutcomeUnused
		s.send(sv.Shard.Owner, &unused, now)
	}
}

func (s *State) completeRequest(r *Request, ev AttemptEnded, now time.Time) {
	s.Entry.RetryBudget = min(s.Entry.RetryBudget+s.Config.Limits().RetryRatio, maxRetryBudget)
	if r.Crashes > 0 || s.crashCount(r.Digest) == 1 {
		s.clearCrashes(r.Digest, now)
	}
	if r.Order != nil {
		s.recordOrderOutcome(r, ClaimComplete, ev.Status, ev.Answer, now)
	}
	s.recordEvent("completed", string(r.Server), r.Request, "")
	s.removeRequest(r)
}

// cancelAtServer cancels a request at its server, except for an order, which runs to its
// end, and a kept stream, which stays for a later resume.
func (s *State) cancelAtServer(r *Request) {
	sv := s.Fleet.Servers[r.Server]
	if sv != nil && r.Order == nil && !r.KeepStream {
		s.emit(Cancel{Request: r.Request, Server: sv.ID, Address: sv.Address})
	}
}

func (s *State) removeRequest(r *Request) { delete(s.Entry.Requests, r.Request) }

// handleCut refuses an order, whose outcome is unknown after the cut. Other requests wait
// for the verdict; a router that owns the server itself may have it already from the
// release of the slot.
func (s *State) handleCut(r *Request, now time.Time) {
	s.recordEvent("cut", string(r.Server), r.Request, "")
	if r.Order != nil {
		s.refuseAdmitted(r, ReasonOutcomeUnknown, now)
		return
	}
	if s.Entry.Requests[r.Request] == r && r.Phase == PhaseAwaitingVerdict && r.timerNumber == 0 {
		s.setRequestTimer(r, verdictTimeout, now)
	}
}

// handleServerVerdict continues a cut request once it is known whether its server crashed.
func (s *State) handleServerVerdict(m *ServerVerdict, now time.Time) {
	r := s.Entry.Requests[m.Request]
	if r == nil || r.Attempt != m.Attempt || r.Phase != PhaseAwaitingVerdict || r.Order != nil {
		return
	}
	if !m.Crashed {
		s.resumeAnswer(r, now)
		return
	}
	r.Crashes = max(r.Crashes+1, m.Crashes)
	r.TriedServers = append(r.TriedServers, r.Server)
	s.recordPartCrashes(r, now)
	if r.Crashes >= poisonCrashThreshold || s.hasDeadlyPart(r, now) {
		s.refuseAdmitted(r, ReasonPoison, now)
		return
	}
	s.retryAfterBackoff(r, now)
}

// resumeAnswer resumes a cut answer at the same server over a new connection, at most
// maxResumes times. Otherwise it retries the request elsewhere, or refuses one that
// itself resumes an answer, unless the server is only down.
func (s *State) resumeAnswer(r *Request, now time.Time) {
	sv := s.Fleet.Servers[r.Server]
	if r.RequestArrived.Resume != nil && (sv == nil || r.Resumes >= maxResumes) {
		s.refuseAdmitted(r, ReasonAnswerCut, now)
		return
	}
	if sv == nil || sv.Down() || r.Resumes >= maxResumes {
		r.TriedServers = append(r.TriedServers, r.Server)
		s.retryAfterBackoff(r, now)
		return
	}
	r.Resumes++
	r.Attempt++
	s.recordEvent("resume", string(r.Server), r.Request, "")
	if sv.Shard != nil && sv.Shard.Owner != "" {
		r.Owner = sv.Shard.Owner
		s.send(r.Owner, &SlotRenewal{Slots: []Slot{r.slot()}}, now)
	}
	s.dispatch(r, sv, true, now)
}

// retryAfterBackoff retries a request after a random delay, within the retry budget. It
// refuses an order that may have executed.
func (s *State) retryAfterBackoff(r *Request, now time.Time) {
	if r.Order != nil && r.UnresolvedAttempts > 0 {
		s.refuseAdmitted(r, ReasonOutcomeUnknown, now)
		return
	}
	if r.Retries >= maxRetries || s.Entry.RetryBudget < 1 {
		s.refuseAdmitted(r, ReasonRetryBudget, now)
		return
	}
	s.Entry.RetryBudget--
	r.Retries++
	r.Phase = PhaseBackoff
	maxDelay := minRequestRetryDelay << r.Retries
	wait := time.Duration(s.random.Int64N(int64(maxDelay))) + time.Millisecond
	s.setRequestTimer(r, wait, now)
}

// refuseAdmitted refuses a request in flight and removes it; it releases the claim of an
// order that has not run.
func (s *State) refuseAdmitted(r *Request, reason Reason, now time.Time) {
	s.refuseAdmittedAfter(r, reason, 0, now)
}

// refuseAdmittedAfter is refuseAdmitted with a suggested time to try again.
func (s *State) refuseAdmittedAfter(r *Request, reason Reason, retryAfter time.Duration, now time.Time) {
	if r.Claimed && r.UnresolvedAttempts == 0 {
		s.recordOrderOutcome(r, ClaimRelease, 0, nil, now)
	}
	s.refuse(r, reason, retryAfter, now)
	s.removeRequest(r)
}
