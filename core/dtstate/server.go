package dtstate

import (
	"time"
)

// Parameters of a server's cap, of the detection of cold servers and of load reports.
const (
	slowFirstByteFactor    = 3 // A first byte is slow beyond this multiple of the baseline.
	slowFirstBytesToCold   = 2 // Successive slow first bytes after which a server counts as cold.
	capShrinkNumerator     = 3 // A server that reports overload keeps 3/4 of its cap.
	capShrinkDenominator   = 4
	baselineDecay          = 0.9              // Weight of the old baseline in the moving average.
	capShrinkInterval      = time.Second      // Minimum time between two reductions.
	contestedPeriod        = 10 * time.Second // How long requests that another owner granted may still run.
	minLoadsInterval       = 150 * time.Millisecond
	loadsIntervalPerTarget = 20 * time.Millisecond // The interval grows with the number of recipients.
	loadChangeDivisor      = 12                    // Changes of up to the load divided by this are not reported.
	maxFewInFlight         = 4                     // Up to this number of requests in flight, a change of one is not reported.
	fullLoadsInterval      = 3 * time.Second       // All loads are reported at least this often.
	missedProbesToDown     = 2                     // Successive unanswered probes after which a server counts as down.
)

// ProbeResult is the result of a probe.
type ProbeResult uint8

// Results of a probe.
const (
	ProbeAnswered   ProbeResult = iota
	ProbeRefused                // The connection was refused, so no server process listens.
	ProbeUnanswered             // No response in time.
	ProbeDropped                // A new connection was accepted and ended without a response; it says nothing of a process.
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
	Start             uint64 // Incarnation of the server; zero if not known.
	HandledCrashStart uint64 // Incarnation whose crash was handled.
	Cap               uint32 // Maximum requests in flight.
	InFlight          uint32 // Slots in use.
	Work              uint32 // Estimated tokens in flight.
	UnknownInFlight   uint32 // Requests that the server reports beyond the owner's slots.
	Successes         uint32 // Completed answers that were not slow since Cap was last changed.
	Cold              bool
	Down              bool
	Reported          bool // The server has reported its load to this owner; until then it gets no new requests.
	MissedProbes      int
	SlowFirstBytes    int
	FirstByteBaseline time.Duration // Moving average of the waits for the first byte that were not slow.
	OwnedSince        time.Time
	ContestedAt       time.Time // When this router took over, or another one last acted as owner.
	CapShrunkAt       time.Time
	AwaitingVerdict   []*OwnedSlot // Cut attempts.
	ProbePending      bool
	ProbesInFlight    int
	HasDroppedProbe   bool       // The last probe was dropped.
	lastSentLoad      ServerLoad // Load in the last report to other owners.
}

// awaitsNews reports whether the owner waits for the server's first report, or a cut attempt for its verdict;
// until then the server gets no new requests.
func (b *BackendServer) awaitsNews() bool {
	return b.Owned != nil && (!b.Owned.Reported || len(b.Owned.AwaitingVerdict) > 0)
}

// coldMaxInFlight returns the cap of a cold server of a group.
func (s *State) coldMaxInFlight(group string) uint32 {
	if g, ok := s.Config.Group(group); ok {
		return uint32(g.ColdMaxInFlight)
	}
	return 1
}

// maxInFlight returns the cap of a warm server of a group.
func (s *State) maxInFlight(group string) uint32 {
	if g, ok := s.Config.Group(group); ok {
		return uint32(g.MaxInFlight)
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

// acquireServer takes over a server with a reduced cap, since requests that the previous
// owner granted may still run.
func (s *State) acquireServer(sv *BackendServer, now time.Time) {
	const initialCapDivisor = 2
	known := sv.Load.Cap > 0 && now.Sub(sv.LoadHeardAt) < loadTimeout
	owned := &OwnedServer{OwnedSince: now, Cap: s.coldMaxInFlight(sv.Group), Cold: true, ContestedAt: now}
	if known && !sv.Cold() {
		owned.Cold = false
		owned.Cap = max(owned.Cap, sv.Load.Cap/initialCapDivisor)
	}
	if !s.placementRanker().limitsLoad() {
		owned.Cold = false
		owned.Cap = s.maxInFlight(sv.Group)
	}
	owned.Start = sv.Load.Start
	sv.Load.Version = max(sv.Load.Version, unixMs(now))
	sv.Owned = owned
	s.updateOwnedLoad(sv)
	s.probe(sv, false)
}

// releaseServer drops the owner's state of a server.
func (s *State) releaseServer(sv *BackendServer, now time.Time) {
	s.sendVerdicts(sv, false, now)
	s.removeSlots(sv, now)
	sv.Owned = nil
	sv.LoadHeardAt = now
}

func (s *State) releaseIfOwned(sv *BackendServer, now time.Time) {
	if sv.Owned != nil {
		s.releaseServer(sv, now)
	}
}

func (s *State) removeSlots(sv *BackendServer, now time.Time) {
	for _, slot := range s.slotsAt(sv.ID) {
		s.removeSlot(slot, now)
	}
}

// slotsAt returns the slots of a server, sorted.
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

// updateOwnedLoad sets the known load of an owned server from the owner's exact counts.
func (s *State) updateOwnedLoad(sv *BackendServer) {
	owned := sv.Owned
	load := ServerLoad{
		ServerHash: sv.Hash, InFlight: owned.InFlight + owned.UnknownInFlight, Work: owned.Work, Cap: owned.Cap,
		Version: sv.Load.Version + 1, Start: owned.Start,
	}
	if owned.Cold {
		load.Flags |= FlagCold
	}
	if owned.Down {
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
	sv.Owned.ProbesInFlight++
	s.emit(Probe{Server: sv.ID, Address: sv.Address, NewConnection: newConnection})
}

func (s *State) probeOwned(g *ServerGroup, _ time.Time) {
	for _, sv := range g.Owned {
		s.probe(sv, sv.Owned.MissedProbes > 0)
	}
}

func (s *State) handleProbeCompleted(ev ProbeCompleted, now time.Time) {
	sv := s.Fleet.Servers[ev.Server]
	if sv == nil || sv.Owned == nil {
		return
	}
	owned := sv.Owned
	owned.ProbePending = false
	owned.endProbe()
	owned.HasDroppedProbe = ev.Result == ProbeDropped
	switch ev.Result {
	case ProbeAnswered:
		s.applyReport(sv, ev.Report, now)
	case ProbeRefused:
		if !owned.Down {
			s.handleServerCrash(sv, now)
		}
		s.setDown(sv, true)
	case ProbeDropped:
		if len(owned.AwaitingVerdict) > 0 {
			s.setTimer(now, droppedProbeDelay, timerDroppedProbe, string(sv.ID), 0)
			return
		}
		fallthrough
	case ProbeUnanswered:
		owned.MissedProbes++
		if owned.MissedProbes >= missedProbesToDown {
			s.setDown(sv, true)
		}
	}
	s.sendProvenVerdicts(sv, now)
	g := s.Fleet.Groups[sv.Group]
	s.scheduleLoads(g, now)
	s.serveQueue(g, now)
}

// endProbe records that a probe has ended.
func (o *OwnedServer) endProbe() {
	o.ProbesInFlight = max(o.ProbesInFlight-1, 0)
	for _, slot := range o.AwaitingVerdict {
		slot.PendingProbes--
	}
}

// applyReport updates the server's state after a report and compares the reported load
// with the owner's counts.
func (s *State) applyReport(sv *BackendServer, r ServerReport, now time.Time) {
	owned := sv.Owned
	owned.MissedProbes = 0
	owned.Reported = true
	s.setDown(sv, false)
	if owned.Start != 0 && owned.Start != r.Start && owned.HandledCrashStart != owned.Start {
		s.handleServerCrash(sv, now)
	}
	if owned.Start != r.Start {
		restarted := owned.Start != 0
		owned.Start = r.Start
		if restarted {
			s.markCold(sv, "new incarnation")
		}
	}
	s.reportModelMismatch(sv, r.Model, now)
	if r.Cold && !owned.Cold {
		s.markCold(sv, "reported")
	}
	owned.UnknownInFlight = 0
	reported := r.Running + r.Waiting
	if now.Sub(owned.ContestedAt) < contestedPeriod && reported > owned.InFlight {
		owned.UnknownInFlight = reported - owned.InFlight
		owned.Cap = max(owned.Cap, min(reported, s.maxInFlight(sv.Group)))
	}
	s.updateOwnedLoad(sv)
}

func (s *State) setDown(sv *BackendServer, down bool) {
	if sv.Owned.Down == down {
		return
	}
	sv.Owned.Down = down
	s.recordEvent("server_down", string(sv.ID), "", yesNo(down))
	s.updateOwnedLoad(sv)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// markCold lowers the cap of a server to that of a cold one, from which it grows again. It
// does nothing under a policy without a load bound.
func (s *State) markCold(sv *BackendServer, cause string) {
	if !s.placementRanker().limitsLoad() {
		return
	}
	owned := sv.Owned
	owned.Cold = true
	owned.Cap = s.coldMaxInFlight(sv.Group)
	owned.Successes = 0
	owned.SlowFirstBytes = 0
	s.recordEvent("server_cold", string(sv.ID), "", cause)
	s.updateOwnedLoad(sv)
}

// shrinkCap lowers the cap of a server that reports overload.
func (s *State) shrinkCap(sv *BackendServer, now time.Time) {
	owned := sv.Owned
	if now.Sub(owned.CapShrunkAt) < capShrinkInterval {
		return
	}
	owned.CapShrunkAt = now
	owned.Successes = 0
	owned.Cap = max(owned.Cap*capShrinkNumerator/capShrinkDenominator, 1)
	s.updateOwnedLoad(sv)
}

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

// recordFirstByteWait updates the baseline and reports whether the first byte was slow
// for a warm server; successive slow ones mark the server as cold.
func (s *State) recordFirstByteWait(sv *BackendServer, wait time.Duration) bool {
	owned := sv.Owned
	if wait > s.slowFirstByteWait(sv.Group) && (owned.FirstByteBaseline == 0 || wait > owned.FirstByteBaseline*slowFirstByteFactor) {
		owned.SlowFirstBytes++
		if owned.SlowFirstBytes >= slowFirstBytesToCold && !owned.Cold {
			s.markCold(sv, "slow first byte")
		}
		return true
	}
	owned.SlowFirstBytes = 0
	if owned.FirstByteBaseline == 0 {
		owned.FirstByteBaseline = wait
	}
	owned.FirstByteBaseline = time.Duration(baselineDecay*float64(owned.FirstByteBaseline) + (1-baselineDecay)*float64(wait))
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
