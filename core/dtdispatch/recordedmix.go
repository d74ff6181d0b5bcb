package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// A router that has just started and lists the last recorded mix takes it for the one in force since it was recorded. So a
// stream that begins while the record lacks the present mix is recorded by its ID if it has another version than the record gives.

// recordCheckInterval is the time after which a router that has not heard that the present mix is recorded reads the record.
const recordCheckInterval = time.Second

// isInRecord reports whether a router that goes by the record finds this version of a new stream, or is uncertain. A router that knows
// of no recorded mix, or of one that it has not applied, has not followed a change that is unrecorded, unless it has seen one itself.
func (v *StreamVersions) isInRecord(history *VersionHistory, r *Request, version string) bool {
	weights, isKnown := v.RecordedMixes[r.Service]
	if !isKnown {
		return len(history.Mixes) == 1
	}
	return pickVersion(r.StreamID, weights) == version || len(history.Mixes) > 1 && !history.hasHad(weights)
}

// isOfOnlyVersion reports whether a new stream begins at the version of all servers, and there has been no other as far as is known.
func (v *StreamVersions) isOfOnlyVersion(history *VersionHistory, r *Request) bool {
	weights := history.Weights()
	return len(history.Mixes) == 1 && len(weights) == 1 && v.isInRecord(history, r, pickVersion(r.StreamID, weights))
}

// hasHad reports whether a mix of the history has these weights.
func (h *VersionHistory) hasHad(weights map[string]int) bool {
	return slices.ContainsFunc(h.Mixes, func(mix VersionMix) bool { return maps.Equal(mix.Weights, weights) })
}

// awaitRecord has a new stream wait until this router, which has just started, has read which mixes are recorded. It returns false if
// the record can't be read.
func (s *State) awaitRecord(r *Request, now time.Time) bool {
	reading := &s.StreamVersions.Reading
	r.AwaitsRecord = true
	if !now.Before(reading.RetryTime(maxRecordRetryDelay)) {
		s.readVersionRecord(now)
	}
	return reading.Failures == 0
}

// recordAwaiting records the streams that have waited for the record, and forwards those that it gives their version.
func (s *State) recordAwaiting(now time.Time) {
	for _, number := range sortedKeys(s.Requests) {
		if r := s.Requests[number]; r.AwaitsRecord {
			r.AwaitsRecord = false
			if history := s.StreamVersions.history(r.Service, now); !s.StreamVersions.isOfOnlyVersion(history, r) {
				s.recordVersion(r, history, r.begunVersion(), now)
			}
		}
	}
	s.forwardHeldStreams(now)
}

// observeRecordedMixes notes what a read of the record has shown.
func (v *StreamVersions) observeRecordedMixes(recorded map[string]VersionHistory) {
	v.RecordedMixes = map[string]map[string]int{}
	for service, history := range recorded {
		v.RecordedMixes[service] = history.Weights()
	}
}

// observeMixNews notes which mixes another router has recorded, and reports whether that is new.
func (v *StreamVersions) observeMixNews(mixes map[string]map[string]int) bool {
	isNew := false
	for service, weights := range mixes {
		if maps.Equal(v.RecordedMixes[service], weights) {
			continue
		}
		isNew = true
		if v.RecordedMixes == nil {
			v.RecordedMixes = map[string]map[string]int{}
		}
		v.RecordedMixes[service] = weights
	}
	return isNew
}

// tellMixes tells the other routers which mixes the store has. In a large fleet one router of each failure domain passes that on.
func (s *State) tellMixes() {
	s.emit(SendToPeers{Message: &VersionNews{Mixes: maps.Clone(s.StreamVersions.RecordedMixes)}})
}

// checkRecordIfLate reads the record if the news that it has the present mix should have come long ago.
func (s *State) checkRecordIfLate(service string, history *VersionHistory, now time.Time) {
	if maps.Equal(s.StreamVersions.RecordedMixes[service], history.Weights()) {
		return
	}
	reading := &s.StreamVersions.Reading
	isLate := now.Sub(history.Mixes[len(history.Mixes)-1].At) >= recordedSkew
	if isLate && now.Sub(reading.StartedAt) >= recordCheckInterval && !now.Before(reading.RetryTime(maxRecordRetryDelay)) {
		s.readVersionRecord(now)
	}
}

// isSteady reports whether the history is one version as long as is known, so that it says nothing of any time. Its record is not
// written again when clocks are set.
func (h *VersionHistory) isSteady() bool {
	return len(h.Mixes) == 1 && len(h.Weights()) == 1 && len(h.Gaps) == 0 && h.KnownSince.IsZero()
}

// hasTimes reports whether the record says when versions have changed.
func (r *VersionRecord) hasTimes() bool {
	for _, history := range r.Histories {
		if !history.isSteady() {
			return true
		}
	}
	return false
}

// hasNews reports whether the store is to have a record: two versions have served, or it lacks the only one.
func (v *StreamVersions) hasNews(record *VersionRecord) bool {
	for service, history := range record.Histories {
		if !history.isSteady() || !maps.Equal(history.Weights(), v.RecordedMixes[service]) {
			return true
		}
	}
	return false
}
