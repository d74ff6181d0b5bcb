package dtrollout

import (
	"maps"
	"math"
	"time"
)

// Histogram counts durations by bucket; each bucket is a quarter of an octave wide.
type Histogram map[uint8]uint64

// Parameters of the buckets: four per octave tell a factor of three from one of two, and 90 of them reach
// over an hour.
const (
	bucketsPerOctave = 4
	maxBucket        = 90
)

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) uint8 {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return uint8(min(int(bucketsPerOctave*math.Log2(ms))+1, maxBucket))
}

// Total returns the number of durations.
func (h Histogram) Total() uint64 {
	n := uint64(0)
	for _, count := range h {
		n += count
	}
	return n
}

// From returns the number of durations in a bucket and those above.
func (h Histogram) From(bucket uint8) uint64 {
	n := uint64(0)
	for b, count := range h {
		if b >= bucket {
			n += count
		}
	}
	return n
}

// Median returns the bucket of the median; the histogram must not be empty.
func (h Histogram) Median() uint8 {
	half, n := (h.Total()+1)/2, uint64(0)
	for b := range uint8(maxBucket) {
		if n += h[b]; n >= half {
			return b
		}
	}
	return maxBucket
}

// Counts are the requests of one route that were sent to one side of a roll-out. They only grow.
type Counts struct {
	Requests    uint64    `msgpack:"r,omitempty"` // Attempts sent.
	Answers     uint64    `msgpack:"a,omitempty"` // Ended with a response or with a failure of the server.
	Failures    uint64    `msgpack:"f,omitempty"` // Those of Answers that failed.
	Durations   Histogram `msgpack:"d,omitempty"` // Of complete responses and of those that a deadline ended.
	FirstEvents Histogram `msgpack:"e,omitempty"` // Times until the first event of streams.
}

// combine returns counts of which each number is combined with that of other.
func (c Counts) combine(other Counts, op func(a, b uint64) uint64) Counts {
	return Counts{
		Requests: op(c.Requests, other.Requests), Answers: op(c.Answers, other.Answers), Failures: op(c.Failures, other.Failures),
		Durations: c.Durations.combine(other.Durations, op), FirstEvents: c.FirstEvents.combine(other.FirstEvents, op),
	}
}

func (h Histogram) combine(other Histogram, op func(a, b uint64) uint64) Histogram {
	if len(h) == 0 && len(other) == 0 {
		return nil
	}
	next := make(Histogram, len(h)+len(other))
	for b, n := range h {
		next[b] = op(n, other[b])
	}
	for b, n := range other {
		if _, isKnown := h[b]; !isKnown {
			next[b] = op(0, n)
		}
	}
	return next
}

func plus(a, b uint64) uint64 { return a + b }

func greater(a, b uint64) uint64 { return max(a, b) }

// less returns a-b, or zero if a count has fallen, as one of a router that has not been heard yet may.
func less(a, b uint64) uint64 { return a - min(a, b) }

// Tally is the counts of both sides of a roll-out, by route.
type Tally struct {
	Old    map[string]Counts `msgpack:"o,omitempty"` // Servers of all other versions.
	Target map[string]Counts `msgpack:"t,omitempty"`
}

// side returns the counts of the target or of the other versions.
func (t *Tally) side(isTarget bool) map[string]Counts {
	if isTarget {
		return t.Target
	}
	return t.Old
}

// set sets the counts of a route.
func (t *Tally) set(isTarget bool, route string, c Counts) {
	side := &t.Old
	if isTarget {
		side = &t.Target
	}
	if *side == nil {
		*side = map[string]Counts{}
	}
	(*side)[route] = c
}

// combine returns a tally of which each number is combined with that of other.
func (t *Tally) combine(other *Tally, op func(a, b uint64) uint64) Tally {
	next := Tally{}
	for _, isTarget := range [...]bool{false, true} {
		routes := map[string]bool{}
		for route := range t.side(isTarget) {
			routes[route] = true
		}
		for route := range other.side(isTarget) {
			routes[route] = true
		}
		for route := range routes {
			next.set(isTarget, route, t.side(isTarget)[route].combine(other.side(isTarget)[route], op))
		}
	}
	return next
}

// add adds another tally, in place: the sum of a large fleet is formed several times a second.
func (t *Tally) add(other *Tally) {
	for _, isTarget := range [...]bool{false, true} {
		for route, c := range other.side(isTarget) {
			sum := t.side(isTarget)[route]
			sum.Requests += c.Requests
			sum.Answers += c.Answers
			sum.Failures += c.Failures
			sum.Durations = sum.Durations.add(c.Durations)
			sum.FirstEvents = sum.FirstEvents.add(c.FirstEvents)
			t.set(isTarget, route, sum)
		}
	}
}

func (h Histogram) add(other Histogram) Histogram {
	if h == nil && len(other) > 0 {
		h = make(Histogram, len(other))
	}
	for b, n := range other {
		h[b] += n
	}
	return h
}

// Max returns the greater of each number, which merges reports of the same source in any order.
func (t *Tally) Max(other *Tally) Tally { return t.combine(other, greater) }

// Since returns what has been counted since an earlier tally.
func (t *Tally) Since(earlier *Tally) Tally { return t.combine(earlier, less) }

// Clone returns a copy that later counts do not change.
func (t *Tally) Clone() Tally { return t.combine(&Tally{}, plus) }

// Requests returns the attempts sent to the target or to the other versions.
func (t *Tally) Requests(isTarget bool) uint64 { return total(t.side(isTarget)).Requests }

// total returns the counts of all routes together; durations of different routes are not comparable and are
// left out.
func total(side map[string]Counts) Counts {
	sum := Counts{}
	for _, c := range side {
		sum.Requests += c.Requests
		sum.Answers += c.Answers
		sum.Failures += c.Failures
	}
	return sum
}

// routes returns the names of the routes that the target has answered.
func (t *Tally) routes() map[string]Counts { return maps.Clone(t.Target) }
