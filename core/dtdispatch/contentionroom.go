package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtadmission"
)

// slotMarginDivisor is the part of its slots by which a server may have more requests in flight before it has no room. Loads are
// out of date by the time of a message, and a server that is exactly full then has free slots.
const slotMarginDivisor = 8

// roomAt returns what this router knows of the room at the servers of a service.
func (s *State) roomAt(service string, c *Contention, now time.Time) *dtadmission.Room {
	if c.RoomAt.IsZero() || now.Sub(c.RoomAt) >= maxRoomAge {
		c.Room, c.RoomAt = s.serviceRoom(service, now), now
	}
	c.Room.IsQueued = c.Queue.Len > 0
	return &c.Room
}

// serviceRoom adds up the slots of the servers that may be sent requests and the loads that are known of them. A server
// that has not said how many slots it has counts as one with room.
func (s *State) serviceRoom(service string, now time.Time) dtadmission.Room {
	view := s.loadView(now)
	room := dtadmission.Room{Routers: s.RouterCount()}
	for _, server := range s.roomServers(service) {
		if s.availability(server, now).Block != BlockNone || s.isAvoided(server, now) {
			continue
		}
		slots, inFlight := server.Slots+server.Slots/slotMarginDivisor, view.InFlight(server)
		if slots <= 0 {
			slots = unknownSlots
		}
		room.Slots += slots
		room.InFlight += inFlight
		room.Free += max(slots-inFlight, 0)
		room.Told += s.toldOf(server)
		if load := s.Loads[server.ID]; load != nil {
			room.Own += load.Local
		}
	}
	room.Offset = s.roomOffset(service, view.Lag, room.Routers, now)
	return room
}

// toldOf returns as many of this router's requests on a server as others reckon with.
func (s *State) toldOf(server *Server) int {
	if s.Membership.IsLarge() {
		return s.FleetLoad.Told(server.Ref())
	}
	return s.Peers.lastStatus.InFlight[server.Ref()]
}

// roomOffset returns the position of this router among those to which the rest of the free slots goes; it moves on by one
// each time the loads may have become known.
func (s *State) roomOffset(service string, lag time.Duration, routers int, now time.Time) int {
	turn := now.UnixMilli() / max(lag.Milliseconds(), 1)
	return int((HashString(s.Settings.RouterName+" "+service) + uint64(turn)) % uint64(routers))
}
