package dtdispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// A stream may go on only at a server of the software version that began it, since what two versions
// generate does not fit together. The version at which a stream begins follows from its ID, its time, and
// the list of servers at that time, so that a router that has never heard of a stream can work it out. The
// time of a stream is the caller's deadline less the timeout of the route, which is when the caller first
// asked, and the same for all its requests. Streams that had to begin at another version are listed one by
// one. Where two versions are possible, the request is refused.

// maxTransit is how long a request may be under way to a router, which makes the time of its stream late by as much:
// callers allow a second for the connection, and another until the request has been read.
const maxTransit = 2 * time.Second

// maxExceptions is the number of streams that are listed one by one.
const maxExceptions = 4096

// StreamVersions is what a router knows of the versions at which streams have begun.
type StreamVersions struct {
	ByService        map[string]*VersionHistory
	Timeouts         map[string]TimeoutRange    // By name of the route.
	Exceptions       map[string]StreamException // By ID of the stream.
	Spare            []SpareException           // Own exceptions that only earlier builds make necessary, oldest first.
	LoadedAt         time.Time                  // Start of the last read of the record in the store, which outlives the routers.
	Reading          Polling
	MixWrite         RecordWrite
	ExceptionWrite   RecordWrite
	UnrecordedWrite  RecordWrite
	Unrecorded       UnrecordedStreams         // As far as this router has seen.
	StoredUnrecorded UnrecordedStreams         // As last read from the store.
	ExceptionSeq     uint64                    // Of the last exception of this router.
	WritingSeq       uint64                    // Of the last exception of this router that is in the write in progress.
	WrittenSeq       uint64                    // Of the last exception of this router that the store has.
	ToldSeq          uint64                    // Of the last exception of this router that others have been told of.
	AskedSeq         uint64                    // Of the last exception of this router that others have been asked to write.
	Adopted          map[string]bool           // By ID of the stream: other routers that can't write it wait for this one to do so.
	RecordedMixes    map[string]map[string]int // By service: weights of the last mix that the store is known to have.
	WritingMixes     map[string]map[string]int // The same as of the write in progress.
	Held             []RequestArrived          // Requests that wait for the record.
	BrokenOff        []*Request                // New streams that have broken off lately.
	Ahead            map[string]time.Time      // By service: since when the record has mixes that this router has not applied.
	StoodStillAt     time.Time                 // Of the last step before the router stood still; zero once it has heard of the list since.
	WokeAt           time.Time                 // Of the first step after that one.
	NotFollowedUntil time.Time                 // End of the last time in which this router has not followed the list of servers.
	WrittenClock     RecordClock               // Of the mixes that this router has written last.
	ClockWrittenAt   time.Time
	RecordedClocks   map[string]time.Duration // By router: by how much its clock is ahead, by the record.
	ListLags         []ListLag                // Of other routers, up to maxStreamAge ago.
	IsListLate       bool                     // The list of another router may be older than one that follows all changes.

	checkedAt time.Time // When the list of servers was last current, before the present step.
	steppedAt time.Time // Time of the last step.
}

// StreamException is a stream that has begun at another version than it was to.
type StreamException struct {
	Version  string
	At       time.Time
	Seq      uint64 // Order in which this router has recorded its exceptions.
	IsOwn    bool   // This router writes it to the record.
	IsStored bool   // Another router has written it, for which the store did not take it from this one.
}

// history returns the history of a service, which begins now if there is none.
func (v *StreamVersions) history(service string, now time.Time) *VersionHistory {
	if v.ByService == nil {
		v.ByService = map[string]*VersionHistory{}
	}
	return getOrCreate(v.ByService, service, func() *VersionHistory {
		if !v.LoadedAt.IsZero() {
			return &VersionHistory{}
		}
		return &VersionHistory{KnownSince: now}
	})
}

// TimeoutRange is the range of how long callers of a route wait for a stream, as far as is known.
type TimeoutRange struct {
	Min time.Duration // Shortest timeout that the route has had.
	Max time.Duration // Longest timeout that the route or a caller of it has had.
}

// observeTimeout records how long the caller of a request waits, and reports whether the range has grown.
func (v *StreamVersions) observeTimeout(route *Route, timeout time.Duration) bool {
	if v.Timeouts == nil {
		v.Timeouts = map[string]TimeoutRange{}
	}
	old, isKnown := v.Timeouts[route.Name]
	if !isKnown {
		old = TimeoutRange{Min: route.Timeout, Max: route.Timeout}
	}
	next := TimeoutRange{Min: min(old.Min, route.Timeout), Max: min(max(old.Max, route.Timeout, timeout), maxStreamAge)}
	v.Timeouts[route.Name] = next
	return isKnown && next != old
}

// inheritTimeouts adds to the ranges of the routes of a configuration those of the routes that have served their paths
// before, which the streams of these paths may have, and reports whether one has grown.
func (v *StreamVersions) inheritTimeouts(old, next *Config) bool {
	hasGrown := false
	for host, routes := range next.RoutesByHost {
		for i := range routes {
			hasGrown = v.inheritRange(old.MatchRoute(host, routes[i].Prefix), &routes[i]) || hasGrown
		}
		for i := range old.RoutesByHost[host] {
			former := &old.RoutesByHost[host][i]
			hasGrown = v.inheritRange(former, next.MatchRoute(host, former.Prefix)) || hasGrown
		}
	}
	return hasGrown
}

// inheritRange adds the range of a former route to that of the route that has taken its place, and reports whether that
// has grown.
func (v *StreamVersions) inheritRange(former, route *Route) bool {
	if former == nil || route == nil || !former.Streaming || !route.Streaming {
		return false
	}
	old, inherited := v.timeoutsOf(route), v.timeoutsOf(former)
	next := TimeoutRange{Min: min(old.Min, inherited.Min), Max: max(old.Max, inherited.Max)}
	if next == old {
		return false
	}
	if v.Timeouts == nil {
		v.Timeouts = map[string]TimeoutRange{}
	}
	v.Timeouts[route.Name] = next
	return true
}

// timeoutsOf returns the range of a route, which holds at least its present timeout.
func (v *StreamVersions) timeoutsOf(route *Route) TimeoutRange {
	timeouts, isKnown := v.Timeouts[route.Name]
	if !isKnown {
		return TimeoutRange{Min: route.Timeout, Max: route.Timeout}
	}
	return TimeoutRange{Min: min(timeouts.Min, route.Timeout), Max: max(timeouts.Max, route.Timeout)}
}

// streamTime returns the time of a new stream.
func streamTime(route *Route, ev *RequestArrived) time.Time {
	if ev.CallerTimeout <= 0 || ev.CallerTimeout > route.Timeout {
		return ev.HeaderReadAt
	}
	return ev.HeaderReadAt.Add(ev.CallerTimeout - route.Timeout)
}

// streamTimes returns the earliest and the latest time that the stream may have with which a request goes on. It has begun before the
// request arrived.
func (v *StreamVersions) streamTimes(route *Route, ev *RequestArrived, now time.Time) (from, to time.Time) {
	timeouts := v.Timeouts[route.Name]
	if ev.CallerTimeout <= 0 || ev.CallerTimeout > timeouts.Max {
		return now.Add(-maxStreamAge), ev.HeaderReadAt
	}
	deadline := ev.HeaderReadAt.Add(ev.CallerTimeout)
	to = earlier(deadline.Add(maxTransit+mixSkew-timeouts.Min), ev.HeaderReadAt)
	return deadline.Add(-timeouts.Max - maxTransit - mixSkew), to
}

// updateVersions applies a change of the servers that may get requests.
func (s *State) updateVersions(now time.Time) {
	v := &s.StreamVersions
	for _, service := range sortedKeys(s.Roster.ByService) {
		counts := map[string]int{}
		for _, server := range s.Roster.ByService[service] {
			if !server.Draining && !s.OutOfService.Domains[server.Domain] {
				counts[server.Version]++
			}
		}
		if len(counts) == 0 {
			continue // Streams that begin again will do so at the next versions.
		}
		weights := newWeights(s.rolloutWeights(service, counts))
		if v.ByService[service] == nil {
			v.MixWrite.markDue(now.Add(versionStartupDelay)) // What the record has may differ.
		}
		history := v.history(service, now)
		if maps.Equal(weights, history.Weights()) {
			continue
		}
		notFollowedSince := s.notFollowedSince(now)
		history.Change(weights, notFollowedSince, now)
		if len(history.Mixes) > 1 {
			s.emit(LogRecord{Event: "stream_versions", Subject: service, Detail: formatWeights(weights), Elapsed: sinceUnlessZero(notFollowedSince, now)})
			v.MixWrite.markDue(now.Add(versionRecordDelay))
			s.recordRecentVersions(service, history, notFollowedSince, now)
		}
	}
}

func sinceUnlessZero(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

func formatWeights(weights map[string]int) string {
	parts := make([]string, 0, len(weights))
	for _, version := range sortedKeys(weights) {
		parts = append(parts, fmt.Sprintf("%s:%d", version, weights[version]))
	}
	return strings.Join(parts, " ")
}

// addException adds a stream, and forgets those that began long ago and, if there are too many, the oldest.
func (v *StreamVersions) addException(id string, exception StreamException, now time.Time) {
	if v.Exceptions == nil {
		v.Exceptions = map[string]StreamException{}
	}
	v.Exceptions[id] = exception
	if len(v.Exceptions) <= maxExceptions {
		return
	}
	maps.DeleteFunc(v.Exceptions, func(_ string, e StreamException) bool { return now.Sub(e.At) > maxStreamAge })
	if len(v.Exceptions) > maxExceptions {
		v.evictExceptions(id)
	}
}

// evictExceptions makes room after that of a stream has been added. Those of others go first, as they are read again.
func (v *StreamVersions) evictExceptions(added string) {
	byAge := make([]string, 0, len(v.Exceptions))
	for id := range v.Exceptions {
		if id != added {
			byAge = append(byAge, id)
		}
	}
	slices.SortFunc(byAge, func(a, b string) int {
		x, y := v.Exceptions[a], v.Exceptions[b]
		if x.IsOwn != y.IsOwn {
			if y.IsOwn {
				return -1
			}
			return 1
		}
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(a, b))
	})
	for i, id := range byAge[:maxExceptions/8] {
		if i > 0 && v.Exceptions[id].IsOwn {
			return
		}
		delete(v.Exceptions, id)
	}
}

// ownExceptions returns the exceptions of this router that may still matter.
func (v *StreamVersions) ownExceptions(now time.Time) map[string]StreamException {
	own := map[string]StreamException{}
	for id, exception := range v.Exceptions {
		if exception.IsOwn && now.Sub(exception.At) <= maxStreamAge {
			own[id] = exception
		}
	}
	return own
}
