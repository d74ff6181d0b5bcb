package dtdispatch

import (
	"slices"
	"time"
)

// A router of an earlier build may know no versions: it begins streams anywhere and lists none, so that the version of a
// stream does not follow from its ID. While such routers serve, a stream is certain only if it is listed, or if there was
// one version only.

const (
	// featureGrace is the time for which a router that has said nothing of versions may yet show that it records them.
	featureGrace = 2 * time.Second
	// unrecordedLead is by how much the time in the store up to which streams may be unrecorded is ahead when it is written.
	unrecordedLead = peerTimeout
	// maxListLag is how old the list of servers may be by which a router that records nothing begins a stream, and how long a server
	// may serve that is not listed any more.
	maxListLag = 10 * time.Second
	// maxSpareExceptions is the number of streams that all routers list which need no exception otherwise.
	maxSpareExceptions = maxExceptions / 2
	// unrecordedListDelay is the delay of writing these; unrecordedListDelayPerRouter is added to it for each router.
	unrecordedListDelay          = 400 * time.Millisecond
	unrecordedListDelayPerRouter = 10 * time.Millisecond
)

// UnrecordedStreams says which streams may have begun at a router that records no versions.
type UnrecordedStreams struct {
	Until         time.Time   // Those that have begun before.
	UnknownBefore time.Time   // Those that have begun before may have done so at any version.
	Clock         RecordClock // Of the times; for what is read from the store.
}

// keepsVersions reports whether the sender of a status records the versions at which streams begin. Builds that name no
// features do if they name their times or hash the versions of the servers in their list.
func (s *State) keepsVersions(status *PeerStatus, features FeatureSet) bool {
	if features != 0 {
		return features.Has(FeatureStreamVersions)
	}
	return !status.SentAt.IsZero() || len(s.Roster.Servers) > 0 && status.RosterHash == s.Roster.Hash
}

// observeRecorder notes whether the sender of a status records versions; its incarnation keeps to that.
func (s *State) observeRecorder(peer *Peer, previous *Peer, status *PeerStatus, now time.Time) {
	isSame := peer.Start == previous.Start && !previous.LastHeardAt.IsZero()
	if isSame {
		peer.ServesSince = previous.ServesSince
	}
	if peer.ServesSince.IsZero() && status.RosterHash != 0 {
		peer.ServesSince = now
	}
	peer.KeepsVersions = isSame && previous.KeepsVersions && peer.Features == 0 || s.keepsVersions(status, peer.Features)
	if peer.recordsNothing(now) {
		s.observeUnrecorded(status.From, peer, now)
	}
}

// observeUnrecorded notes that a router which records nothing serves.
func (s *State) observeUnrecorded(name string, peer *Peer, now time.Time) {
	v := &s.StreamVersions
	if v.Unrecorded.Until.After(now.Add(unrecordedLead / 2)) {
		return
	}
	isFirst := !v.Unrecorded.Until.After(now)
	v.Unrecorded.Until = now.Add(unrecordedLead)
	if isFirst {
		s.emit(LogRecord{Event: "streams_unrecorded", Subject: name, Detail: peer.Features.String()})
		s.listStreamsUnderWay(now)
	}
	if s.writesUnrecorded(now) {
		v.UnrecordedWrite.markDue(now)
	}
}

// listStreamsUnderWay lists the streams of this router that began before streams may be unrecorded.
func (s *State) listStreamsUnderWay(now time.Time) {
	v := &s.StreamVersions
	for _, service := range sortedKeys(v.ByService) {
		if history := v.ByService[service]; len(history.Mixes) > 1 || len(history.Weights()) > 1 {
			s.recordRecentVersions(service, history, time.Time{}, now)
		}
	}
}

// observeListedRecorder notes that the store lists a router, which may serve although it is not heard from.
func (s *State) observeListedRecorder(router *Router, now time.Time) {
	peer := s.Peers.ByName[router.Name]
	if peer.recordsNothing(now) && !router.Features.Has(FeatureStreamVersions) {
		s.observeUnrecorded(router.Name, &peer, now)
	}
}

// recordsNothing reports whether the router begins streams without recording their versions, as far as is known.
func (p *Peer) recordsNothing(now time.Time) bool {
	return p.mayRecordNothing() && now.Sub(p.ServesSince) >= featureGrace
}

func (p *Peer) mayRecordNothing() bool { return !p.KeepsVersions && !p.ServesSince.IsZero() }

// recorder returns the router of a failure domain that records versions for others: its collector, but for routers that record
// nothing.
func (s *State) recorder(domain string, maxSilence time.Duration, now time.Time) string {
	return s.firstRouter(domain, maxSilence, func(p *Peer) bool { return !p.recordsNothing(now) }, now)
}

func (s *State) isRecorder(now time.Time) bool {
	return s.recorder(s.Settings.Domain, readerTimeout, now) == s.Settings.RouterName
}

// writesUnrecorded reports whether this router is the one that writes to the store up to when streams may be unrecorded: the
// first by name, in a large fleet of each failure domain.
func (s *State) writesUnrecorded(now time.Time) bool {
	for name, peer := range s.Peers.ByName {
		isNear := !s.Membership.IsLarge() || peer.Domain == s.Settings.Domain
		if name < s.Settings.RouterName && isNear && peer.Features.Has(FeatureStreamVersions) && now.Sub(peer.LastHeardAt) < collectorTimeout {
			return false
		}
	}
	return true
}

// unrecordedUntil returns the time up to which streams may have begun at a router that records no versions.
func (s *State) unrecordedUntil() time.Time {
	v := &s.StreamVersions
	until := later(v.Unrecorded.Until, v.StoredUnrecorded.Until)
	for _, peer := range s.Peers.ByName {
		if peer.mayRecordNothing() {
			until = later(until, peer.LastHeardAt)
		}
	}
	return until
}

// unknownBefore returns the time before which this router can't know which versions served.
func (v *StreamVersions) unknownBefore() time.Time {
	return later(v.Unrecorded.UnknownBefore, v.StoredUnrecorded.UnknownBefore)
}

// mayBeUnrecorded reports whether a stream that has begun after from may have done so at a router that records nothing.
func (s *State) mayBeUnrecorded(from time.Time) bool {
	return from.Before(s.unrecordedUntil()) || from.Before(s.StreamVersions.unknownBefore())
}

// lookUpUnrecorded returns the version of a stream that has begun after from, possibly at a router that records nothing.
func (s *State) lookUpUnrecorded(history *VersionHistory, from, now time.Time) (string, bool) {
	before := s.StreamVersions.unknownBefore()
	if from.Before(before) {
		return "", false
	}
	return history.onlyVersionBetween(later(from.Add(-maxListLag), before), now)
}

// onlyVersionBetween returns the version of all servers from a time to another, if there was no other.
func (h *VersionHistory) onlyVersionBetween(from, to time.Time) (only string, isOnly bool) {
	if from.Before(h.KnownSince) || h.hasGapBetween(from, to) {
		return "", false
	}
	for i, mix := range h.Mixes {
		if !h.mayApply(i, from, to) {
			continue
		}
		for version := range mix.Weights {
			if isOnly && version != only {
				return "", false
			}
			only, isOnly = version, true
		}
	}
	return only, isOnly
}

// mayCountAsUnrecorded reports whether other routers may take a new stream for one that began at a router that records nothing.
func (s *State) mayCountAsUnrecorded(r *Request) bool {
	timeouts := s.StreamVersions.timeoutsOf(r.Route)
	earliest := r.StreamTime.Add(timeouts.Min - timeouts.Max - maxTransit - 2*mixSkew)
	return earliest.Before(s.unrecordedUntil())
}

// observeNoRecord notes that there was no record when this router started. Unless the fleet starts for the first time, routers that
// record nothing may have served until then, and some may not have been heard of yet.
func (s *State) observeNoRecord(now time.Time) {
	if s.isFirstStart() || s.hearsEarlierRecorder() {
		return
	}
	v := &s.StreamVersions
	v.Unrecorded.UnknownBefore = s.StartedAt
	v.Unrecorded.Until = later(v.Unrecorded.Until, s.StartedAt.Add(featureGrace))
	if s.writesUnrecorded(now) {
		v.UnrecordedWrite.markDue(now.Add(versionRecordDelay))
	}
}

// hearsEarlierRecorder reports whether routers of an earlier build serve that record each change of versions, and none that records
// nothing: no record means no change then, as they do not write one for the first version. Routers of this build leave out their
// features at times, and name them in the store.
func (s *State) hearsEarlierRecorder() bool {
	isHeard := false
	for name, peer := range s.Peers.ByName {
		if peer.mayRecordNothing() {
			return false
		}
		router, isListed := s.Membership.ListedRouters[name]
		isHeard = isHeard || peer.KeepsVersions && peer.Features == 0 && isListed && router.Features == 0
	}
	return isHeard
}

// applyUnrecorded applies what the store has, by the clock of this router. It was written less than unrecordedLead ahead.
func (s *State) applyUnrecorded(stored UnrecordedStreams, now time.Time) {
	v := &s.StreamVersions
	v.StoredUnrecorded = UnrecordedStreams{}
	ahead, _ := s.aheadOfRecord(&stored.Clock, now)
	middle, skew := ahead.middle()
	if !stored.Until.IsZero() {
		v.StoredUnrecorded.Until = earlier(stored.Until.Add(middle+skew), now.Add(unrecordedLead))
	}
	if !stored.UnknownBefore.IsZero() {
		v.StoredUnrecorded.UnknownBefore = earlier(stored.UnknownBefore.Add(middle+skew), now)
	}
	if v.Unrecorded.Until.After(now) && !v.StoredUnrecorded.Until.After(now) { // The router that is to write it may not reach the store.
		v.UnrecordedWrite.markDue(now.Add(versionRecordDelay))
	}
}

// unrecordedRecord returns what this router knows, for the store.
func (s *State) unrecordedRecord(now time.Time) VersionRecord {
	return VersionRecord{Unrecorded: UnrecordedStreams{
		Until: s.unrecordedUntil(), UnknownBefore: s.StreamVersions.unknownBefore(), Clock: s.recordClock(now),
	}}
}

// SpareException is an own exception without which others would not be certain of another version.
type SpareException struct {
	StreamID string
	Seq      uint64
	Until    time.Time // By when the stream has ended.
}

// mayAddSpare drops the spare exceptions of streams that have ended, and reports whether this router may list another one. All routers
// together list fewer than they keep, so that no exception that is needed is lost.
func (s *State) mayAddSpare(now time.Time) bool {
	v := &s.StreamVersions
	ended := 0
	for ; ended < len(v.Spare) && v.Spare[ended].Until.Before(now); ended++ {
		spare := v.Spare[ended]
		if known := v.Exceptions[spare.StreamID]; known.IsOwn && known.Seq == spare.Seq {
			delete(v.Exceptions, spare.StreamID)
		}
	}
	v.Spare = slices.Delete(v.Spare, 0, ended)
	return len(v.Spare) < maxSpareExceptions/s.RouterCount()
}
