package dtdispatch

import (
	"slices"
	"time"
)

// Limits of requests that go on with a stream.
const (
	maxHeldResumes    = 256                   // Requests that wait for the record; further ones are refused.
	maxListHold       = time.Second           // For which a request waits until the list of servers is confirmed.
	minRecordReadGap  = 50 * time.Millisecond // Between the starts of two reads of the record.
	retryAfterVersion = time.Second           // The version of a stream does not become known by waiting.
)

// isResumable reports whether the response is a stream that another server may go on with.
func (r *Request) isResumable() bool { return r.Route.Streaming && r.Route.Resumable }

// keepsVersion reports whether the response is a stream. Streams that may not be resumed keep to a version too, since a
// change of the configuration may allow it while they run.
func (r *Request) keepsVersion() bool { return r.Route.Streaming }

// admitStream applies a request for a stream to what is known of versions, and returns false if it has held or
// refused the request.
func (s *State) admitStream(r *Request, ev *RequestArrived, now time.Time) bool {
	timeout := ev.CallerTimeout
	if r.ResumeAfter != "" {
		timeout = 0 // What is left of it says nothing of how long it was.
	}
	if s.StreamVersions.observeTimeout(r.Route, timeout) {
		s.StreamVersions.MixWrite.markDue(now.Add(versionRecordDelay))
	}
	if r.ResumeAfter == "" {
		r.StreamTime = streamTime(r.Route, ev)
		return true
	}
	return s.resolveVersion(r, ev, now)
}

// resolveVersion sets the version of the stream that a request goes on with, and returns false if it has
// held or refused the request.
func (s *State) resolveVersion(r *Request, ev *RequestArrived, now time.Time) bool {
	v := &s.StreamVersions
	history := v.ByService[r.Service]
	if history == nil {
		return true // No server of the service has ever been listed.
	}
	from, to := v.streamTimes(r.Route, ev, now)
	if !s.isRecordFresh(history, ev, from, to, now) {
		return s.holdForRecord(r, ev, now)
	}
	if s.awaitsList(r, to, now) && now.Sub(ev.HeaderReadAt) < maxListHold && len(v.Held) < maxHeldResumes {
		v.Held = append(v.Held, *ev) // Looked at again after the next read of the record.
		return false
	}
	version, isCertain := s.lookUp(r, history, from, to, now)
	isCertain = isCertain && (ev.ResumesID != "" || len(history.Mixes) == 1 && len(history.Weights()) == 1)
	if len(history.Mixes) > 1 || !isCertain {
		s.emit(LogRecord{
			Event: "stream_version", RequestID: r.ID, Stream: r.StreamID, Version: version, Outcome: certainty(isCertain),
			Elapsed: now.Sub(from), StreamAge: now.Sub(to), Detail: s.versionSource(r, history, from),
			RosterAge: now.Sub(s.listConfirmedAt()), Sharing: s.sharingRouters(now),
		})
	}
	if !isCertain || !s.hasServer(r.Service, version) {
		s.refuse(r, unavailable(ReasonStreamVersion, retryAfterVersion), now)
		return false
	}
	r.Version, r.HasVersion = version, true
	return true
}

// isRecordFresh reports whether the record has been read that a request needs which goes on with a stream: after the request
// arrived, since the stream may have broken off right after it was recorded. While the store can't be read, what is
// known must do. Without a change of the mix from the earliest to the latest time of the stream there are no exceptions.
func (s *State) isRecordFresh(history *VersionHistory, ev *RequestArrived, earliest, latest, now time.Time) bool {
	v := &s.StreamVersions
	switch {
	case v.LoadedAt.IsZero():
		return false
	case len(history.Mixes) == 1 && len(history.Weights()) == 1 && !s.listConfirmedAt().Before(latest) && earliest.After(v.NotFollowedUntil):
		return true
	case now.Before(v.Reading.RetryTime(maxRecordRetryDelay)):
		return true
	}
	return !v.LoadedAt.Before(ev.HeaderReadAt)
}

// lookUp returns the version of a stream whose time is between from and to, and whether that is certain. The router that
// began it may have heard of changes before as late as maxFollowedAge.
func (s *State) lookUp(r *Request, history *VersionHistory, from, to, now time.Time) (string, bool) {
	if exception, isException := s.StreamVersions.Exceptions[r.StreamID]; isException {
		return exception.Version, exception.Version != unknownVersion
	}
	if to.After(s.mixesKnownUntil(r.Service, now)) {
		return "", false
	}
	if s.mayBeUnrecorded(from) {
		return s.lookUpUnrecorded(history, from, now)
	}
	version, isCertain := history.VersionBetween(r.StreamID, from.Add(-s.maxFollowedAge()), to)
	return version, isCertain && !s.mayBeOfLateList(history, r.StreamID, version, from, to)
}

// awaitsList reports whether the version of a stream can't be told before the list of servers is confirmed.
func (s *State) awaitsList(r *Request, latest, now time.Time) bool {
	_, isException := s.StreamVersions.Exceptions[r.StreamID]
	mayBeConfirmed := s.StreamVersions.Reading.Failures == 0 || !s.sharedAsOf(now).IsZero()
	return !isException && mayBeConfirmed && latest.After(s.mixesKnownUntil(r.Service, now))
}

// mixesKnownUntil returns the time up to which this router knows all mixes of a service. While it can't read the store, no other
// list has been in use before all routers have said that they have the same one: those that it does not hear may read the store.
func (s *State) mixesKnownUntil(service string, now time.Time) time.Time {
	v := &s.StreamVersions
	until := now
	switch {
	case !v.StoodStillAt.IsZero():
		until = s.listConfirmedAt()
	case v.Reading.Failures > 0:
		until = later(s.listConfirmedAt(), s.sharedAsOf(now))
	case !s.followsList(now):
		until = s.listConfirmedAt()
	}
	if ahead, isBehind := v.Ahead[service]; isBehind {
		until = earlier(until, ahead.Add(-mixSkew))
	}
	return until
}

// versionSource returns what the version of a stream that is no older than from is worked out from, for the log.
func (s *State) versionSource(r *Request, history *VersionHistory, from time.Time) string {
	exception, isException := s.StreamVersions.Exceptions[r.StreamID]
	switch {
	case isException && exception.IsOwn:
		return "own_exception"
	case isException:
		return "exception"
	case s.mayBeUnrecorded(from):
		return "unrecorded"
	case from.Before(history.FollowedSince):
		return "record"
	case s.StreamVersions.Reading.Failures > 0:
		return "unread"
	}
	return "followed"
}

func certainty(isCertain bool) string {
	if isCertain {
		return "certain"
	}
	return "uncertain"
}

// hasServer reports whether a server of a version is listed that is not leaving.
func (s *State) hasServer(service, version string) bool {
	return slices.ContainsFunc(s.Roster.ByService[service], func(server *Server) bool {
		return server.Version == version && !server.Draining
	})
}

// holdForRecord keeps a request until the record has been read, or refuses it if that fails.
func (s *State) holdForRecord(r *Request, ev *RequestArrived, now time.Time) bool {
	v := &s.StreamVersions
	canRead := v.Reading.InProgress || !now.Before(v.Reading.RetryTime(maxRecordRetryDelay))
	if !canRead || len(v.Held) >= maxHeldResumes {
		s.refuse(r, unavailable(ReasonStreamVersion, retryAfterBusy), now)
		return false
	}
	v.Held = append(v.Held, *ev)
	s.readRecordIfDue(now)
	return false
}

// nextRecordReadAt returns when the record is to be read for the requests that wait for it, or when one of them has waited for
// long enough while it can't be read, or the zero time.
func (v *StreamVersions) nextRecordReadAt() time.Time {
	if len(v.Held) == 0 || v.Reading.InProgress {
		return time.Time{}
	}
	if v.Reading.Failures > 0 {
		return earlier(v.retryReadAt(), v.Held[0].HeaderReadAt.Add(maxListHold))
	}
	return v.Reading.NextAt
}

func (v *StreamVersions) retryReadAt() time.Time {
	return later(v.Reading.NextAt, v.Reading.RetryTime(maxRecordRetryDelay))
}

func (s *State) readRecordIfDue(now time.Time) {
	v := &s.StreamVersions
	switch {
	case len(v.Held) == 0 || now.Before(v.nextRecordReadAt()):
	case now.Before(v.retryReadAt()):
		s.releaseHeldResumes(now)
	default:
		s.readVersionRecord(now)
	}
}

// releaseConfirmedResumes handles the requests that wait, while the record can't be read, until all routers have said that they have
// the same list.
func (s *State) releaseConfirmedResumes(now time.Time) {
	v := &s.StreamVersions
	if len(v.Held) == 0 || v.Reading.InProgress || v.Reading.Failures == 0 {
		return
	}
	if asOf := s.sharedAsOf(now); !asOf.IsZero() && !asOf.Before(v.Held[0].HeaderReadAt) {
		s.releaseHeldResumes(now)
	}
}

func (s *State) releaseHeldResumes(now time.Time) {
	held := s.StreamVersions.Held
	s.StreamVersions.Held = nil
	for _, ev := range held {
		s.handleRequestArrived(ev, now)
	}
}
