package dtdispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxStreamAge is how long the versions of streams are remembered.
	maxStreamAge = 10 * time.Minute
	// maxMixes is the number of mixes of a service that are remembered.
	maxMixes = 256
	// mixSkew is by how much routers may differ in the time at which they apply a mix and in the time that
	// they work out for a stream, by serverListBatchInterval, their clocks and the transit of messages.
	mixSkew = serverListBatchInterval + 50*time.Millisecond
)

// VersionMix is how new streams of a service are divided among the software versions of its servers.
type VersionMix struct {
	At      time.Time      // From when on.
	Skew    time.Duration  // By how much At may be wrong, as it is by another router's clock.
	By      time.Time      // When this router has read it in the record; zero if it has applied the mix itself.
	Weights map[string]int // By version, without a common divisor.
}

// earliest returns the earliest time at which the mix may have come into force.
func (m *VersionMix) earliest() time.Time { return m.At.Add(-m.Skew) }

// latest returns the latest such time.
func (m *VersionMix) latest() time.Time {
	if m.By.IsZero() {
		return m.At.Add(m.Skew)
	}
	return earlier(m.At.Add(m.Skew), m.By)
}

// newWeights returns the weights of a mix for a number of servers by version.
func newWeights(servers map[string]int) map[string]int {
	divisor := 0
	for _, n := range servers {
		divisor = greatestDivisor(n, divisor)
	}
	weights := make(map[string]int, len(servers))
	for version, n := range servers {
		weights[version] = n / divisor
	}
	return weights
}

func greatestDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// pickVersion returns the version at which a stream begins, by weighted rendezvous hashing: a change of the
// weights moves only as many streams as it has to.
func pickVersion(streamID string, weights map[string]int) string {
	best, bestCost := "", math.Inf(1)
	hash := HashString(streamID)
	for _, version := range sortedKeys(weights) {
		const bits = 53 // Of the mantissa of a float64.
		fraction := (float64(Mix(hash, HashString(version))>>(64-bits)) + 0.5) / (1 << bits)
		if cost := -math.Log(fraction) / float64(weights[version]); cost < bestCost {
			best, bestCost = version, cost
		}
	}
	return best
}

// VersionHistory is how the mixes of a service have changed. All routers derive the same mixes from the
// list of servers, so that any of them can tell at which version a stream began.
type VersionHistory struct {
	KnownSince    time.Time    // The first mix is known to have been in force from then on; zero for all time.
	FollowedSince time.Time    // This router has applied the mixes from then on itself; for the log.
	Mixes         []VersionMix // In the order of their times.
	Gaps          []MixGap     // In which further mixes may have been in force.
}

// MixGap is a time in which a router has not followed the list of servers, before the mix as of its end.
type MixGap struct {
	From time.Time
	To   time.Time
}

// Weights returns the weights of the last mix, or nil.
func (h *VersionHistory) Weights() map[string]int {
	if len(h.Mixes) == 0 {
		return nil
	}
	return h.Mixes[len(h.Mixes)-1].Weights
}

// Change records that weights are in force as of now. If the router has not followed the list since a time, which
// is zero otherwise, other routers may have applied these and other weights from then on.
func (h *VersionHistory) Change(weights map[string]int, notFollowedSince, now time.Time) {
	if len(h.Mixes) > 0 && !notFollowedSince.IsZero() {
		h.addGap(notFollowedSince, now)
	}
	if h.FollowedSince.IsZero() {
		h.FollowedSince = now
	}
	h.add(VersionMix{At: now, Weights: weights})
	h.trim(now)
}

// addGap records that the router has not followed the list between two times, and reports whether that is new.
func (h *VersionHistory) addGap(from, to time.Time) bool {
	if n := len(h.Gaps); n > 0 && h.Gaps[n-1].From.Equal(from) {
		h.Gaps[n-1].To = later(h.Gaps[n-1].To, to)
		return false
	}
	h.Gaps = append(h.Gaps, MixGap{From: from, To: to})
	h.trim(to)
	return true
}

// fillGaps adds the mixes of the gaps from a history that another router has recorded, which knows them if it has
// the mix as of their end, or if neither has changed. What has begun under a mix that is not recorded is listed by its ID, as is what
// begins within recordedSkew of a change: a read that began earlier than that before the end of a gap says nothing of the rest of it.
func (h *VersionHistory) fillGaps(recorded *VersionHistory, readAt time.Time) {
	h.Gaps = slices.DeleteFunc(h.Gaps, func(gap MixGap) bool {
		if gap.To.After(readAt.Add(recordedSkew)) || recorded.KnownSince.After(gap.From) || recorded.hasGapBetween(gap.From, gap.To) {
			return false
		}
		mixes, isWhole := recorded.mixesOf(gap, h.WeightsAt(gap.To))
		if !isWhole && !h.isUnchanged(recorded, gap) {
			return false
		}
		for _, mix := range mixes {
			h.add(mix)
		}
		slices.SortStableFunc(h.Mixes, func(a, b VersionMix) int { return a.At.Compare(b.At) })
		return true
	})
}

// mixesOf returns the mixes of a gap, and whether the last of them is the one as of its end.
func (h *VersionHistory) mixesOf(gap MixGap, atEnd map[string]int) (mixes []VersionMix, isWhole bool) {
	for _, mix := range h.Mixes {
		isAtEnd := mix.earliest().After(gap.From) && !mix.latest().After(gap.To.Add(mixSkew)) && maps.Equal(mix.Weights, atEnd)
		isInside := mix.latest().After(gap.From) && mix.earliest().Before(gap.To)
		if isInside {
			mixes = append(mixes, mix)
		}
		mayBeNext := mix.latest().After(gap.To.Add(-mixSkew)) // This router may apply it next.
		isWhole = isAtEnd || isWhole && (!isInside || mayBeNext)
	}
	return mixes, isWhole
}

// isUnchanged reports whether the mix before a gap and after it is the one that is recorded for all of it, or the only one ever if
// nothing has been recorded.
func (h *VersionHistory) isUnchanged(recorded *VersionHistory, gap MixGap) bool {
	hasChanged := func(mix VersionMix) bool { return mix.latest().After(gap.From) && !mix.earliest().After(gap.To) }
	switch {
	case len(h.Mixes) == 0 || slices.ContainsFunc(h.Mixes, hasChanged):
		return false
	case len(recorded.Mixes) == 0:
		return len(h.Mixes) == 1
	case slices.ContainsFunc(recorded.Mixes[1:], hasChanged):
		return false
	}
	return maps.Equal(h.WeightsAt(gap.To), recorded.WeightsAt(gap.To))
}

func (h *VersionHistory) hasGapBetween(from, to time.Time) bool {
	return slices.ContainsFunc(h.Gaps, func(gap MixGap) bool { return !gap.From.After(to) && !gap.To.Before(from) })
}

// hasChangedUnseen reports whether the mix after a gap between two times is another than before it.
func (h *VersionHistory) hasChangedUnseen(from, to time.Time) bool {
	return slices.ContainsFunc(h.Gaps, func(gap MixGap) bool {
		return !gap.From.After(to) && !gap.To.Before(from) && !maps.Equal(h.WeightsAt(gap.From), h.WeightsAt(gap.To))
	})
}

// aheadSince returns the time of the first mix of a recorded history after all of this one, or the zero time.
func (h *VersionHistory) aheadSince(recorded *VersionHistory) time.Time {
	if len(h.Mixes) == 0 || maps.Equal(recorded.Weights(), h.Weights()) {
		return time.Time{}
	}
	last := h.Mixes[len(h.Mixes)-1].At
	for _, mix := range recorded.Mixes {
		if mix.latest().After(last.Add(mixSkew)) {
			return mix.earliest()
		}
	}
	return time.Time{}
}

// indexAt returns the index of the mix that was in force at a time.
func (h *VersionHistory) indexAt(at time.Time) int {
	i := 0
	for i+1 < len(h.Mixes) && !h.Mixes[i+1].At.After(at) {
		i++
	}
	return i
}

// WeightsAt returns the weights that were in force at a time; there must be a mix.
func (h *VersionHistory) WeightsAt(at time.Time) map[string]int {
	return h.Mixes[h.indexAt(at)].Weights
}

func (h *VersionHistory) add(mix VersionMix) { h.Mixes = append(h.Mixes, mix) }

// shift moves all times by d.
func (h *VersionHistory) shift(d time.Duration) {
	if !h.KnownSince.IsZero() {
		h.KnownSince = h.KnownSince.Add(d)
	}
	if !h.FollowedSince.IsZero() {
		h.FollowedSince = h.FollowedSince.Add(d)
	}
	for i := range h.Mixes {
		h.Mixes[i].At = h.Mixes[i].At.Add(d)
		if !h.Mixes[i].By.IsZero() {
			h.Mixes[i].By = h.Mixes[i].By.Add(d)
		}
	}
	for i := range h.Gaps {
		h.Gaps[i] = MixGap{From: h.Gaps[i].From.Add(d), To: h.Gaps[i].To.Add(d)}
	}
}

// trim forgets the mixes that ended over maxStreamAge ago, and the oldest beyond maxMixes.
func (h *VersionHistory) trim(now time.Time) {
	for len(h.Mixes) > 1 && (len(h.Mixes) > maxMixes || now.Sub(h.Mixes[1].At) > maxStreamAge) {
		h.KnownSince = h.Mixes[1].latest()
		h.Mixes = h.Mixes[1:]
	}
	h.Gaps = slices.DeleteFunc(h.Gaps, func(gap MixGap) bool { return now.Sub(gap.To) > maxStreamAge })
}

// Merge adds the history that was recorded before, and reports whether that lacks the present mix. Changes just before
// the first mix of this router may not have been recorded yet.
func (h *VersionHistory) Merge(recorded *VersionHistory, now time.Time) bool {
	current := h.Weights()
	if len(recorded.Mixes) == 0 && (len(h.Mixes) > 1 || len(current) > 1) {
		return true // Of a change that has not been recorded, there may have been others.
	}
	if len(h.Mixes) > 0 && len(recorded.Mixes) > 0 {
		first := h.Mixes[0]
		last := recorded.Mixes[recorded.indexAt(first.At.Add(mixSkew))]
		if !maps.Equal(last.Weights, first.Weights) {
			h.Gaps = append(h.Gaps, MixGap{From: earlier(last.earliest(), first.At), To: first.At})
		}
	}
	isNew := !maps.Equal(recorded.Weights(), current)
	h.Mixes = slices.Concat(recorded.Mixes, h.Mixes)
	slices.SortStableFunc(h.Mixes, func(a, b VersionMix) int { return a.At.Compare(b.At) })
	h.narrow()
	h.Mixes = slices.CompactFunc(h.Mixes, func(a, b VersionMix) bool { return maps.Equal(a.Weights, b.Weights) })
	if !maps.Equal(h.Weights(), current) { // The recording router's clock is ahead.
		h.add(VersionMix{At: now, Weights: current})
	}
	h.KnownSince = recorded.KnownSince
	h.Gaps = slices.Concat(recorded.Gaps, h.Gaps)
	h.trim(now)
	return isNew
}

// narrow bounds the time of a recorded mix by that at which this router has applied the same one.
func (h *VersionHistory) narrow() {
	for i := len(h.Mixes) - 2; i >= 0; i-- {
		mix, next := &h.Mixes[i], &h.Mixes[i+1]
		if !mix.By.IsZero() && maps.Equal(mix.Weights, next.Weights) {
			mix.By = earlier(mix.latest(), next.latest())
		}
	}
}

// narrowed returns the mixes, for a record, which does not say by when a recorded one had been read.
func (h *VersionHistory) narrowed() []VersionMix {
	mixes := slices.Clone(h.Mixes)
	for i := range mixes {
		if mix := &mixes[i]; mix.latest().Before(mix.At.Add(mix.Skew)) {
			earliest := mix.earliest()
			middle, skew := DurationRange{Max: mix.latest().Sub(earliest)}.middle()
			mix.At, mix.Skew = earliest.Add(middle), skew
		}
	}
	return mixes
}

// mayApply reports whether the mix with an index may have been in force between two times.
func (h *VersionHistory) mayApply(i int, from, to time.Time) bool {
	hasBegun := i == 0 || !h.Mixes[i].earliest().After(to)
	hasEnded := i+1 < len(h.Mixes) && !h.Mixes[i+1].latest().After(from)
	return hasBegun && !hasEnded
}

// VersionBetween returns the version of a stream whose time is between from and to, and whether that is
// certain.
func (h *VersionHistory) VersionBetween(streamID string, from, to time.Time) (version string, isCertain bool) {
	if h.hasGapBetween(from, to) {
		return "", false
	}
	return h.versionOfMixes(streamID, from, to)
}

// versionOfMixes is VersionBetween for the mixes that this router knows, whatever else was in force in gaps.
func (h *VersionHistory) versionOfMixes(streamID string, from, to time.Time) (version string, isCertain bool) {
	if len(h.Mixes) == 0 || from.Before(h.KnownSince) {
		return "", false
	}
	found := false
	for i, mix := range h.Mixes {
		if !h.mayApply(i, from, to) {
			continue
		}
		picked := pickVersion(streamID, mix.Weights)
		if found && picked != version {
			return "", false
		}
		version, found = picked, true
	}
	return version, found
}
