package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// Parameters of roll-outs.
const (
	// A router that has heard no other for this long, or for half of the time in which a bad version must be left, sends
	// the target nothing. It is over the longest interval between two statuses.
	maxRolloutSilence  = 2500 * time.Millisecond
	rolloutWriteRetry  = 500 * time.Millisecond // After a write of the status that has failed.
	rolloutWriteExpiry = 3 * time.Second        // After which a write without a result is repeated.
)

// RolloutBegin is when the first router has learned of an order, as the store has it.
type RolloutBegin struct {
	Service  string
	Revision uint64 // Of the order.
	At       time.Time
}

// ageIn returns for how long an order has been known, or zero if the store does not have it.
func ageIn(begun []RolloutBegin, order *dtrollout.Order, now time.Time) time.Duration {
	for i := range begun {
		if begun[i].Service == order.Service && begun[i].Revision == order.Revision {
			return min(max(now.Sub(begun[i].At), 0), order.Duration)
		}
	}
	return 0
}

// RolloutStatus is the status of a roll-out in the store.
type RolloutStatus struct {
	Service  string
	Target   string
	State    dtrollout.State
	Revision uint64 // Of its entry.
}

// Rollouts are the roll-outs that this router knows of.
type Rollouts struct {
	ByService map[string]*Rollout
	Unproven  map[string]map[string]bool // By service: targets of orders that were replaced before they were complete.
	Version   uint64                     // Changes with what is decided.
	Losses    map[ServerID]*ServerLosses
	Loads     NewsClock // Of what this router tells its collector.
	Domains   NewsClock // Of what a collector tells those of other domains.
	Summary   NewsClock // Of what a collector tells its own.
}

// Rollout is a roll-out and what this router needs to carry it out.
type Rollout struct {
	*dtrollout.Rollout
	Era       uint64                   // Of the store, in which the order was read.
	Withdrawn bool                     // The order is gone.
	Moved     map[string]bool          // By router, once it has told so.
	Domain    map[string]RolloutCounts // At a collector: counts of the routers of its domain.
	Written   dtrollout.State          // Status that the store is known to have, if IsWritten.

	IsWritten bool
	WriteAt   time.Time // Earliest time of the next write of the status.
}

// handleRolloutsListed applies the orders that the store has, and the status of each if it was read.
func (s *State) handleRolloutsListed(ev RolloutsListed, now time.Time) {
	if !s.Settings.Rollouts {
		return
	}
	isListed := map[string]bool{}
	for _, order := range ev.Orders {
		isListed[order.Service] = true
		ro := s.Rollouts.ByService[order.Service]
		if ro == nil || ro.Order != order || ro.Withdrawn {
			ro = s.beginRollout(order, s.StoreEra, ageIn(ev.Begun, &order, now), now)
		}
		for i := range ev.Statuses {
			status := &ev.Statuses[i]
			if status.Service == order.Service && status.Target == order.Target && status.Revision > order.Revision {
				s.applyStoredStatus(ro, status.State, now)
			}
		}
	}
	for _, service := range sortedKeys(s.Rollouts.ByService) {
		if ro := s.Rollouts.ByService[service]; !isListed[service] && !ro.Withdrawn {
			s.withdrawRollout(ro, now)
		}
	}
}

// beginRollout starts to carry out an order that other routers have known for age, and ends the one before.
func (s *State) beginRollout(order dtrollout.Order, era uint64, age time.Duration, now time.Time) *Rollout {
	r := &s.Rollouts
	if r.ByService == nil {
		r.ByService, r.Unproven = map[string]*Rollout{}, map[string]map[string]bool{}
	}
	unproven := getOrCreateMap(r.Unproven, order.Service)
	if last := r.ByService[order.Service]; last != nil && last.State != dtrollout.StateComplete {
		unproven[last.Order.Target] = true
	}
	delete(unproven, order.Target)
	ro := &Rollout{Era: era, Rollout: dtrollout.New(order, s.Settings.Bounds.Rollout, age, now), Moved: map[string]bool{}, Domain: map[string]RolloutCounts{}}
	const fractionBits = 32
	ro.Offset = float64(HashString(s.incarnation()+" "+order.Service+" "+order.Target)>>fractionBits) / (1 << fractionBits)
	r.ByService[order.Service] = ro
	s.logRollout(ro, "begun", now)
	s.applyRollout(now)
	return ro
}

func getOrCreateMap(m map[string]map[string]bool, key string) map[string]bool {
	if m[key] == nil {
		m[key] = map[string]bool{}
	}
	return m[key]
}

// withdrawRollout ends a roll-out whose order is gone.
func (s *State) withdrawRollout(ro *Rollout, now time.Time) {
	ro.Withdrawn = true
	s.logRollout(ro, "withdrawn", now)
	s.applyRollout(now)
}

// applyStoredStatus applies what the store has.
func (s *State) applyStoredStatus(ro *Rollout, state dtrollout.State, now time.Time) {
	ro.Written, ro.IsWritten = state, true
	if ro.SetStored(state) {
		s.logRollout(ro, "stored", now)
	}
	s.applyRollout(now)
}

// applyRollout carries out what has been decided: new streams begin at other versions, and others hear of it at once.
func (s *State) applyRollout(now time.Time) {
	s.Rollouts.Version++
	s.updateRolloutServers()
	s.updateVersions(now)
	s.Peers.NextStatusAt = now
	s.FleetLoad.NextAt = now
	s.tellNewRollout(now)
}

// tellNewRollout sends what has been decided without waiting for the timer.
func (s *State) tellNewRollout(now time.Time) {
	if s.IsReady {
		s.sendStatusIfDue(now)
		s.collectLoadsIfDue(now)
	}
}

// updateRolloutServers records which versions have servers.
func (s *State) updateRolloutServers() {
	for service, ro := range s.Rollouts.ByService {
		hasTarget, hasOld := false, false
		for _, server := range s.Roster.ByService[service] {
			switch {
			case server.Draining:
			case server.Version == ro.Order.Target:
				hasTarget = true
			case !s.Rollouts.Unproven[service][server.Version]:
				hasOld = true
			}
		}
		ro.SetServers(hasTarget, hasOld)
	}
}

// nextRolloutAt returns when the next judgement or write is due, or the zero time.
func (s *State) nextRolloutAt(now time.Time) time.Time {
	next := time.Time{}
	for _, ro := range s.Rollouts.ByService {
		if ro.Withdrawn {
			continue
		}
		for _, at := range [...]time.Time{ro.NextJudgementAt(), s.nextRolloutWriteAt(ro, now)} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// nextRolloutWriteAt returns when this router is to write a final status, or the zero time.
func (s *State) nextRolloutWriteAt(ro *Rollout, now time.Time) time.Time {
	if ro.State == dtrollout.StateActive || ro.IsStored && ro.IsWritten || !s.writesRollouts(now) {
		return time.Time{}
	}
	return later(ro.WriteAt, now)
}

// judgeRolloutsIfDue goes by the present counts, and writes the status if this router is the one to do so.
func (s *State) judgeRolloutsIfDue(now time.Time) {
	if len(s.Rollouts.ByService) == 0 {
		return
	}
	isCutOff := s.isCutOffFromFleet(now)
	s.updateRolloutServers()
	for _, service := range sortedKeys(s.Rollouts.ByService) {
		ro := s.Rollouts.ByService[service]
		if ro.Withdrawn {
			continue
		}
		ro.IsCutOff = isCutOff
		if ro.Judge(now) {
			if ro.State == dtrollout.StateReverted {
				s.logRollout(ro, "judged", now)
			} else {
				s.logRollout(ro, "stage", now)
			}
			s.applyRollout(now)
		}
		s.writeRolloutIfDue(ro, now)
	}
}

// isCutOffFromFleet reports whether there are other routers and none of them has been heard for a while.
func (s *State) isCutOffFromFleet(now time.Time) bool {
	if s.RouterCount() <= 1 {
		return false
	}
	silence := min(maxRolloutSilence, s.Settings.Bounds.Rollout.WithDefaults().Rollback/2)
	for _, peer := range s.Peers.ByName {
		if now.Sub(peer.LastHeardAt) < silence {
			return false
		}
	}
	return now.Sub(s.StartedAt) >= silence
}

// writesRollouts reports whether this router is the one that writes the status: the reader of the first failure domain
// that has a router which tells of roll-outs; those of earlier builds do not.
func (s *State) writesRollouts(now time.Time) bool {
	knowsRollouts := func(p Peer) bool { return p.TellsRollouts }
	if s.firstRouter(s.Settings.Domain, readerTimeout, knowsRollouts, now) != s.Settings.RouterName {
		return false
	}
	for _, domain := range s.otherDomains() {
		if domain < s.Settings.Domain && s.firstRouter(domain, collectorTimeout, knowsRollouts, now) != "" {
			return false
		}
	}
	return true
}

// writeRolloutIfDue has the status written that follows from what is decided, unless the store has it.
func (s *State) writeRolloutIfDue(ro *Rollout, now time.Time) {
	if ro.IsStored && ro.IsWritten || now.Before(ro.WriteAt) || !s.writesRollouts(now) {
		return
	}
	state := ro.State
	if state == dtrollout.StateActive && ro.MayComplete(s.haveAllMoved(ro), now) {
		state = dtrollout.StateComplete
	}
	if ro.IsWritten && ro.Written == state {
		return
	}
	ro.WriteAt = now.Add(rolloutWriteExpiry)
	s.emit(WriteRolloutStatus{Order: ro.Order, State: state, BegunAt: ro.BegunAt})
}

// hasMoved reports whether this router sends all requests to the target and has none left at old servers.
func (s *State) hasMoved(ro *Rollout) bool {
	if ro.Share() < 1 {
		return false
	}
	for _, r := range s.Requests {
		if r.Service == ro.Order.Service && r.Attempt > 0 && r.ServerVersion != ro.Order.Target {
			return false
		}
	}
	return true
}

// haveAllMoved reports whether this router and all listed ones have told that they have moved.
func (s *State) haveAllMoved(ro *Rollout) bool {
	for name := range s.Membership.ListedRouters {
		if name != s.Settings.RouterName && !ro.Moved[name] {
			return false
		}
	}
	return s.hasMoved(ro)
}

// handleRolloutStatusStored records the status that the store has after a write, which may be another one that was
// there before.
func (s *State) handleRolloutStatusStored(ev RolloutStatusStored, now time.Time) {
	ro := s.Rollouts.ByService[ev.Order.Service]
	if ro == nil || ro.Order != ev.Order {
		return
	}
	ro.WriteAt = now
	s.applyStoredStatus(ro, ev.State, now)
}

// handleRolloutStatusFailed repeats the write later.
func (s *State) handleRolloutStatusFailed(ev RolloutStatusFailed, now time.Time) {
	if ro := s.Rollouts.ByService[ev.Order.Service]; ro != nil && ro.Order == ev.Order {
		ro.WriteAt = now.Add(rolloutWriteRetry)
		s.emit(LogRecord{Event: "rollout_status", Subject: ev.Order.Service, Version: ev.Order.Target, Outcome: "failed", Detail: ev.Detail})
	}
}

// logRollout logs a change of a roll-out.
func (s *State) logRollout(ro *Rollout, change string, now time.Time) {
	record := LogRecord{Event: "rollout", Subject: ro.Order.Service, Version: ro.Order.Target, Outcome: change, Kind: ro.State.String(), Elapsed: now.Sub(ro.BegunAt)}
	if change == "judged" {
		record.Detail = ro.Finding.String()
	}
	if change == "stage" {
		record.Detail = ro.Stage.String()
	}
	s.emit(record)
}

// handleRolloutEvent applies an event of the platform adapter about roll-outs.
func (s *State) handleRolloutEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case RolloutsListed:
		s.markStoreUp(now)
		s.handleRolloutsListed(ev, now)
	case RolloutStatusStored:
		s.markStoreUp(now)
		s.handleRolloutStatusStored(ev, now)
	case RolloutStatusFailed:
		s.handleRolloutStatusFailed(ev, now)
	}
}

// rewriteRollouts has the statuses written again, which the store of a new era may lack. A status that is there stays.
func (s *State) rewriteRollouts() {
	for _, ro := range s.Rollouts.ByService {
		ro.IsWritten, ro.WriteAt = false, time.Time{}
	}
}
