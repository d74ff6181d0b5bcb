package dtstate

import (
	"time"
)

// Parameters of a server's cap, of the detection of cold servers and of load reports.
const (
	slowFirstByteFactor    = 3 // A first byte is slow beyond this multiple of the baseline.
	slowFirstBytesToCold   = 2 // Successive slow first bytes after which a server counts as cold.
	capShrinkNum           = 3 // A server that reports overload keeps 3/4 of its cap.
	capShrinkDen           = 4
	baselineDecay          = 0.9              // Weight of the old baseline in the moving average.
	capShrinkInterval      = time.Second      // Minimum time between two reductions.
	contestedPeriod        = 10 * time.Second // How long requests granted by another owner may still run.
	minLoadsInterval       = 150 * time.Millisecond
	loadsIntervalPerTarget = 20 * time.Millisecond // The interval grows with the number of recipients.
	loadChangeDivisor      = 12                    // Changes up to the load divided by this are not reported.
	fewInflightMax         = 4                     // Up to this number of requests a change of one is not reported.
	fullLoadsInterval      = 3 * time.Second       // All loads are reported at least this often.
	missedProbesToDown     = 2                     // Successive unanswered probes after which a server counts as down.
)

// ProbeResult is the result of a probe.
type ProbeResult uint8

// Results of a probe.
const (
	ProbeAnswered   ProbeResult = iota
	ProbeRefused                // The connection was refused, so no server process listens.
	ProbeUnanswered             // No answer in time.
)

// ServerReport is a backend server's report of its own state.
type ServerReport struct {
	Start   uint64 // Incarnation of the server.
	Running uint32 // Requests in flight.
	Waiting uint32 // Requests queued at the server.
	Cold    bool
	Model   string
}

// OwnedServer is the state that a server's owner keeps about it.
type OwnedServer struct {
	Start           uint64
	CrashedStart    uint64 // The incarnation whose crash was handled already.
	Cap             uint32 // Maximum requests in flight.
	Inflight        uint32 // Slots in use.
	Work            uint32 // Estimated tokens in flight.
	UnknownInflight uint32 // Requests that the server reports beyond the owner's slots.
	Successes       uint32 // Good answers since the last change of Cap.
	Cold            bool
	Down            bool
	MissedProbes    int
	SlowFirstBytes  int
	Baseline        time.Duration // Moving average of the wait for the first byte.
	OwnedSince      time.Time
	ContestedAt     time.Time // When this router took over, or another one last acted as owner.
	CapShrunkAt     time.Time
	AwaitingVerdict []*OwnedSlot // Cut attempts; the server gets no new requests until they are decided.
	ProbePending    bool
	lastSent        ServerLoad // The load that other owners were last sent.
}

// awaitsVerdict reports whether an answer of the server was cut and it is not known yet
// whether the server crashed; until then it gets no new requests.
func (b *BackendServer) awaitsVerdict() bool {
	return b.Owned != nil && len(b.Owned.AwaitingVerdict) > 0
}

// coldCap returns the concurrency cap of a cold server of a group.
func (s *State) coldCap(group string) uint32 {
	if g, ok := s.Config.Group(group); ok {
		return uint32(g.ColdMaxInflight)
	}
	return 1
}

// maxInflight returns the concurrency cap of a warm server of a group.
func (s *State) maxInflight(group string) uint32 {
	if g, ok := s.Config.Group(group); ok {
		return uint32(g.MaxInflight)
	}
	return 1
}

// updateOwnership acquires or releases a server after the owner of its shard has changed.
func (s *State) updateOwnership(sv *BackendServer, now time.Time) {
	mine := sv.Shard.Owner == s.Settings.Self && !s.Stopping
	switch {
	case mine && sv.Owned == nil:
		s.acquireServer(sv, now)
	case !mine && sv.Owned != nil:
		s.releaseServer(sv, now)
	}
}

// acquireServer takes over a server with a reduced cap, since the previous owner may still
// send requests.
func (s *State) acquireServer(sv *BackendServer, now time.Time) {
	const initialCapDivisor = 2
	known := sv.Load.Cap > 0 && now.Sub(sv.LoadHeardAt) < loadStaleAfter
	own := &OwnedServer{OwnedSince: now, Cap: s.coldCap(sv.Group), Cold: true, ContestedAt: now}
	if known && !sv.Cold() {
		own.Cold = false
		own.Cap = max(own.Cap, sv.Load.Cap/initialCapDivisor)
	}
	if !s.ranker().limitsLoad() {
		own.Cold = false
		own.Cap = s.maxInflight(sv.Group)
	}
	own.Start = sv.Load.Start
	sv.Load.Version = max(sv.Load.Version, unixMs(now))
	sv.Owned = own
	s.publishOwnedLoad(sv)
	s.probe(sv, false)
}

// releaseServer drops the owner's state of a server.
func (s *State) releaseServer(sv *BackendServer, now time.Time) {
	s.sendVerdicts(sv, false, now)
	s.removeSlots(sv, now)
	sv.Owned = nil
	sv.LoadHeardAt = now
}

// releaseIfOwned drops the owner's state of a server that is removed.
func (s *State) releaseIfOwned(sv *BackendServer, now time.Time) {
	if sv.Owned != nil {
		s.releaseServer(sv, now)
	}
}

// removeSlots removes all slots of a server.
func (s *State) removeSlots(sv *BackendServer, now time.Time) {
	for _, slot := range s.slotsAt(sv.ID) {
		s.removeSlot(slot, now)
	}
}

// slotsAt returns the slots of a server in order.
func (s *State) slotsAt(id ServerID) []*OwnedSlot {
	var slots []*OwnedSlot
	for _, slot := range s.Owner.Slots {
		if slot.Server == id {
			slots = append(slots, slot)
		}
	}
	sortSlots(slots)
	return slots
}

// publishOwnedLoad makes the owner's exact counts the known load of the server.
func (s *State) publishOwnedLoad(sv *BackendServer) {
	own := sv.Owned
	load := ServerLoad{
		Server: sv.Hash, Inflight: own.Inflight + own.UnknownInflight, Work: own.Work, Cap: own.Cap,
		Version: sv.Load.Version + 1, Start: own.Start,
	}
	if own.Cold {
		load.Flags |= FlagCold
	}
	if own.Down {
		load.Flags |= FlagDown
	}
	s.Fleet.setLoad(sv, load)
}

// probe requests a report from a server unless a probe is pending; a probe over a new
// connection is always sent.
func (s *State) probe(sv *BackendServer, newConnection bool) {
	if sv.Owned.ProbePending && !newConnection {
		return
	}
	sv.Owned.ProbePending = true
	s.emit(Probe{Server: sv.ID, Address: sv.Address, NewConnection: newConnection})
}

// probeOwned probes each owned server of a group.
func (s *State) probeOwned(g *ServerGroup, _ time.Time) {
	for _, sv := range g.Owned {
		s.probe(sv, sv.Owned.MissedProbes > 0)
	}
}

// handleServerReported processes the result of a probe.
func (s *State) handleServerReported(ev ServerReported, now time.Time) {
	sv := s.Fleet.Servers[ev.Server]
	if sv == nil || sv.Owned == nil {
		return
	}
	own := sv.Owned
	own.ProbePending = false
	switch ev.Probe {
	case ProbeAnswered:
		s.applyReport(sv, ev.Report, now)
	case ProbeRefused:
		if !own.Down {
			s.handleServerCrash(sv, now)
		}
		s.setDown(sv, true)
	case ProbeUnanswered:
		own.MissedProbes++
		if own.MissedProbes >= missedProbesToDown {
			s.setDown(sv, true)
		}
	}
	s.sendVerdicts(sv, false, now)
	g := s.Fleet.Groups[sv.Group]
	s.scheduleLoads(g, now)
	s.serveQueue(g, now)
}

// applyReport updates the server's state after a report and compares the reported load
// with the owner's own counts.
func (s *State) applyReport(sv *BackendServer, r ServerReport, now time.Time) {
	own := sv.Owned
	own.MissedProbes = 0
	s.setDown(sv, false)
	if own.Start != 0 && own.Start != r.Start && own.CrashedStart != own.Start {
		s.handleServerCrash(sv, now)
	}
	if own.Start != r.Start {
		restarted := own.Start != 0
		own.Start = r.Start
		if restarted {
			s.markCold(sv, "new incarnation")
		}
	}
	s.reportModelMismatch(sv, r.Model, now)
	if r.Cold && !own.Cold {
		s.markCold(sv, "reported")
	}
	own.UnknownInflight = 0
	reported := r.Running + r.Waiting
	if now.Sub(own.ContestedAt) < contestedPeriod && reported > own.Inflight {
		own.UnknownInflight = reported - own.Inflight
		own.Cap = max(own.Cap, min(reported, s.maxInflight(sv.Group)))
	}
	s.publishOwnedLoad(sv)
}

// setDown records whether a server answers its probes.
func (s *State) setDown(sv *BackendServer, down bool) {
	if sv.Owned.Down == down {
		return
	}
	sv.Owned.Down = down
	s.recordEvent("server_down", string(sv.ID), "", yesNo(down))
	s.publishOwnedLoad(sv)
}

// yesNo formats a boolean for the timeline.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// markCold lowers the cap of a server to that of a cold one, from which it ramps up again.
func (s *State) markCold(sv *BackendServer, cause string) {
	if !s.ranker().limitsLoad() {
		return
	}
	own := sv.Owned
	own.Cold = true
	own.Cap = s.coldCap(sv.Group)
	own.Successes = 0
	own.SlowFirstBytes = 0
	s.recordEvent("server_cold", string(sv.ID), "", cause)
	s.publishOwnedLoad(sv)
}

// shrinkCap lowers the cap of a server that reports overload.
func (s *State) shrinkCap(sv *BackendServer, now time.Time) {
	own := sv.Owned
	if now.Sub(own.CapShrunkAt) < capShrinkInterval {
		return
	}
	own.CapShrunkAt = now
	own.Successes = 0
	own.Cap = max(own.Cap*capShrinkNum/capShrinkDen, 1)
	s.publishOwnedLoad(sv)
}

// handleSlotStarted records the wait for the first byte of an answer.
func (s *State) handleSlotStarted(m *SlotStarted) {
	slot := s.Owner.Slots[SlotKey{m.Request, m.Attempt}]
	if slot == nil || slot.Started {
		return
	}
	slot.Started = true
	sv := s.Fleet.Servers[slot.Server]
	if sv == nil || sv.Owned == nil {
		return
	}
	slot.Slow = s.recordFirstByteWait(sv, time.Duration(m.WaitMs)*time.Millisecond)
}

// recordFirstByteWait reports whether a first byte was slow for a warm server; successive
// slow ones mark the server as cold.
func (s *State) recordFirstByteWait(sv *BackendServer, wait time.Duration) bool {
	own := sv.Owned
	if wait > s.slowFirstByteWait(sv.Group) && (own.Baseline == 0 || wait > own.Baseline*slowFirstByteFactor) {
		own.SlowFirstBytes++
		if own.SlowFirstBytes >= slowFirstBytesToCold && !own.Cold {
			s.markCold(sv, "slow first byte")
		}
		return true
	}
	own.SlowFirstBytes = 0
	if own.Baseline == 0 {
		own.Baseline = wait
	}
	own.Baseline = time.Duration(baselineDecay*float64(own.Baseline) + (1-baselineDecay)*float64(wait))
	return false
}

// slowFirstByteWait returns the wait from which a first byte may indicate a cold server.
func (s *State) slowFirstByteWait(group string) time.Duration {
	g, ok := s.Config.Group(group)
	if !ok {
		return time.Second
	}
	return time.Duration(g.SlowFirstTokenMs) * time.Millisecond
}
