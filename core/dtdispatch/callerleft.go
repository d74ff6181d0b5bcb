package dtdispatch

import (
	"slices"
	"time"
)

// handleCallerLeft removes a request that is held or waits. One that is at a server ends with its attempt.
func (s *State) handleCallerLeft(ev CallerLeft, now time.Time) {
	r := s.removeHeld(ev.Number)
	if r == nil {
		r = s.removeWaiting(ev.Number, now)
	}
	if r == nil {
		return
	}
	s.emit(AbortResponse{Number: r.Number})
	s.finish(r, ReasonCallerGone.String(), 0, now)
}

// removeHeld removes a request that has not been admitted yet, and returns it, or nil if none is held.
func (s *State) removeHeld(n RequestNumber) *Request {
	for _, held := range []*[]RequestArrived{&s.Resume.Held, &s.StreamVersions.Held} {
		i := slices.IndexFunc(*held, func(ev RequestArrived) bool { return ev.Number == n })
		if i >= 0 {
			ev := (*held)[i]
			*held = slices.Delete(*held, i, i+1)
			return &Request{Number: n, ID: ev.ID, ArrivedAt: ev.HeaderReadAt}
		}
	}
	i := slices.IndexFunc(s.Startup.Held, func(h StartupRequest) bool { return h.Number == n })
	if i < 0 {
		return nil
	}
	ev := s.Startup.Held[i].RequestArrived
	s.Startup.Held = slices.Delete(s.Startup.Held, i, i+1)
	return &Request{Number: n, ID: ev.ID, ArrivedAt: ev.HeaderReadAt}
}

// removeWaiting removes a request from those that wait for room at servers, and returns it, or nil if it does not wait.
func (s *State) removeWaiting(n RequestNumber, now time.Time) *Request {
	r := s.Requests[n]
	if r == nil {
		return nil
	}
	if i := slices.Index(s.RoomWaits, n); i >= 0 {
		s.RoomWaits = slices.Delete(s.RoomWaits, i, i+1)
		return r
	}
	if s.Contention[r.Service] == nil {
		return nil
	}
	w, isWaiting := s.Contention[r.Service].Queue.Remove(uint64(n))
	if !isWaiting {
		return nil
	}
	s.logWait(r, &w, ReasonCallerGone.String(), now)
	return r
}
