package dtdispatch

import "time"

// A router works out the versions of streams only for times at which it has followed the list of servers, which it
// has not while it stood still or was cut off.

const (
	// standstillMargin is by how much a router's timer may be late while it runs.
	standstillMargin = 300 * time.Millisecond
	// maxPeerSilence is the time for which what a router has said of its list holds; one whose load changes is heard
	// of more often.
	maxPeerSilence = 700 * time.Millisecond
)

// notFollowedSince returns the time since which this router has not followed the list of servers before it has read
// it now, or the zero time if it has.
func (s *State) notFollowedSince(now time.Time) time.Time {
	v := &s.StreamVersions
	if !v.StoodStillAt.IsZero() {
		return v.StoodStillAt
	}
	if !v.checkedAt.IsZero() && now.Sub(v.checkedAt) > s.maxFollowedAge() {
		return v.checkedAt
	}
	return time.Time{}
}

// maxFollowedAge returns the age that the list of a router reaches which hears of all changes.
func (s *State) maxFollowedAge() time.Duration {
	return s.serverListWait() + readerGracePeriod + mixSkew
}

// listConfirmedAt returns the time as of which the list of servers is known to be current. After a standstill what was
// sent before it does not count; see endStandstill.
func (s *State) listConfirmedAt() time.Time {
	if at := s.StreamVersions.StoodStillAt; !at.IsZero() {
		return earlier(at, s.Roster.ListedAt)
	}
	return s.Roster.ListedAt
}

// followsList reports whether this router has heard of all changes of the list but those of the last maxFollowedAge.
func (s *State) followsList(now time.Time) bool {
	return now.Sub(s.Roster.ListedAt) <= s.maxFollowedAge() || s.sharesList(now)
}

// sharesList reports whether this router has just heard from more than half of the listed routers, itself included,
// that they have its list of servers, and from none that it has another.
func (s *State) sharesList(now time.Time) bool {
	return 2*s.sharingRouters(now) > len(s.Membership.ListedRouters)
}

// sharingRouters returns how many routers have just said that they have the list of this one, itself included, or zero if one
// has said that it has another.
func (s *State) sharingRouters(now time.Time) int {
	sharing := 1
	for _, peer := range s.Peers.ByName {
		switch {
		case now.Sub(peer.LastHeardAt) >= maxPeerSilence:
		case peer.RosterHash != s.Roster.Hash:
			return 0
		default:
			sharing++
		}
	}
	return sharing
}

// sharedAsOf returns the time as of which all other routers have said that they have the list of this one, or the zero time if one of
// them is not heard of, or has another list. The entries of some may have lapsed.
func (s *State) sharedAsOf(now time.Time) time.Time {
	if len(s.Membership.ListedRouters) == 0 || s.sharingRouters(now) == 0 {
		return time.Time{}
	}
	asOf := now
	for name := range s.Membership.LastSeen {
		if name == s.Settings.RouterName {
			continue
		}
		peer, isKnown := s.Peers.ByName[name]
		if !isKnown || now.Sub(peer.LastHeardAt) >= maxPeerSilence {
			return time.Time{}
		}
		asOf = earlier(asOf, peer.LastHeardAt.Add(-peer.LateBy))
	}
	return asOf
}

// observeStandstill notes that the router has stood still before the present step, as its timer fires more often.
func (s *State) observeStandstill(now time.Time) {
	v := &s.StreamVersions
	hasStoodStill := !v.steppedAt.IsZero() && now.Sub(v.steppedAt) > s.Peers.StatusInterval()+standstillMargin
	if hasStoodStill {
		s.restartReach(now)
	}
	if hasStoodStill && v.StoodStillAt.IsZero() {
		v.StoodStillAt, v.WokeAt = v.steppedAt, now
	}
	v.steppedAt = now
}

// addSuspension makes what this router knows of the versions of streams as old as it is after a pause that the steady clock has
// not counted in full.
func (s *State) addSuspension(ev Paused, now time.Time) {
	if ev.Uncounted <= 0 {
		return
	}
	v := &s.StreamVersions
	v.WokeAt = now
	if since := now.Add(-ev.Gap); v.StoodStillAt.IsZero() || since.Before(v.StoodStillAt) {
		v.StoodStillAt = since
	}
	for _, history := range v.ByService {
		history.shift(-ev.Uncounted)
	}
	s.shiftLists(-ev.Uncounted)
	for id, exception := range v.Exceptions {
		exception.At = exception.At.Add(-ev.Uncounted)
		v.Exceptions[id] = exception
	}
	for _, r := range s.Requests {
		if r.StreamTime.IsZero() {
			continue
		}
		r.StreamTime = r.StreamTime.Add(-ev.Uncounted)
	}
}

// noteGaps records that this router has not followed the list of servers until now, if it has just been confirmed: other mixes may
// have come into force and gone meanwhile, although the list is what it was.
func (s *State) noteGaps(now time.Time) {
	v := &s.StreamVersions
	since := s.notFollowedSince(now)
	if since.IsZero() || v.checkedAt.IsZero() || !s.Roster.ListedAt.After(v.checkedAt) {
		return
	}
	v.NotFollowedUntil = now
	for _, service := range sortedKeys(v.ByService) {
		if v.ByService[service].addGap(since, now) {
			s.emit(LogRecord{Event: "list_gap", Subject: service, Elapsed: now.Sub(since)})
		}
	}
}

// noteListed notes when the list of servers was last current, and when this router first had one.
func (s *State) noteListed(now time.Time) {
	v := &s.StreamVersions
	v.checkedAt = s.Roster.ListedAt
	if v.ListedSince.IsZero() && !v.checkedAt.IsZero() {
		v.ListedSince = now
	}
}

// endStandstill forgets a standstill once the list has been confirmed by what was sent since: what was sent before
// is in the router's buffers, and arrives within standstillMargin.
func (s *State) endStandstill(now time.Time) {
	v := &s.StreamVersions
	if !v.StoodStillAt.IsZero() && s.Roster.ListedAt.After(v.checkedAt) && now.Sub(v.WokeAt) > standstillMargin {
		v.StoodStillAt = time.Time{}
	}
}
