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
	From time.Time // Its list was last known to be current; zero if this router had not heard of it before.
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
	since, heardAt := previous.ListCurrentAt, previous.ListCurrentAt
	if since.IsZero() {
		since, heardAt = s.unheardSince(status.From)
	}
	if !heardAt.IsZero() && peer.ListCurrentAt.Sub(heardAt) > s.maxFollowedAge() {
		s.StreamVersions.addListLag(ListLag{From: since, To: peer.ListCurrentAt}, now)
	}
	delete(s.StreamVersions.ToldLists, status.From)
	s.observeLateLists(status.LateLists, peer, now)
}

// unheardSince returns as of when the list of a router may have been late that this one has not heard from since it started, the zero
// time if nobody has told, and when it might have been heard from at the earliest, the zero time if it was not listed.
func (s *State) unheardSince(name string) (since, heardAt time.Time) {
	if told, isTold := s.StreamVersions.ToldLists[name]; isTold {
		return told, told
	}
	if _, isListed := s.Membership.LastSeen[name]; isListed {
		return time.Time{}, s.StreamVersions.ListedSince
	}
	return time.Time{}, time.Time{}
}

// observeLateLists notes what a router tells of others that this one has not heard from since it started.
func (s *State) observeLateLists(ages map[string]int64, teller *Peer, now time.Time) {
	v := &s.StreamVersions
	for name, ms := range ages {
		if _, isListed := s.Membership.LastSeen[name]; !isListed || name == s.Settings.RouterName || !s.Peers.ByName[name].ListCurrentAt.IsZero() {
			continue
		}
		age := min(time.Duration(max(ms, 0))*time.Millisecond, maxStreamAge)
		if v.ToldLists == nil {
			v.ToldLists = map[string]time.Time{}
		}
		v.ToldLists[name] = later(v.ToldLists[name], now.Add(-age-teller.LateBy))
	}
}

// lateLists returns how many milliseconds ago the lists of other routers were last known to be current for which that is long.
func (s *State) lateLists(now time.Time) map[string]int64 {
	var ages map[string]int64
	for name := range s.Membership.LastSeen {
		at := s.listCurrentAt(name)
		if !s.hearsFrom(name) || at.IsZero() || now.Sub(at) <= s.maxFollowedAge() {
			continue
		}
		if ages == nil {
			ages = map[string]int64{}
		}
		ages[name] = now.Sub(at).Milliseconds()
	}
	return ages
}

// addListLag adds a time to the others. If there are too many, the two oldest become one.
func (v *StreamVersions) addListLag(lag ListLag, now time.Time) {
	v.ListLags = slices.DeleteFunc(v.ListLags, func(old ListLag) bool { return now.Sub(old.To) > maxStreamAge })
	if len(v.ListLags) >= maxListLags {
		v.ListLags[1] = v.ListLags[1].with(v.ListLags[0])
		v.ListLags = slices.Delete(v.ListLags, 0, 1)
	}
	v.ListLags = append(v.ListLags, lag)
}

// with returns the time from the start of the earlier to the end of the later of two.
func (l ListLag) with(other ListLag) ListLag {
	return ListLag{From: earlier(l.From, other.From), To: later(l.To, other.To)}
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
			asOf = earlier(asOf, s.listCurrentAt(name))
		}
	}
	return asOf
}

// listCurrentAt returns the time as of which the list of a router was last current, or the zero time.
func (s *State) listCurrentAt(name string) time.Time {
	if at := s.Peers.ByName[name].ListCurrentAt; !at.IsZero() {
		return at
	}
	since, _ := s.unheardSince(name)
	return since
}

// shiftLists moves by d what this router knows of the ages of lists.
func (s *State) shiftLists(d time.Duration) {
	v := &s.StreamVersions
	for i, lag := range v.ListLags {
		v.ListLags[i] = ListLag{From: lag.From.Add(d), To: lag.To.Add(d)}
	}
	for name, at := range v.ToldLists {
		v.ToldLists[name] = at.Add(d)
	}
	for name, peer := range s.Peers.ByName {
		if !peer.ListCurrentAt.IsZero() {
			peer.ListCurrentAt = peer.ListCurrentAt.Add(d)
			s.Peers.ByName[name] = peer
		}
	}
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
		current := s.listCurrentAt(other)
		if !s.hearsFrom(other) || current.After(at) || current.Equal(at) && other > name {
			continue
		}
		at, name = current, other
	}
	return at, name
}
