package dtstate

import (
	"sort"
	"time"
)

// SlotKey identifies one attempt of one request.
type SlotKey struct {
	Request RequestID
	Attempt uint32
}

// OwnedSlot is the slot of an attempt in flight at a server that this router owns.
type OwnedSlot struct {
	Slot
	EntryRouter   RouterID
	GrantedAt     time.Time
	RenewedAt     time.Time
	Started       bool  // The first byte has arrived, or may have arrived at a previous owner.
	Slow          bool  // The first byte took longer than at a warm server.
	ServerCrashed bool  // The server crashed while the attempt was in flight.
	Crashes       uint8 // Known crashes of servers that ran the request.
	PendingProbes int   // Of its server, sent until the attempt was cut; each of their answers may have been sent before.
}

// addSlot adds a slot to the counts of its server, group and account, and removeSlot
// removes it.
func (s *State) addSlot(sv *BackendServer, slot *OwnedSlot, now time.Time) {
	s.Owner.Slots[SlotKey{slot.Request, slot.Attempt}] = slot
	og := s.Owner.group(sv.Group)
	account := og.account(slot.Account, now)
	account.InFlight++
	account.VirtualTime += float64(slot.Work) / s.Config.Weight(slot.Account)
	og.RunningByDigest[slot.Digest]++
	sv.Owned.InFlight++
	sv.Owned.Work += slot.Work
	s.updateOwnedLoad(sv)
}

func (g *OwnedGroup) removeRunning(digest uint64) {
	g.RunningByDigest[digest]--
	if g.RunningByDigest[digest] <= 0 {
		delete(g.RunningByDigest, digest)
	}
}

func (s *State) removeSlot(slot *OwnedSlot, now time.Time) {
	delete(s.Owner.Slots, SlotKey{slot.Request, slot.Attempt})
	sv := s.Fleet.Servers[slot.Server]
	if sv == nil || sv.Owned == nil {
		return
	}
	og := s.Owner.group(sv.Group)
	og.account(slot.Account, now).InFlight--
	og.removeRunning(slot.Digest)
	sv.Owned.InFlight--
	sv.Owned.Work -= slot.Work
	s.updateOwnedLoad(sv)
}

// handleSlotReleased removes a slot, applies the outcome of its attempt to the server and
// serves the queue.
func (s *State) handleSlotReleased(from RouterID, m *SlotReleased, now time.Time) {
	slot := s.Owner.Slots[SlotKey{m.Request, m.Attempt}]
	if slot == nil {
		if m.Outcome == OutcomeCut {
			s.send(from, &ServerVerdict{Request: m.Request, Attempt: m.Attempt}, now)
		}
		return
	}
	s.removeSlot(slot, now)
	sv := s.Fleet.Servers[slot.Server]
	if sv == nil || sv.Owned == nil {
		return
	}
	s.applyAttemptOutcome(sv, slot, m.Outcome, now)
	g := s.Fleet.Groups[sv.Group]
	s.scheduleLoads(g, now)
	s.serveQueue(g, now)
}

// handleSlotRenewal renews the slots that a peer still uses and adopts those that a
// previous owner granted.
func (s *State) handleSlotRenewal(from RouterID, m *SlotRenewal, now time.Time) {
	for _, used := range m.Slots {
		key := SlotKey{used.Request, used.Attempt}
		if slot := s.Owner.Slots[key]; slot != nil {
			slot.RenewedAt = now
			continue
		}
		sv := s.Fleet.Servers[used.Server]
		if sv == nil || sv.Owned == nil {
			continue
		}
		slot := &OwnedSlot{Slot: used, EntryRouter: from, GrantedAt: now, RenewedAt: now, Started: true}
		s.addSlot(sv, slot, now)
		sv.Owned.UnknownInFlight = max(sv.Owned.UnknownInFlight, 1) - 1
		s.updateOwnedLoad(sv)
	}
}

// slotTick removes slots that were not renewed, updates the completion rates and serves the
// queues.
func (s *State) slotTick(now time.Time) {
	var old []*OwnedSlot
	for _, slot := range s.Owner.Slots {
		if now.Sub(slot.RenewedAt) > slotTimeout {
			old = append(old, slot)
		}
	}
	sortSlots(old)
	for _, slot := range old {
		s.recordEvent("slot_expired", string(slot.Server), slot.Request, string(slot.EntryRouter))
		s.removeSlot(slot, now)
	}
	for _, name := range s.Fleet.GroupNames {
		g := s.Fleet.Groups[name]
		og := s.Owner.group(name)
		const rateDecay = 0.7
		og.CompletionRate = rateDecay*og.CompletionRate + (1-rateDecay)*float64(og.completedCount)/heartbeatInterval.Seconds()
		og.completedCount = 0
		og.Heartbeats++
		if len(g.Owned) == 0 {
			og.Heartbeats = 0
		}
		s.serveQueue(g, now)
	}
}

// sortSlots sorts slots by request and attempt, so that the effects do not depend on map
// order.
func sortSlots(slots []*OwnedSlot) {
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].Request != slots[j].Request {
			return slots[i].Request < slots[j].Request
		}
		return slots[i].Attempt < slots[j].Attempt
	})
}
