package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// recordedSkew is the distance from a change of the mix within which streams are recorded. Another router may have
// applied the change earlier or later by mixSkew, and allows for as much again.
const recordedSkew = 2 * mixSkew

// serversOfStream returns those of servers that may take a stream: of the version that began it or,
// for a new one, of the version at which it is to begin. If that has no usable server, it is the next one.
func (s *State) serversOfStream(r *Request, servers []*Server, now time.Time) []*Server {
	servers = s.withListedStart(r, servers, now)
	if r.HasVersion {
		return withVersion(servers, r.Version)
	}
	history := s.StreamVersions.ByService[r.Service]
	if history == nil || !r.keepsVersion() {
		return servers
	}
	regular, current := history.WeightsAt(r.StreamTime), history.Weights()
	if s.StreamVersions.RecordedMixes == nil && !s.awaitRecord(r, now) {
		return nil
	}
	if s.StreamVersions.isOfOnlyVersion(history, r) {
		return servers
	}
	version, group := s.versionOfStream(r, servers, regular, current, now)
	if len(group) == 0 {
		return withVersion(servers, version)
	}
	recorded, isException := s.StreamVersions.Exceptions[r.StreamID]
	isOther := version != pickVersion(r.StreamID, regular) || isException && recorded.Version != version || !s.StreamVersions.isInRecord(history, r, version)
	if isOther && r.isResumable() && !s.canRecord(r, version) {
		return nil // The caller's next attempt is another stream.
	}
	s.recordVersion(r, history, version, now)
	return group
}

// versionOfStream returns the version at which a new stream is to begin, and the servers that it may begin at, if there are any.
func (s *State) versionOfStream(r *Request, servers []*Server, regular, current map[string]int, now time.Time) (string, []*Server) {
	version := pickVersion(r.StreamID, regular)
	if len(regular) == 1 && maps.Equal(regular, current) {
		return version, servers
	}
	group := s.pickUsable(r, servers, regular, now)
	if group == nil { // All versions of its time may have left since.
		group = s.pickUsable(r, servers, current, now)
	}
	if group == nil {
		return version, nil
	}
	return group[0].Version, group
}

// recordVersion records the version at which a new stream is to begin, if others would not find it, or another
// has been recorded in an attempt before. Others that would only be uncertain refuse to go on with it, so that the
// stream need not be held until they can.
func (s *State) recordVersion(r *Request, history *VersionHistory, version string, now time.Time) {
	v := &s.StreamVersions
	recorded, isException := v.Exceptions[r.StreamID]
	if isException && recorded.IsOwn && recorded.Version == version {
		r.RecordSeq = recorded.Seq
		return
	}
	isInRecord := v.isInRecord(history, r, version)
	if !isInRecord {
		s.checkRecordIfLate(r.Service, history, now)
	}
	isRegular := !isException && isInRecord && (len(history.Mixes) == 1 || s.followsList(now)) && history.isVersionSince(r.StreamTime.Add(-recordedSkew), r, version)
	delay, isSpare := exceptionDelay, false
	if isRegular && history.isVersionSince(later(r.StreamTime.Add(-maxTransit-s.maxFollowedAge()-recordedSkew), history.KnownSince), r, version) {
		isSpare = s.isUncertainElsewhere(r, history, version) && s.mayAddSpare(now)
		if !isSpare {
			return
		}
		delay = unrecordedListDelay + time.Duration(s.RouterCount())*unrecordedListDelayPerRouter
	}
	v.ExceptionSeq++
	if !isRegular {
		r.RecordSeq = v.ExceptionSeq
	}
	v.addException(r.StreamID, StreamException{Version: version, At: now, Seq: v.ExceptionSeq, IsOwn: true}, now)
	if isSpare {
		until := r.StreamTime.Add(v.timeoutsOf(r.Route).Max + maxTransit)
		v.Spare = append(v.Spare, SpareException{StreamID: r.StreamID, Seq: v.ExceptionSeq, Until: until})
	}
	s.emit(LogRecord{
		Event: "stream_recorded", RequestID: r.ID, Stream: r.StreamID, Version: version, Outcome: recordOutcome(isRegular || !r.isResumable()), Elapsed: now.Sub(r.ArrivedAt),
		StreamAge: now.Sub(r.StreamTime),
	})
	v.ExceptionWrite.markDue(now.Add(delay))
}

// canRecord reports whether the store has the version of a new stream, or is expected to take it.
func (s *State) canRecord(r *Request, version string) bool {
	v := &s.StreamVersions
	recorded, isException := v.Exceptions[r.StreamID]
	if isException && recorded.Version == version && recorded.IsOwn && recorded.Seq <= v.WrittenSeq {
		return true
	}
	return !s.IsStoreDown && v.ExceptionWrite.Failures == 0
}

// recordOutcome returns what becomes of a stream that is recorded, for the log.
func recordOutcome(isForwarded bool) string {
	if isForwarded {
		return "listed"
	}
	return "held"
}

// isVersionSince reports whether all mixes from a time until recordedSkew after that of a new stream give it a version. A gap in which
// other mixes have come and gone says nothing of streams that begin after it.
func (h *VersionHistory) isVersionSince(from time.Time, r *Request, version string) bool {
	to := r.StreamTime.Add(recordedSkew)
	found, isCertain := h.versionOfMixes(r.StreamID, from, to)
	return isCertain && found == version && !h.hasChangedUnseen(from, to)
}

// recordRecentVersions records the versions of streams of a service that have begun so shortly before a change of
// the mix, or before this router stopped following the list, that others would not be certain of them.
func (s *State) recordRecentVersions(service string, history *VersionHistory, notFollowedSince, now time.Time) {
	since := now
	if !notFollowedSince.IsZero() {
		since = notFollowedSince
	}
	for _, number := range sortedKeys(s.Requests) {
		r := s.Requests[number]
		isNew := r.Service == service && r.keepsVersion() && r.ResumeAfter == "" && r.Attempt > 0
		isRecent := since.Sub(r.StreamTime) <= s.maxFollowedAge()+recordedSkew
		if isNew && (isRecent || s.isUncertainElsewhere(r, history, r.begunVersion())) {
			s.recordVersion(r, history, r.begunVersion(), now)
		}
	}
}

// isUncertainElsewhere reports whether other routers may take a new stream that is not listed for one that began at a router which does
// not know the present mix, or no versions at all.
func (s *State) isUncertainElsewhere(r *Request, history *VersionHistory, version string) bool {
	return s.mayCountAsUnrecorded(r) || s.mayCountAsLateListed(r, history, version)
}

// begunVersion returns the version that has begun a new stream or, before its first event, the one of the server that
// has the request.
func (r *Request) begunVersion() string {
	if r.HasVersion {
		return r.Version
	}
	return r.ServerVersion
}

// pickUsable returns the servers of the first version for a new stream that has a usable one, or nil.
func (s *State) pickUsable(r *Request, servers []*Server, weights map[string]int, now time.Time) []*Server {
	for len(weights) > 0 {
		version := pickVersion(r.StreamID, weights)
		group := withVersion(servers, version)
		if slices.ContainsFunc(group, func(server *Server) bool { return s.isUsable(r, server, now) }) {
			return group
		}
		weights = maps.Clone(weights)
		delete(weights, version)
	}
	return nil
}

// isUsable reports whether a request can be sent to a server now.
func (s *State) isUsable(r *Request, server *Server, now time.Time) bool {
	return !slices.Contains(r.TriedServers, server.ID) && s.availability(server, now).Block == BlockNone && !s.isAvoided(server, now)
}

func withVersion(servers []*Server, version string) []*Server {
	var list []*Server
	for _, server := range servers {
		if server.Version == version {
			list = append(list, server)
		}
	}
	return list
}
