package dtdispatch

import "time"

// The version of a stream that begins at another version than routers would work out for it must be in the store
// before its caller can take it up anywhere, which is as soon as the caller has its first event. Without that, it
// would be lost with this router. While the store does not take it from this router, others are told, who may write it.
// They may be killed together, so that the stream waits until one has; only the end of a graceful stop does not.

// isUnrecorded reports whether the store lacks the version of the stream.
func (s *State) isUnrecorded(r *Request) bool {
	v := &s.StreamVersions
	return r.AwaitsRecord || r.RecordSeq > v.WrittenSeq && !v.Exceptions[r.StreamID].IsStored
}

// isUnrecordable reports whether a new stream is at a version that the store does not take from this router.
func (s *State) isUnrecordable(r *Request) bool {
	v := &s.StreamVersions
	isStuck := r.AwaitsRecord && v.Reading.Failures > 0 || v.ExceptionWrite.Failures > 0
	return !r.goesOn() && s.isUnrecorded(r) && isStuck
}

// mustHold reports whether the first event of the current attempt is held. A stream that goes on may turn out to be at a server of
// another version; one that is not resumable is not looked for in the record unless the configuration changes.
func (s *State) mustHold(r *Request) bool {
	if r.goesOn() {
		return r.keepsVersion()
	}
	return r.isResumable() && (s.isUnrecorded(r) || s.mayHaveRestarted(r.Server))
}

// holdStream has the relay forward the stream whose first event it has as soon as the store has its version.
func (s *State) holdStream(r *Request, now time.Time) {
	if !r.HoldsStream {
		return
	}
	r.IsStreamHeld = true
	s.releaseStream(r, now)
	if r.IsStreamHeld {
		s.HeldStreams[r.Number] = true
	}
}

// releaseStream forwards a held stream that need not wait any longer. One that goes on at a server that is not known
// to be the listed one ends there, and so does a new one that could not be recorded.
func (s *State) releaseStream(r *Request, now time.Time) {
	isConfirmed := s.isServerConfirmed(r, now)
	isLate := now.Sub(r.ResponseStartedAt) >= maxConfirmHold || s.canMoveUnconfirmed(r, now)
	switch {
	case !isConfirmed && !isLate && !s.Shutdown.Ending:
	case !isConfirmed && r.goesOn():
		r.HoldsStream, r.IsStreamHeld = false, false
		s.emit(EndAttempt{Number: r.Number})
	case !s.isUnrecorded(r) || s.Shutdown.Ending:
		s.forwardStream(r, now)
	case isLate && s.isUnrecordable(r):
		s.endUnrecorded(r, now)
	}
}

// endUnrecorded ends the attempt of a stream of which the caller has nothing yet.
func (s *State) endUnrecorded(r *Request, now time.Time) {
	s.emit(LogRecord{Event: "stream_unrecorded", RequestID: r.ID, Stream: r.StreamID, Version: r.begunVersion(), Elapsed: now.Sub(r.ArrivedAt)})
	r.HoldsStream, r.IsStreamHeld = false, false
	s.emit(EndAttempt{Number: r.Number})
}

func (s *State) forwardStream(r *Request, now time.Time) {
	if s.isUnrecorded(r) {
		s.emit(LogRecord{Event: "stream_told", RequestID: r.ID, Stream: r.StreamID, Version: r.begunVersion(), Elapsed: now.Sub(r.ArrivedAt)})
		s.emit(SendToPeers{Message: &VersionNews{Versions: map[string]string{r.StreamID: r.begunVersion()}}})
	}
	r.HoldsStream, r.IsStreamHeld = false, false
	s.emit(ForwardStream{Number: r.Number})
}

// forwardHeldStreams forwards the held streams that need not wait any longer.
func (s *State) forwardHeldStreams(now time.Time) {
	for _, number := range sortedKeys(s.HeldStreams) {
		r := s.Requests[number]
		if r != nil && r.IsStreamHeld {
			s.releaseStream(r, now)
		}
		if r == nil || !r.IsStreamHeld {
			delete(s.HeldStreams, number)
		}
	}
}

// nextHoldEnd returns when the next held stream has waited for maxConfirmHold, or the zero time.
func (s *State) nextHoldEnd(now time.Time) time.Time {
	next := time.Time{}
	for number := range s.HeldStreams {
		r := s.Requests[number]
		if r == nil || !r.IsStreamHeld {
			continue
		}
		if at := r.ResponseStartedAt.Add(maxConfirmHold); at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
