package dtstate

import (
	"slices"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// maxHomeWaiters bounds the requests of a group that wait for their home servers.
const maxHomeWaiters = 256

// HomeWaiter is a slot request that waits briefly for its chat's home server, because
// processing the prompt again elsewhere would take longer.
type HomeWaiter struct {
	SlotRequest *SlotRequest
	Home        ServerID
	Until       time.Time
}

// waitForHome lets a request wait for its home server, if this router owns that server
// and it is warm but does not admit the request now; it reports whether the request
// waits.
func (s *State) waitForHome(g *ServerGroup, req *SlotRequest, now time.Time) bool {
	og := s.Owner.group(g.Name)
	wait := s.homeWaitTimeout(g)
	groupConfig, _ := s.Config.Group(g.Name)
	if wait == 0 || req.Hops > 0 || groupConfig.Kind != dtconfig.KindEngine || len(og.HomeWaiters) >= maxHomeWaiters {
		return false
	}
	home := rendezvousRanker{}.first(s, g, req.Chat, now)
	if home == nil || home.Owned == nil || home.Load.Flags != 0 || containsServer(req.TriedServers, home.ID) || og.hasDuplicate(req.Digest, now) {
		return false
	}
	p := s.newPlacement(g, og, req, now)
	if !p.limitsLoad || s.admits(g, home, &p) {
		return false
	}
	og.HomeWaiters = append(og.HomeWaiters, HomeWaiter{SlotRequest: req, Home: home.ID, Until: now.Add(wait)})
	s.setTimer(now, wait, timerHomeWait, g.Name, 0)
	s.send(req.EntryRouter, &SlotQueued{Request: req.Request, Attempt: req.Attempt}, now)
	return true
}

// waitsForHome reports whether a request waits for its home server.
func (g *OwnedGroup) waitsForHome(key SlotKey) bool {
	return slices.ContainsFunc(g.HomeWaiters, func(w HomeWaiter) bool {
		return w.SlotRequest.Request == key.Request && w.SlotRequest.Attempt == key.Attempt
	})
}

// homeWaitTimeout returns how long a request may wait for its home server. The time is
// shorter in a group with little load, whose other servers can process the prompt again.
func (s *State) homeWaitTimeout(g *ServerGroup) time.Duration {
	const busyMean = 4.0 // Mean requests in flight from which the full wait applies.
	mean := float64(g.TotalInFlight) / float64(max(g.ReadyCount, 1))
	wait := time.Duration(s.Config.Limits().MaxHomeWaitMs) * time.Millisecond
	return time.Duration(float64(wait) * min(1, mean/busyMean)).Truncate(time.Millisecond)
}

// serveHomeWaiters grants freed slots to requests that wait for their home server.
func (s *State) serveHomeWaiters(g *ServerGroup, og *OwnedGroup, now time.Time) {
	waiters := og.HomeWaiters
	og.HomeWaiters = nil
	var kept []HomeWaiter
	for _, waiter := range waiters {
		if !s.grantAtHome(g, og, &waiter, now) {
			kept = append(kept, waiter)
		}
	}
	og.HomeWaiters = append(kept, og.HomeWaiters...)
}

// grantAtHome grants a waiting request a slot at its home server, if that admits it now,
// and reports whether it did.
func (s *State) grantAtHome(g *ServerGroup, og *OwnedGroup, waiter *HomeWaiter, now time.Time) bool {
	home := s.Fleet.Servers[waiter.Home]
	if home == nil || home.Owned == nil || og.hasDuplicate(waiter.SlotRequest.Digest, now) || s.crashCount(waiter.SlotRequest.Digest) > 0 {
		return false
	}
	p := s.newPlacement(g, og, waiter.SlotRequest, now)
	if s.denialReason(g, waiter.SlotRequest) != ReasonNone || !s.admits(g, home, &p) {
		return false
	}
	s.grantSlot(g, home, waiter.SlotRequest, now)
	return true
}

// handleHomeWaitTimer places, queues or denies the requests whose wait for the home server
// is over.
func (s *State) handleHomeWaitTimer(group string, now time.Time) {
	og := s.Owner.group(group)
	g := s.Fleet.Groups[group]
	var due []HomeWaiter
	og.HomeWaiters = slices.DeleteFunc(og.HomeWaiters, func(waiter HomeWaiter) bool {
		if waiter.Until.After(now) {
			return false
		}
		due = append(due, waiter)
		return true
	})
	for _, waiter := range due {
		s.placeOrEnqueue(g, waiter.SlotRequest, now)
	}
}
