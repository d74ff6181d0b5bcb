package dtdispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Timing of the calls that read and write the record of the versions of streams.
const (
	versionRecordDelay  = 100 * time.Millisecond // A burst of changes within this time takes one write.
	versionStartupDelay = 3 * time.Second        // Of the first read, by when the routers know which of them writes.
	exceptionDelay      = 30 * time.Millisecond  // Of writing exceptions, for the same reason as versionRecordDelay.
	minExceptionGap     = 100 * time.Millisecond // Between two writes of a router's exceptions.
	exceptionGapPerPeer = 2 * time.Millisecond   // Added to it, as the routers of a large fleet write at the same time.
	maxRecordRetryDelay = 2 * time.Second
)

// RecordWrite is the state of writing a part of the record.
type RecordWrite struct {
	Polling
	DueAt time.Time // Zero if the store has all of it.
}

// markDue has the part written at the given time or earlier.
func (w *RecordWrite) markDue(at time.Time) {
	if w.DueAt.IsZero() || at.Before(w.DueAt) {
		w.DueAt = at
	}
}

// rewriteVersionRecord has this router's parts of the record written again, which the store may have lost. It also writes
// the exceptions of others, who may not live any more; in a large fleet one router of each failure domain does.
func (s *State) rewriteVersionRecord(now time.Time) {
	v := &s.StreamVersions
	v.RecordedMixes = nil
	v.MixWrite.markDue(now.Add(versionRecordDelay))
	if now.Sub(s.unrecordedUntil()) <= maxStreamAge {
		v.UnrecordedWrite.markDue(now.Add(versionRecordDelay))
	}
	if !s.Membership.IsLarge() || s.isRecorder(now) {
		v.adoptExceptions()
	}
	if v.ExceptionSeq > 0 {
		v.WrittenSeq = 0
		v.ExceptionWrite.markDue(now.Add(exceptionDelay))
	}
}

// adoptExceptions makes the exceptions of other routers own ones.
func (v *StreamVersions) adoptExceptions() {
	areTold := v.ToldSeq == v.ExceptionSeq
	for _, id := range sortedKeys(v.Exceptions) {
		if exception := v.Exceptions[id]; !exception.IsOwn {
			v.ExceptionSeq++
			exception.Seq, exception.IsOwn = v.ExceptionSeq, true
			v.Exceptions[id] = exception
		}
	}
	if areTold {
		v.ToldSeq = v.ExceptionSeq
	}
}

// nextAt returns when the part is to be written, or the zero time.
func (w *RecordWrite) nextAt() time.Time {
	if w.DueAt.IsZero() || w.InProgress {
		return time.Time{}
	}
	return later(later(w.DueAt, w.NextAt), w.RetryTime(maxRecordRetryDelay))
}

// RecordPart is a part of the record that is written by itself.
type RecordPart uint8

// Parts of the record.
const (
	PartMixes      RecordPart = iota // The histories and timeouts, which one router writes for all.
	PartExceptions                   // The exceptions of one router.
	PartUnrecorded                   // Which streams may be unrecorded.
)

// VersionRecord is the record of StreamVersions in the store.
type VersionRecord struct {
	Histories  map[string]VersionHistory // By service.
	Timeouts   map[string]TimeoutRange   // By name of the route.
	Exceptions map[string]StreamException
	Clock      RecordClock // Of the times in Histories.
	Unrecorded UnrecordedStreams
}

func (s *State) readVersionRecord(now time.Time) {
	if s.StreamVersions.Reading.InProgress {
		return
	}
	s.StreamVersions.Reading.Begin(now)
	s.emit(ReadVersionRecord{})
}

// handleVersionRecordRead applies the record and handles the requests that have waited for it.
func (s *State) handleVersionRecordRead(ev VersionRecordRead, now time.Time) {
	v := &s.StreamVersions
	v.Reading.Succeed(v.Reading.StartedAt.Add(minRecordReadGap))
	v.mergeTimeouts(ev.Record.Timeouts)
	v.addRecordedExceptions(ev.Record.Exceptions, now)
	s.applyUnrecorded(ev.Record.Unrecorded, now)
	s.applyHistories(&ev, now)
	s.recordAwaiting(now)
	s.releaseHeldResumes(now)
	s.writeVersionRecordIfDue(now)
}

// addRecordedExceptions adds the exceptions of a record. Their age counts from when this router has first heard of them.
func (v *StreamVersions) addRecordedExceptions(recorded map[string]StreamException, now time.Time) {
	for id, exception := range recorded {
		known, isKnown := v.Exceptions[id]
		if known.IsOwn {
			continue
		}
		exception.At = now
		if isKnown {
			exception.At = known.At
		}
		v.addException(id, exception, now)
	}
}

// applyHistories adds the histories of a record to those of this router if it is the first, and compares them
// otherwise.
func (s *State) applyHistories(ev *VersionRecordRead, now time.Time) {
	v := &s.StreamVersions
	isFirst := v.LoadedAt.IsZero()
	ahead, isSettled := s.aheadOfRecord(&ev.Record.Clock, now)
	v.observeRecordedMixes(ev.Record.Histories)
	if isFirst && !isSettled && ev.Record.hasTimes() && s.awaitsClocks(&ev.Record.Clock, now) {
		return
	}
	v.LoadedAt = v.Reading.StartedAt
	if ev.IsMalformed {
		return
	}
	histories := map[string]VersionHistory{}
	for service, history := range ev.Record.Histories {
		histories[service] = history.byOwnClock(ahead, now)
	}
	if !isFirst {
		v.compareHistories(histories)
		return
	}
	if len(histories) == 0 {
		s.observeNoRecord(now)
	}
	s.logRecordedMixes(histories, now)
	if ev.Record.hasTimes() {
		v.rememberClocks(&ev.Record.Clock, ahead)
	}
	v.mergeHistories(histories, now)
}

// logRecordedMixes logs how the record compares with what is listed, at the moment from which this router goes by it.
func (s *State) logRecordedMixes(recorded map[string]VersionHistory, now time.Time) {
	for _, service := range sortedKeys(s.StreamVersions.ByService) {
		listed, old := s.StreamVersions.ByService[service], recorded[service]
		record := LogRecord{Event: "version_record", Subject: service, Outcome: "empty"}
		if n := len(old.Mixes); n > 0 {
			record.Outcome, record.Detail, record.Elapsed = "behind", formatWeights(old.Weights()), now.Sub(old.Mixes[n-1].At)
			if maps.Equal(old.Weights(), listed.Weights()) {
				record.Outcome = "current"
			}
		}
		s.emit(record)
	}
}

// mergeHistories adds the histories of the record. A service without one has had no change.
func (v *StreamVersions) mergeHistories(recorded map[string]VersionHistory, now time.Time) {
	v.MixWrite.DueAt = time.Time{}
	for service, history := range v.ByService {
		old := recorded[service]
		history.fillGaps(&old, v.LoadedAt)
		if isNew := history.Merge(&old, now); isNew && len(history.Mixes) > 0 {
			v.MixWrite.markDue(now)
		}
	}
	for service, old := range recorded {
		if v.ByService[service] == nil { // None of its servers is listed yet.
			*v.history(service, now) = old
		}
	}
}

// lastGapEnd returns the end of the last gap, or the zero time.
func (v *StreamVersions) lastGapEnd() time.Time {
	end := time.Time{}
	for _, history := range v.ByService {
		for _, gap := range history.Gaps {
			end = later(end, gap.To)
		}
	}
	return end
}

// compareHistories fills the gaps of the histories by the record, and notes where the record is ahead.
func (v *StreamVersions) compareHistories(recorded map[string]VersionHistory) {
	v.Ahead = map[string]time.Time{}
	for service, history := range v.ByService {
		old := recorded[service]
		history.fillGaps(&old, v.LoadedAt)
		if at := history.aheadSince(&old); !at.IsZero() {
			v.Ahead[service] = at
		}
	}
}

// mergeTimeouts adds the ranges of a record.
func (v *StreamVersions) mergeTimeouts(recorded map[string]TimeoutRange) {
	if v.Timeouts == nil {
		v.Timeouts = map[string]TimeoutRange{}
	}
	for route, timeouts := range recorded {
		if own, isKnown := v.Timeouts[route]; isKnown {
			timeouts = TimeoutRange{Min: min(own.Min, timeouts.Min), Max: max(own.Max, timeouts.Max)}
		}
		v.Timeouts[route] = timeouts
	}
}

// handleVersionRecordFailed schedules the next call and handles the requests that have waited for a read.
func (s *State) handleVersionRecordFailed(ev VersionRecordFailed, now time.Time) {
	v := &s.StreamVersions
	s.markStoreDown(StoreFailed{Call: "version_record", Detail: ev.Detail})
	if ev.IsWrite {
		write := v.write(ev.Part)
		write.Fail(now)
		write.markDue(now)
		s.askToRecord()
		s.forwardHeldStreams(now)
		return
	}
	v.Reading.Fail(now)
	s.releaseHeldResumes(now)
}

// write returns the state of writing a part of the record.
func (v *StreamVersions) write(part RecordPart) *RecordWrite {
	switch part {
	case PartExceptions:
		return &v.ExceptionWrite
	case PartUnrecorded:
		return &v.UnrecordedWrite
	default:
		return &v.MixWrite
	}
}

// nextVersionRecordAt returns when a part of the record is to be written next, or the zero time.
func (s *State) nextVersionRecordAt(now time.Time) time.Time {
	next := s.StreamVersions.ExceptionWrite.nextAt()
	for _, at := range [...]time.Time{s.nextMixWriteAt(now), s.nextUnrecordedWriteAt()} {
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// nextMixWriteAt returns when this router is to write the mixes, or the zero time.
func (s *State) nextMixWriteAt(now time.Time) time.Time {
	v := &s.StreamVersions
	at := v.MixWrite.nextAt()
	if at.IsZero() || v.Reading.InProgress || !s.writesMixes(now) {
		return time.Time{}
	}
	at = later(at, v.Reading.RetryTime(maxRecordRetryDelay))
	if v.mustReadFirst() {
		return later(at, v.Reading.NextAt)
	}
	return at
}

// nextUnrecordedWriteAt returns when this router is to write which streams may be unrecorded, or the zero time. It reads first what
// others have written.
func (s *State) nextUnrecordedWriteAt() time.Time {
	v := &s.StreamVersions
	at := v.UnrecordedWrite.nextAt()
	if at.IsZero() || v.Reading.InProgress {
		return time.Time{}
	}
	if v.LoadedAt.IsZero() {
		return later(at, later(v.Reading.NextAt, v.Reading.RetryTime(maxRecordRetryDelay)))
	}
	return at
}

// mustReadFirst reports whether the record is to be read before the mixes are written: before the first write, and
// after each gap, so that nothing that others have recorded is lost.
func (v *StreamVersions) mustReadFirst() bool {
	return v.LoadedAt.IsZero() || v.LoadedAt.Before(v.lastGapEnd())
}

// writesMixes reports whether this router is the one that writes the mixes: the recorder of the first failure
// domain that has one.
func (s *State) writesMixes(now time.Time) bool {
	if !s.isRecorder(now) {
		return false
	}
	for _, domain := range s.otherDomains() {
		if domain < s.Settings.Domain && s.recorder(domain, collectorTimeout, now) != "" {
			return false
		}
	}
	return true
}

// writeVersionRecordIfDue writes the parts of the record that are due, or reads it first.
func (s *State) writeVersionRecordIfDue(now time.Time) {
	v := &s.StreamVersions
	if at := v.ExceptionWrite.nextAt(); !at.IsZero() && !now.Before(at) {
		v.WritingSeq = v.ExceptionSeq
		s.tellRecorded()
		s.writeVersionRecord(PartExceptions, VersionRecord{Exceptions: v.ownExceptions(now)}, now)
	}
	if at := s.nextUnrecordedWriteAt(); !at.IsZero() && !now.Before(at) {
		if v.LoadedAt.IsZero() {
			s.readVersionRecord(now)
			return
		}
		s.writeVersionRecord(PartUnrecorded, s.unrecordedRecord(now), now)
	}
	at := s.nextMixWriteAt(now)
	if at.IsZero() || now.Before(at) {
		return
	}
	if v.mustReadFirst() {
		s.readVersionRecord(now)
		return
	}
	record := s.mixRecord(now)
	if !v.hasNews(&record) {
		v.MixWrite.DueAt = time.Time{}
		return
	}
	v.WrittenClock, v.ClockWrittenAt = record.Clock, now
	v.WritingMixes = map[string]map[string]int{}
	for service, history := range record.Histories {
		v.WritingMixes[service] = history.Weights()
	}
	s.writeVersionRecord(PartMixes, record, now)
}

func (s *State) writeVersionRecord(part RecordPart, record VersionRecord, now time.Time) {
	write := s.StreamVersions.write(part)
	write.Begin(now)
	write.DueAt = time.Time{}
	s.emit(WriteVersionRecord{Part: part, Record: record})
}

// mixRecord returns a copy of the histories of services, and of the timeouts.
func (s *State) mixRecord(now time.Time) VersionRecord {
	v := &s.StreamVersions
	record := VersionRecord{Histories: map[string]VersionHistory{}, Timeouts: maps.Clone(v.Timeouts), Clock: s.recordClock(now)}
	for service, history := range v.ByService {
		if len(history.Mixes) > 0 {
			record.Histories[service] = VersionHistory{KnownSince: history.KnownSince, Mixes: history.narrowed(), Gaps: slices.Clone(history.Gaps)}
		}
	}
	return record
}

// handleVersionRecordWritten records the end of a write.
func (s *State) handleVersionRecordWritten(ev VersionRecordWritten, now time.Time) {
	next := now
	if ev.Part == PartExceptions {
		next = now.Add(minExceptionGap + time.Duration(s.RouterCount())*exceptionGapPerPeer)
	}
	v := &s.StreamVersions
	v.write(ev.Part).Succeed(next)
	switch {
	case ev.Part == PartExceptions:
		v.WrittenSeq = v.WritingSeq
		s.emit(LogRecord{Event: "streams_stored", Detail: strconv.FormatUint(v.WrittenSeq, 10)})
		s.tellStored()
		s.forwardHeldStreams(now)
	case ev.Part == PartMixes && v.observeMixNews(v.WritingMixes):
		s.tellMixes()
	}
	s.writeVersionRecordIfDue(now)
}
