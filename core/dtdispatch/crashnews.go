package dtdispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the exchange of crash reports.
const (
	crashBroadcastPeriod    = 5 * time.Second // Time for which a report is repeated.
	crashRepeatInterval     = time.Second     // Interval at which reports are repeated, as messages may be lost.
	maxReportsPerMessage    = 64
	maxSoundPartsPerMessage = 64
)

// CrashNews is what one router tells another about crashes.
type CrashNews struct {
	Reports    []CrashReport `msgpack:"r,omitempty"`
	SoundParts []uint64      `msgpack:"s,omitempty"` // IDs of prompt parts of reports that servers have responded to since.
}

// IsEmpty reports whether there is nothing to tell.
func (n *CrashNews) IsEmpty() bool { return len(n.Reports) == 0 && len(n.SoundParts) == 0 }

// Merge adds the news of another router.
func (t *CrashTracker) Merge(news *CrashNews, now time.Time) {
	for _, report := range news.Reports {
		t.AddReport(report, now)
	}
	for _, part := range news.SoundParts {
		t.markSound(part, false)
	}
}

// News returns what is to be sent to the peers of a cursor and advances it: what has become known
// since the last call and, at intervals, recent reports and those that support a block, which a
// peer may have missed. If ownOnly is set, what other routers have seen is left out unless it
// supports a block.
func (t *CrashTracker) News(cursor *NewsCursor, ownOnly bool, now time.Time) CrashNews {
	if len(t.Reports) == 0 {
		return CrashNews{}
	}
	news := CrashNews{SoundParts: t.soundPartsAfter(cursor.Seq, ownOnly)}
	sentBefore := cursor.Seq
	news.Reports, cursor.Seq = t.reportsAfter(cursor.Seq, ownOnly, now)
	if now.Sub(cursor.RepeatedAt) >= crashRepeatInterval {
		cursor.RepeatedAt = now
		news.Reports = t.appendRepeated(news.Reports, sentBefore, ownOnly, now)
	}
	return news
}

// reportsAfter returns the recent reports after seq, oldest first, and the position up to which
// there are no others.
func (t *CrashTracker) reportsAfter(seq uint64, ownOnly bool, now time.Time) ([]CrashReport, uint64) {
	var reports []CrashReport
	first, _ := slices.BinarySearchFunc(t.Reports, seq+1, func(c *KnownCrash, seq uint64) int { return cmp.Compare(c.Seq, seq) })
	for _, crash := range t.Reports[first:] {
		if len(reports) == maxReportsPerMessage {
			return reports, seq
		}
		if crash.isRecent(ownOnly, now) {
			reports = append(reports, crash.CrashReport)
		}
		seq = crash.Seq
	}
	return reports, t.seq
}

// appendRepeated adds to reports the recent ones up to seq and those that support a block, newest
// first, as far as a message holds them.
func (t *CrashTracker) appendRepeated(reports []CrashReport, seq uint64, ownOnly bool, now time.Time) []CrashReport {
	for i := len(t.Reports) - 1; i >= 0 && len(reports) < maxReportsPerMessage; i-- {
		crash := t.Reports[i]
		if crash.Seq <= seq && crash.isRecent(ownOnly, now) || !crash.isRecent(ownOnly, now) && t.supportsBlock(crash, now) {
			reports = append(reports, crash.CrashReport)
		}
	}
	return reports
}

// isRecent reports whether a crash is still told to peers; if ownOnly is set, only one that this
// router saw.
func (c *KnownCrash) isRecent(ownOnly bool, now time.Time) bool {
	return now.Sub(c.LearnedAt) < crashBroadcastPeriod && (c.IsOwn || !ownOnly)
}

// soundPartsAfter returns the prompt parts that have been found sound after seq.
func (t *CrashTracker) soundPartsAfter(seq uint64, ownOnly bool) []uint64 {
	var parts []uint64
	for _, part := range sortedKeys(t.Sound) {
		if sound := t.Sound[part]; sound.Seq > seq && (sound.IsOwn || !ownOnly) && len(parts) < maxSoundPartsPerMessage {
			parts = append(parts, part)
		}
	}
	return parts
}

// supportsBlock reports whether a report counts against a request or prompt part that is blocked.
func (t *CrashTracker) supportsBlock(crash *KnownCrash, now time.Time) bool {
	if t.requestBlock(crash.Digest).IsActive(now) {
		return true
	}
	for _, part := range crash.Parts {
		if t.partBlock(part, crash.Parts).IsActive(now) {
			return true
		}
	}
	return false
}

// crashNews returns the news for the peers of a cursor, or nil if there is none.
func (s *State) crashNews(cursor *NewsCursor, ownOnly bool, now time.Time) *CrashNews {
	news := s.Crashes.News(cursor, ownOnly, now)
	if news.IsEmpty() {
		return nil
	}
	return &news
}

func (s *State) mergeCrashes(news *CrashNews, now time.Time) {
	if news != nil {
		s.Crashes.Merge(news, now)
	}
}
