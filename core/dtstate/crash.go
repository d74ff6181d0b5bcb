package dtstate

import (
	"slices"
	"time"
)

// handleServerCrash records a crash for each digest that was in flight at the server.
func (s *State) handleServerCrash(sv *BackendServer, now time.Time) {
	s.recordServerCrash(sv, append(s.slotsAt(sv.ID), sv.Owned.AwaitingVerdict...), now)
}

// recordServerCrash records a crash of a server for each digest of some of its slots.
func (s *State) recordServerCrash(sv *BackendServer, slots []*OwnedSlot, now time.Time) {
	recorded := map[uint64]bool{}
	for _, slot := range slots {
		slot.ServerCrashed = true
		if slot.Digest != 0 && !recorded[slot.Digest] {
			recorded[slot.Digest] = true
			s.recordCrash(slot, now)
		}
	}
	sv.Owned.HandledCrashStart = sv.Owned.Start
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
	if s.Gossip.CrashRecordCount == 0 {
		return 0
	}
	return uint8(min(len(s.Gossip.CrashedServers[digest]), poisonCrashThreshold))
}

// clearCrashes marks the crash records of a digest as cleared after a request with that
// digest was answered completely.
func (s *State) clearCrashes(digest uint64, now time.Time) {
	for _, id := range slices.Clone(s.Gossip.CrashedServers[digest]) {
		s.announce(Announcement{Crash: &CrashRecord{Digest: digest, Server: id, Cleared: true, AtMs: unixMs(now)}}, now)
	}
}

// applyAttemptOutcome updates the server's state after an attempt has ended, and probes the
// server if the outcome suggests that it may be down.
func (s *State) applyAttemptOutcome(sv *BackendServer, slot *OwnedSlot, outcome Outcome, now time.Time) {
	owned := sv.Owned
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
			s.send(slot.EntryRouter, newServerVerdict(slot, true), now)
			return
		}
		owned.AwaitingVerdict = append(owned.AwaitingVerdict, slot)
		s.Owner.group(sv.Group).RunningByDigest[slot.Digest]++ // Requests with the same digest wait until the verdict is sent.
		s.probe(sv, true)
		slot.PendingProbes = owned.ProbesInFlight
		s.setTimer(now, verdictProbeTimeout, timerVerdict, string(sv.ID), 0)
	case OutcomeNotSent:
		s.probe(sv, true)
	case OutcomeRejected, OutcomeCallerGone, OutcomeUnused, OutcomeAnswerLost:
	}
}

func newServerVerdict(slot *OwnedSlot, crashed bool) *ServerVerdict {
	return &ServerVerdict{Request: slot.Request, Attempt: slot.Attempt, Crashed: crashed, Crashes: slot.Crashes}
}

// sendVerdicts sends verdicts to the entry routers of all cut attempts at a server.
func (s *State) sendVerdicts(sv *BackendServer, crashed bool, now time.Time) {
	waiting := sv.Owned.AwaitingVerdict
	sv.Owned.AwaitingVerdict = nil
	s.sendVerdictsOf(sv, waiting, crashed, now)
}

func (s *State) sendVerdictsOf(sv *BackendServer, slots []*OwnedSlot, crashed bool, now time.Time) {
	for _, slot := range slots {
		s.Owner.group(sv.Group).removeRunning(slot.Digest)
		s.send(slot.EntryRouter, newServerVerdict(slot, crashed || slot.ServerCrashed), now)
	}
}

// sendProvenVerdicts sends verdicts without a crash for the attempts that were cut before the last probe that has ended was
// sent.
func (s *State) sendProvenVerdicts(sv *BackendServer, now time.Time) {
	var proven, waiting []*OwnedSlot
	for _, slot := range sv.Owned.AwaitingVerdict {
		if slot.PendingProbes <= 0 {
			proven = append(proven, slot)
		} else {
			waiting = append(waiting, slot)
		}
	}
	sv.Owned.AwaitingVerdict = waiting
	s.sendVerdictsOf(sv, proven, false, now)
}

// handleVerdictTimer sends verdicts without a crash if the probe got no response in time. If the server has dropped the
// probes, its process has ended, and something else accepts connections for it.
func (s *State) handleVerdictTimer(id ServerID, now time.Time) {
	sv := s.Fleet.Servers[id]
	if sv == nil || sv.Owned == nil {
		return
	}
	if sv.Owned.HasDroppedProbe && len(sv.Owned.AwaitingVerdict) > 0 {
		s.recordServerCrash(sv, sv.Owned.AwaitingVerdict, now) // Others may still be in progress.
		s.setDown(sv, true)
	}
	s.sendVerdicts(sv, false, now)
}

// repeatDroppedProbe probes a server again that has dropped a probe, while attempts await their verdict.
func (s *State) repeatDroppedProbe(id ServerID) {
	sv := s.Fleet.Servers[id]
	if sv == nil || sv.Owned == nil || len(sv.Owned.AwaitingVerdict) == 0 {
		return
	}
	s.probe(sv, true)
	for _, slot := range sv.Owned.AwaitingVerdict {
		slot.PendingProbes = sv.Owned.ProbesInFlight
	}
}

// recordSuccess counts a completed answer that was not slow. Once there are as many as the
// cap allows requests in flight, it doubles the cap, up to the group's maximum.
func (s *State) recordSuccess(sv *BackendServer) {
	owned := sv.Owned
	owned.Successes++
	maxCap := s.maxInFlight(sv.Group)
	if owned.Successes < owned.Cap || owned.Cap >= maxCap {
		return
	}
	owned.Successes = 0
	owned.Cap = min(owned.Cap*2, maxCap)
	if owned.Cap == maxCap && owned.Cold {
		owned.Cold = false
		s.recordEvent("server_warm", string(sv.ID), "", "")
	}
	s.updateOwnedLoad(sv)
}
