package dtdispatch

import (
	"slices"
	"time"
)

// maxRoomWait is the longest time for which a request waits for room at brittle servers. They let few requests wait
// themselves, and a router knows best which of its own requests has just made room.
const maxRoomWait = 500 * time.Millisecond

// waitForRoom has a request wait if all that it lacks is room at brittle servers and the requests that wait already will
// soon have it.
func (s *State) waitForRoom(r *Request, now time.Time) bool {
	if len(s.BrittleServers) == 0 || s.Shutdown.Ending || s.nextAvailability(r, now).Block != BlockBrittle {
		return false
	}
	if r.WaitsUntil.IsZero() {
		if len(s.RoomWaits) >= s.maxRoomWaits(r.Service) {
			return false
		}
		r.WaitsUntil = earlier(now.Add(maxRoomWait), r.Deadline.Add(-minTimeForRetry))
	}
	if !now.Before(r.WaitsUntil) {
		return false
	}
	s.RoomWaits = append(s.RoomWaits, r.Number)
	s.RoomShortAt = now
	return true
}

// maxRoomWaits returns how many requests may wait for room: as many as this router has in flight on the servers of
// the service.
func (s *State) maxRoomWaits(service string) int {
	own := 0
	for _, server := range s.Roster.ByService[service] {
		if load := s.Loads[server.ID]; load != nil {
			own += load.Local
		}
	}
	return max(own, 1)
}

// endRoomWaits sends the requests for which there is room, in the order of their waits, and gives up those that have
// waited for long enough.
func (s *State) endRoomWaits(now time.Time) {
	waits := s.RoomWaits
	s.RoomWaits = nil
	var full []string // Services at which a request waits on.
	for _, number := range waits {
		r := s.Requests[number]
		switch {
		case r == nil:
		case s.Shutdown.Ending:
			s.giveUp(r, ReasonStopping, now)
		case !now.Before(r.Deadline): // The router has stood still.
			s.giveUp(r, ReasonBrittleServers, now)
		case now.Before(r.WaitsUntil) && slices.Contains(full, r.Service):
			s.RoomWaits = append(s.RoomWaits, number)
		default:
			s.startAttempt(r, ReasonNoServer, now)
			if slices.Contains(s.RoomWaits, number) {
				full = append(full, r.Service)
			}
		}
	}
}

// nextRoomWaitAt returns when room is to be looked for again unless a request ends before, or the zero time.
func (s *State) nextRoomWaitAt(now time.Time) time.Time {
	if len(s.RoomWaits) == 0 {
		return time.Time{}
	}
	first := s.Requests[s.RoomWaits[0]]
	next := first.WaitsUntil
	for _, server := range s.Roster.ByService[first.Service] {
		if s.BrittleServers[server.ID] != nil {
			return earlier(next, s.roomQuery(server, now).nextTurnAt())
		}
	}
	return next
}
