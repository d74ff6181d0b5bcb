package dtdispatch

import (
	"cmp"
	"slices"
	"time"
)

// A router that is cut off from the store and from the others serves on by the list of servers that it last had. Streams that it
// begins are of the version that this list gives them.

// maxListLags is the number of times of late lists that are remembered.
const maxListLags = 64

// ListLag is a time in which a router may have begun streams by a list that others had no more.
type ListLag struct {
	From time.Time // Its list was last known to be current.
	To   time.Time // It was so again.
}

// observeList notes as of when the sender of a status had the list of servers that was in use here. While the list of this router is
// old, one that equals it may be as old.
func (s *State) observeList(peer, previous *Peer, status *PeerStatus, now time.Time) {
	sentAt := now.Add(-peer.LateBy)
	current := sentAt.Add(-time.Duration(status.RosterAgeMs) * time.Millisecond)
	switch status.RosterHash {
	case 0: // It has no list, and begins nothing.
		current = sentAt
	case s.Roster.Hash:
		confirmedAt := sentAt
		if now.Sub(s.listConfirmedAt()) > s.maxFollowedAge() {
			confirmedAt = later(s.listConfirmedAt(), s.sharedAsOf(now))
		}
		current = later(current, earlier(sentAt, confirmedAt))
	}
	peer.ListCurrentAt = later(current, previous.ListCurrentAt)
	if !previous.ListCurrentAt.IsZero() && peer.ListCurrentAt.Sub(previous.ListCurrentAt) > s.maxFollowedAge() {
		s.StreamVersions.addListLag(ListLag{From: previous.ListCurrentAt, To: peer.ListCurrentAt}, now)
	}
}

func (v *StreamVersions) addListLag(lag ListLag, now time.Time) {
	v.ListLags = slices.DeleteFunc(v.ListLags, func(old ListLag) bool { return now.Sub(old.To) > maxStreamAge })
	if len(v.ListLags) >= maxListLags {
		v.ListLags = slices.Delete(v.ListLags, 0, 1)
	}
	v.ListLags = append(v.ListLags, lag)
}

// listsCurrentAsOf returns the time since when the lists are by which a stream may have begun whose time is between from and to, if
// it lies before from.
func (s *State) listsCurrentAsOf(from, to time.Time) time.Time {
	asOf := from
	for _, lag := range s.StreamVersions.ListLags {
		if !lag.From.After(to) && !lag.To.Before(from) {
			asOf = earlier(asOf, lag.From)
		}
	}
	for name := range s.Membership.LastSeen {
		if s.hearsFrom(name) {
			asOf = earlier(asOf, s.Peers.ByName[name].ListCurrentAt)
		}
	}
	return asOf
}

// hearsFrom reports whether this router gets the statuses of another one unless one of them is cut off, as it may have been since
// before this router started.
func (s *State) hearsFrom(name string) bool {
	if name == s.Settings.RouterName {
		return false
	}
	domain := cmp.Or(s.Peers.ByName[name].Domain, s.Membership.ListedRouters[name].Domain)
	return !s.Membership.IsLarge() || s.linksTo(Router{Name: name, Domain: domain})
}

// mayBeOfLateList reports whether a stream may have begun at another version than the given one, at a router with an older list: that
// version had servers not long before.
func (s *State) mayBeOfLateList(history *VersionHistory, streamID, version string, from, to time.Time) bool {
	asOf := s.listsCurrentAsOf(from, to)
	if !asOf.Before(from.Add(-s.maxFollowedAge() - mixSkew)) {
		return false
	}
	asOf = asOf.Add(-s.maxFollowedAge() - mixSkew) // This router may have followed the list with as much delay.
	return history.hasGapBetween(asOf, from) || history.mayPickOther(streamID, version, asOf, from, to)
}

// mayPickOther reports whether a mix in force since a time gives a stream whose time is between from and to another version, which may
// have had servers then.
func (h *VersionHistory) mayPickOther(streamID, version string, since, from, to time.Time) bool {
	served := map[string]bool{}
	for i, mix := range h.Mixes {
		if h.mayApply(i, from.Add(-maxListLag), to) {
			for listed := range mix.Weights {
				served[listed] = true
			}
		}
	}
	for i, mix := range h.Mixes {
		if h.mayApply(i, since, from) {
			if picked := pickVersion(streamID, mix.Weights); picked != version && served[picked] {
				return true
			}
		}
	}
	return false
}

// mayCountAsLateListed reports whether other routers may take a new stream for one that began at a router with an older list.
func (s *State) mayCountAsLateListed(r *Request, history *VersionHistory, version string) bool {
	timeouts := s.StreamVersions.timeoutsOf(r.Route)
	spread := timeouts.Max - timeouts.Min + maxTransit + 2*mixSkew
	return s.mayBeOfLateList(history, r.StreamID, version, r.StreamTime.Add(-spread), r.StreamTime.Add(spread))
}

// listStreamsBesideLateLists lists the streams of this router that others can't tell any more from those of a router whose list has
// become old.
func (s *State) listStreamsBesideLateLists(now time.Time) {
	v := &s.StreamVersions
	oldest, name := s.oldestList(now)
	isLate := now.Sub(oldest) > s.maxFollowedAge()
	if isLate && !v.IsListLate {
		s.emit(LogRecord{Event: "list_late", Subject: name, Elapsed: sinceUnlessZero(oldest, now)})
		s.listStreamsUnderWay(now)
	}
	v.IsListLate = isLate
}

// oldestList returns the time as of which the list of a router was current for which that is longest ago, the zero time for one that has
// not been heard of.
func (s *State) oldestList(now time.Time) (at time.Time, name string) {
	at = now
	for other := range s.Membership.LastSeen {
		peer := s.Peers.ByName[other]
		if !s.hearsFrom(other) || peer.ListCurrentAt.After(at) || peer.ListCurrentAt.Equal(at) && other > name {
			continue
		}
		at, name = peer.ListCurrentAt, other
	}
	return at, name
}
