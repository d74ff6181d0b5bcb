package dtstate

import (
	"slices"
	"time"
)

// handleServerCrash records a crash for each digest that was in flight at the server.
func (s *State) handleServerCrash(sv *BackendServer, now time.Time) {
	recorded := map[uint64]bool{}
	slots := s.slotsAt(sv.ID)
	for _, slot := range append(slots, sv.Owned.AwaitingVerdict...) {
		slot.ServerCrashed = true
		if slot.Digest != 0 && !recorded[slot.Digest] {
			recorded[slot.Digest] = true
			s.recordCrash(slot, now)
		}
	}
	sv.Owned.CrashedStart = sv.Owned.Start
	s.recordEvent("server_died", string(sv.ID), "", "")
	s.sendVerdicts(sv, true, now)
}

// recordCrash announces that a server crashed while it ran a request.
func (s *State) recordCrash(slot *OwnedSlot, now time.Time) {
	s.announce(Announcement{Crash: &CrashRecord{Digest: slot.Digest, Server: slot.Server, AtMs: unixMs(now)}}, now)
	slot.Crashes = max(slot.Crashes+1, s.crashCount(slot.Digest))
	s.recordEvent("blamed", string(slot.Server), slot.Request, "")
}

// crashCount returns the number of servers that are known to have crashed with a digest in
// flight, up to poisonCrashThreshold.
func (s *State) crashCount(digest uint64) uint8 {
	if s.Gossip.CrashRecords == 0 {
		return 0
	}
	return uint8(min(len(s.Gossip.CrashedServers[digest]), poisonCrashThreshold))
}

// clearCrashes clears a request of its crash records after it was answered completely.
func (s *State) clearCrashes(digest uint64, now time.Time) {
	for _, id := range slices.Clone(s.Gossip.CrashedServers[digest]) {
		s.announce(Announcement{Crash: &CrashRecord{Digest: digest, Server: id, Cleared: true, AtMs: unixMs(now)}}, now)
	}
}

// applyOutcome updates the server's state after an attempt has ended.
func (s *State) applyOutcome(sv *BackendServer, slot *OwnedSlot, outcome Outcome, now time.Time) {
	own := sv.Owned
	switch outcome {
	case OutcomeCompleted:
		s.Owner.group(sv.Group).completedCount++
		if !slot.Slow {
			s.recordSuccess(sv)
		}
	case OutcomeOverloaded:
		s.shrinkCap(sv, now)
	case OutcomeCut:
		if slot.ServerCrashed {
			s.send(slot.Entry, newServerVerdict(slot, true), now)
			return
		}
		own.AwaitingVerdict = append(own.AwaitingVerdict, slot)
		s.Owner.group(sv.Group).RunningByDigest[slot.Digest]++ // Until the server's verdict is known.
		s.probe(sv, true)
		s.setTimer(now, verdictProbeTimeout, timerVerdict, string(sv.ID), 0)
	case OutcomeNotSent:
		s.probe(sv, true)
	case OutcomeRejected, OutcomeCallerGone, OutcomeUnused, OutcomeGone:
	}
}

// newServerVerdict returns the message that tells an entry router whether the server
// crashed.
func newServerVerdict(slot *OwnedSlot, crashed bool) *ServerVerdict {
	return &ServerVerdict{Request: slot.Request, Attempt: slot.Attempt, Crashed: crashed, Crashes: slot.Crashes}
}

// sendVerdicts sends verdicts for all cut attempts of a server.
func (s *State) sendVerdicts(sv *BackendServer, crashed bool, now time.Time) {
	waiting := sv.Owned.AwaitingVerdict
	sv.Owned.AwaitingVerdict = nil
	for _, slot := range waiting {
		s.Owner.group(sv.Group).removeRunning(slot.Digest)
		s.send(slot.Entry, newServerVerdict(slot, crashed || slot.ServerCrashed), now)
	}
}

// handleVerdictTimer sends verdicts without a crash if the probe was not answered in time.
func (s *State) handleVerdictTimer(id ServerID, now time.Time) {
	sv := s.Fleet.Servers[id]
	if sv != nil && sv.Owned != nil {
		s.sendVerdicts(sv, false, now)
	}
}

// recordSuccess doubles a server's cap once the number of good answers has reached it.
func (s *State) recordSuccess(sv *BackendServer) {
	own := sv.Owned
	own.Successes++
	maxCap := s.maxInflight(sv.Group)
	if own.Successes < own.Cap || own.Cap >= maxCap {
		return
	}
	own.Successes = 0
	own.Cap = min(own.Cap*2, maxCap)
	if own.Cap == maxCap && own.Cold {
		own.Cold = false
		s.recordEvent("server_warm", string(sv.ID), "", "")
	}
	s.publishOwnedLoad(sv)
}
