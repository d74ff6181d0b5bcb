package dtdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The record of the versions of streams holds times by the clock of the router that has written it. Another one must know
// by how much its own clock differs from that: what the writer has measured of the clocks of all routers stands in the
// record, and each router measures those of the routers that it hears from.

const (
	// maxClockWait is how long after its start a router waits for others whose clocks are in the record.
	maxClockWait = 2 * time.Second
	// clockRecordDelay is the delay after which the record is written again since a clock differs from what it says.
	clockRecordDelay = 300 * time.Millisecond
	// minClockWriteGap is the time between two such writes.
	minClockWriteGap = time.Second
	// clockSampleAge is the age up to which what was measured of a clock is current.
	clockSampleAge = 4 * time.Second
	// transitJitter is by how much the transits of statuses usually differ.
	transitJitter = 50 * time.Millisecond
	// largeFleetClockInterval is the time between two statuses of a router of a large fleet that name its time.
	largeFleetClockInterval = 2 * time.Second
)

// RecordClock is by whose clock a record is written.
type RecordClock struct {
	Writer string
	Ahead  map[string]time.Duration // By how much the clocks of other routers are ahead of the writer's, by router.
}

// aheadOfWriter returns by how much the clock of a router is ahead of the writer's, if the record says so.
func (c *RecordClock) aheadOfWriter(router string) (time.Duration, bool) {
	if router == c.Writer {
		return 0, router != ""
	}
	ahead, isKnown := c.Ahead[router]
	return ahead, isKnown
}

// size returns the number of clocks that the record names.
func (c *RecordClock) size() int { return len(c.Ahead) + 1 }

// ClockSample is by how much the clock of another router was ahead of this router's, less the transit of a message.
type ClockSample struct {
	At    time.Time
	Ahead time.Duration
}

// DurationRange is a range that holds a duration.
type DurationRange struct {
	Min time.Duration
	Max time.Duration
}

// middle returns the middle of the range, and how far its ends are from that.
func (r DurationRange) middle() (middle, skew time.Duration) {
	return r.Min + (r.Max-r.Min)/2, (r.Max - r.Min + 1) / 2
}

// cover returns the range that covers all of some ranges, of which there must be one.
func cover(ranges []DurationRange) DurationRange {
	all := ranges[0]
	for _, r := range ranges[1:] {
		all = DurationRange{Min: min(all.Min, r.Min), Max: max(all.Max, r.Max)}
	}
	return all
}

// agreeing returns those of some ranges that lie within mixSkew of one of them: of that with the most such ranges.
func agreeing(ranges []DurationRange) []DurationRange {
	var best []DurationRange
	for _, r := range ranges {
		middle, _ := r.middle()
		var near []DurationRange
		for _, other := range ranges {
			if other.Min >= middle-mixSkew && other.Max <= middle+mixSkew {
				near = append(near, other)
			}
		}
		if len(near) > len(best) {
			best = near
		}
	}
	return best
}

// addClockSample adds a sample of the clock of the router. The last ones are kept, as a message may be late.
func (p *Peer) addClockSample(sample ClockSample) {
	const n = 2
	p.ClockSamples = append(p.ClockSamples[max(0, len(p.ClockSamples)-n+1):], sample)
}

// observeTransit applies the difference of the clock that a status shows. Statuses that were held up arrive together, and
// differ by as much as they were sent apart; two with the same difference were under way for the same time.
func (p *Peer) observeTransit(ahead time.Duration, now time.Time) {
	isFirst, isSteady := len(p.ClockSamples) == 0, false
	if !isFirst {
		last := p.ClockSamples[len(p.ClockSamples)-1]
		sentApart := now.Add(ahead).Sub(last.At.Add(last.Ahead))
		isSteady = (ahead-last.Ahead).Abs() <= transitJitter && sentApart > 2*transitJitter
	}
	if isFirst || isSteady || ahead > p.SettledAhead {
		p.SettledAhead = ahead
	}
	p.LateBy = p.SettledAhead - ahead
}

// currentClock returns by how much the clock of the router is ahead, as measured lately: several values if it has
// been set or messages were late.
func (p *Peer) currentClock(now time.Time) (ahead DurationRange, isKnown bool) {
	if len(p.ClockSamples) == 0 || now.Sub(p.ClockSamples[len(p.ClockSamples)-1].At) > clockSampleAge {
		return DurationRange{}, false
	}
	samples := make([]DurationRange, 0, len(p.ClockSamples))
	for _, sample := range p.ClockSamples {
		samples = append(samples, DurationRange{Min: sample.Ahead, Max: sample.Ahead})
	}
	return cover(samples), true
}

// bestClock returns the sample of the message that was under way for the shortest time.
func (p *Peer) bestClock() (time.Duration, bool) {
	if len(p.ClockSamples) == 0 {
		return 0, false
	}
	return slices.MaxFunc(p.ClockSamples, func(a, b ClockSample) int { return cmp.Compare(a.Ahead, b.Ahead) }).Ahead, true
}

// aheadOfRecord returns by how much this router's clock is ahead of that of a record, and whether that is settled: most of the
// clocks that the record names agree. A clock that has been set since disagrees. If nothing is known, the record may be of any time.
func (s *State) aheadOfRecord(clock *RecordClock, now time.Time) (ahead DurationRange, isSettled bool) {
	var estimates []DurationRange
	if own, isKnown := clock.aheadOfWriter(s.Settings.RouterName); isKnown {
		estimates = append(estimates, DurationRange{Min: own, Max: own})
	}
	for _, name := range sortedKeys(s.Peers.ByName) {
		peer := s.Peers.ByName[name]
		current, isCurrent := peer.currentClock(now)
		recorded, isRecorded := clock.aheadOfWriter(name)
		if isCurrent && isRecorded {
			estimates = append(estimates, DurationRange{Min: recorded - current.Max, Max: recorded - current.Min})
		}
	}
	most := agreeing(estimates)
	switch {
	case len(estimates) == 0: // Builds before 41c460b name no clocks.
		return DurationRange{Min: -maxStreamAge, Max: maxStreamAge}, false
	case 2*len(most) > clock.size() && (len(most) == len(estimates) || !s.mayHaveBeenDown()):
		return cover(most), true
	}
	return cover(estimates), false
}

// mayHaveBeenDown reports whether all routers may have been down when this one started, and most of their clocks have been set
// meanwhile, so that the others are right.
func (s *State) mayHaveBeenDown() bool {
	return s.StreamVersions.LoadedAt.IsZero() && !s.hasEarlierPeer()
}

// awaitsClocks reports whether this router has just started and may yet hear from routers whose clocks a record names.
func (s *State) awaitsClocks(clock *RecordClock, now time.Time) bool {
	if clock.Writer == "" {
		return false
	}
	others := clock.size()
	if _, namesOwn := clock.aheadOfWriter(s.Settings.RouterName); namesOwn {
		others--
	}
	return others > 0 && now.Sub(s.StartedAt) < maxClockWait
}

// recordClock returns what this router knows of the clocks of others, for a record by its own. Others that have just started
// with it may not have been heard from.
func (s *State) recordClock(now time.Time) RecordClock {
	clock := RecordClock{Writer: s.Settings.RouterName, Ahead: map[string]time.Duration{}}
	if now.Sub(s.StartedAt) < peerTimeout {
		maps.Copy(clock.Ahead, s.StreamVersions.RecordedClocks)
	}
	for name, peer := range s.Peers.ByName {
		if ahead, isKnown := peer.bestClock(); isKnown && now.Sub(peer.LastHeardAt) <= maxStreamAge {
			clock.Ahead[name] = ahead
		}
	}
	delete(clock.Ahead, s.Settings.RouterName)
	return clock
}

// rememberClocks keeps what a record says of clocks, for routers that this one has not heard from when it writes it.
func (v *StreamVersions) rememberClocks(clock *RecordClock, ahead DurationRange) {
	own, skew := ahead.middle()
	if clock.Writer == "" || skew > mixSkew {
		return
	}
	v.RecordedClocks = map[string]time.Duration{clock.Writer: -own}
	for name, other := range clock.Ahead {
		v.RecordedClocks[name] = other - own
	}
}

// checkRecordedClock has the record written again if the clock of a router differs from what this router has written,
// as it does for all others once the own clock has stepped.
func (s *State) checkRecordedClock(name string, peer *Peer, now time.Time) {
	v := &s.StreamVersions
	if v.WrittenClock.Writer == "" {
		return
	}
	ahead, _ := peer.bestClock()
	written, isWritten := v.WrittenClock.Ahead[name]
	if !isWritten || (ahead-written).Abs() > mixSkew {
		v.MixWrite.markDue(later(now.Add(clockRecordDelay), v.ClockWrittenAt.Add(minClockWriteGap)))
	}
}

// byOwnClock returns a history of a record by the clock of this router, which is ahead of that of the record. What the record
// holds has happened by now. A version that has been the only one was in force for as long as streams last.
func (h *VersionHistory) byOwnClock(ahead DurationRange, now time.Time) VersionHistory {
	if h.isSteady() {
		return VersionHistory{Mixes: []VersionMix{{At: now.Add(-maxStreamAge), Weights: h.Weights()}}}
	}
	middle, skew := ahead.middle()
	own := VersionHistory{}
	if !h.KnownSince.IsZero() {
		own.KnownSince = earlier(h.KnownSince.Add(middle+skew), now)
	}
	for _, mix := range h.Mixes {
		mix.At, mix.Skew, mix.By = mix.At.Add(middle), mix.Skew+skew, now
		if mix.At.After(now) {
			mix.At, mix.Skew = now, max(mix.Skew, mix.At.Sub(now))
		}
		own.Mixes = append(own.Mixes, mix)
	}
	for _, gap := range h.Gaps {
		own.Gaps = append(own.Gaps, MixGap{From: earlier(gap.From.Add(middle-skew), now), To: earlier(gap.To.Add(middle+skew), now)})
	}
	return own
}
