package dtdispatch_test

import (
	"slices"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// clockOffsets are by how much the clocks of routers are ahead of the steady time that their reducers share. They
// apply where a time leaves a router or reaches another one.
type clockOffsets map[string]time.Duration

// toWall returns a record as a router writes it, by its clock.
func (c clockOffsets) toWall(name string, record *dtdispatch.VersionRecord) dtdispatch.VersionRecord {
	return shiftRecord(record, c[name])
}

// fromWall returns a record as a router reads it.
func (c clockOffsets) fromWall(name string, record *dtdispatch.VersionRecord) dtdispatch.VersionRecord {
	return shiftRecord(record, -c[name])
}

// sent returns a message of a router as another one receives it.
func (c clockOffsets) sent(m dtdispatch.PeerMessage, from, to string) dtdispatch.PeerMessage {
	status, isStatus := m.(*dtdispatch.PeerStatus)
	if !isStatus || status.SentAt.IsZero() {
		return m
	}
	received := *status
	received.SentAt = status.SentAt.Add(c[from] - c[to])
	return &received
}

func shiftRecord(record *dtdispatch.VersionRecord, by time.Duration) dtdispatch.VersionRecord {
	shifted := *record
	shifted.Histories = map[string]dtdispatch.VersionHistory{}
	for service, history := range record.Histories {
		shifted.Histories[service] = shiftHistory(history, by)
	}
	shifted.Exceptions = map[string]dtdispatch.StreamException{}
	for id, exception := range record.Exceptions {
		exception.At = exception.At.Add(by)
		shifted.Exceptions[id] = exception
	}
	for _, at := range []*time.Time{&shifted.Unrecorded.Until, &shifted.Unrecorded.UnknownBefore} {
		if !at.IsZero() {
			*at = at.Add(by)
		}
	}
	return shifted
}

func shiftHistory(history dtdispatch.VersionHistory, by time.Duration) dtdispatch.VersionHistory {
	if !history.KnownSince.IsZero() {
		history.KnownSince = history.KnownSince.Add(by)
	}
	history.Mixes, history.Gaps = slices.Clone(history.Mixes), slices.Clone(history.Gaps)
	for i := range history.Mixes {
		history.Mixes[i].At = history.Mixes[i].At.Add(by)
	}
	for i := range history.Gaps {
		history.Gaps[i].From, history.Gaps[i].To = history.Gaps[i].From.Add(by), history.Gaps[i].To.Add(by)
	}
	return history
}
