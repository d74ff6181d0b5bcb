package dtdispatch

import "time"

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
	repeat := now.Sub(cursor.RepeatedAt) >= crashRepeatInterval
	if repeat {
		cursor.RepeatedAt = now
	}
	news := CrashNews{Reports: t.reportsAfter(cursor.Seq, repeat, ownOnly, now), SoundParts: t.soundPartsAfter(cursor.Seq, ownOnly)}
	cursor.Seq = t.seq
	return news
}

// reportsAfter returns the recent reports after seq or, if repeat is set, all recent ones and those
// that support a block.
func (t *CrashTracker) reportsAfter(seq uint64, repeat, ownOnly bool, now time.Time) []CrashReport {
	var reports []CrashReport
	for i := len(t.Reports) - 1; i >= 0 && len(reports) < maxReportsPerMessage; i-- {
		crash := t.Reports[i]
		if !repeat && crash.Seq <= seq {
			break
		}
		isRecent := now.Sub(crash.LearnedAt) < crashBroadcastPeriod && (crash.IsOwn || !ownOnly)
		if isRecent || repeat && t.supportsBlock(crash, now) {
			reports = append(reports, crash.CrashReport)
		}
	}
	return reports
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
