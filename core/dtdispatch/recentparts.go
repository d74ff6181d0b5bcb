package dtdispatch

import (
	"slices"
	"time"
)

// maxRecentParts limits the memory of RecentParts; further parts are not remembered.
const maxRecentParts = 1 << 15

// RecentParts holds when prompt parts last had a complete response, for soundPeriod to twice that.
type RecentParts struct {
	BeganAt  time.Time // Of Current.
	Current  map[uint64]time.Time
	Previous map[uint64]time.Time
}

func (r *RecentParts) add(part uint64, now time.Time) {
	if now.Sub(r.BeganAt) >= soundPeriod || r.Current == nil {
		r.Previous, r.Current, r.BeganAt = r.Current, map[uint64]time.Time{}, now
	}
	if _, isKnown := r.Current[part]; isKnown || len(r.Current) < maxRecentParts {
		r.Current[part] = now
	}
}

// without returns the parts that had no complete response within soundPeriod before the given time.
func (r *RecentParts) without(parts []uint64, at time.Time) []uint64 {
	return slices.DeleteFunc(parts, func(part uint64) bool {
		last := later(r.Current[part], r.Previous[part])
		return !last.IsZero() && at.Sub(last) <= soundPeriod
	})
}
