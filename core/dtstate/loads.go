package dtstate

import "time"

// scheduleLoads schedules a load report to the other owners of a group when the owned
// servers' loads have changed enough.
func (s *State) scheduleLoads(g *ServerGroup, now time.Time) {
	if len(g.Owned) == 0 || g.loadsTimerSet || !s.mustSendLoads(g, now) {
		return
	}
	interval := time.Duration(len(s.loadTargets(g)) * int(loadsIntervalPerTarget))
	wait := g.loadsSentAt.Add(max(minLoadsInterval, interval)).Sub(now)
	g.loadsTimerSet = true
	s.setTimer(now, max(wait, 0), timerLoads, g.Name, 0)
}

func (s *State) mustSendLoads(g *ServerGroup, now time.Time) bool {
	if now.Sub(g.loadsSentAt) >= fullLoadsInterval {
		return true
	}
	for _, sv := range g.Owned {
		if loadDiffers(&sv.Load, &sv.Owned.lastSentLoad) {
			return true
		}
	}
	return false
}

// loadDiffers reports whether a load has changed materially. With few requests in flight
// the load bound leaves room for one more, so a change of one does not count.
func loadDiffers(a, b *ServerLoad) bool {
	if a.Flags != b.Flags || a.Cap != b.Cap {
		return true
	}
	if max(a.InFlight, b.InFlight) <= maxFewInFlight {
		return absDiff(a.InFlight, b.InFlight) > 1
	}
	return changedMaterially(a.InFlight, b.InFlight) || changedMaterially(a.Work, b.Work)
}

func absDiff(a, b uint32) uint32 { return max(a, b) - min(a, b) }

// changedMaterially reports whether a and b differ by more than their maximum divided by
// loadChangeDivisor.
func changedMaterially(a, b uint32) bool { return absDiff(a, b) > max(a, b)/loadChangeDivisor }

// loadTargets returns the routers that place requests at the servers of a group or take
// them over; under a policy without a load bound, any serving router may place them.
func (s *State) loadTargets(g *ServerGroup) []RouterID {
	if !s.placementRanker().limitsLoad() {
		return s.Members.Serving
	}
	var targets []RouterID
	seen := map[RouterID]bool{s.Settings.Self: true, "": true}
	for _, sv := range g.Servers {
		ids := []RouterID{sv.Shard.Owner}
		if sv.Owned != nil {
			ids = append(ids, sv.Shard.Backup)
		}
		for _, id := range ids {
			if !seen[id] {
				seen[id] = true
				targets = append(targets, id)
			}
		}
	}
	return targets
}

// sendLoads sends the loads that have changed since they were last sent, or all of them in
// each fullLoadsInterval, and serves the queue.
func (s *State) sendLoads(group string, now time.Time) {
	g := s.Fleet.Groups[group]
	if g == nil {
		return
	}
	g.loadsTimerSet = false
	all := now.Sub(g.loadsSentAt) >= fullLoadsInterval
	g.loadsSentAt = now
	loads := &Loads{}
	for _, sv := range g.Owned {
		if all || loadDiffers(&sv.Load, &sv.Owned.lastSentLoad) {
			sv.Owned.lastSentLoad = sv.Load
			loads.Servers = append(loads.Servers, sv.Load)
		}
	}
	if len(loads.Servers) == 0 {
		return
	}
	for _, to := range s.loadTargets(g) {
		if to != s.Settings.Self {
			s.send(to, loads, now)
		}
	}
	s.serveQueue(g, now)
}
