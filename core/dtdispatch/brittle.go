package dtdispatch

import (
	"cmp"
	"math"
	"time"
)

// Parameters of brittle servers. One that turns away more requests for want of room than it has named within
// refusalPeriod falls over, whichever routers sent them.
const (
	refusalPeriod      = time.Second
	refusalTransit     = 100 * time.Millisecond // Within which a refusal reaches its router, and a status its peers.
	roomGrowthInterval = time.Second            // Interval at which the room that a refusal has shown grows by one request.
	roomRankInterval   = time.Second            // Interval at which the rank of a router is calculated.
	unknownSlots       = 1 << 16                // Assumed of a server that has not said how many it has.
	// Times the routers that are expected to want room in a turn that a server reckons with which bears one refusal.
	rivalMargin = 20
	// Refusals that a server must bear for routers to take room until the end of a turn. The others do not know of it when
	// the next turn begins.
	lateGrowthRefusals = 5
)

// Brittleness is how many requests a second a server may turn away for want of room before it falls over.
type Brittleness struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names to save space.
	MaxRefusals float64
	IsSet       bool // The server has said that it is brittle.
}

// BrittleServer is a server that has said that it is brittle, and what this router has sent it of late.
type BrittleServer struct {
	Brittleness  Brittleness
	ObservedAt   time.Time // Time of the response that said so.
	IsOwn        bool      // The response was to this router.
	Seq          uint64    // Order in which changes and refusals became known.
	Slots        int       // As in its last load report; zero if unknown.
	RefusedAt    time.Time // Time of the last refusal for want of room, at any router.
	IsOwnRefusal bool      // The refusal was to this router.
	Room         int       // Requests in flight that it had room for then.
	Turn         int64     // Number of the last turn in which this router has sent more than others knew of.
	Growth       int       // How many more in that turn.
	Rank         int       // Position of this router among those that share the server, from 0.
	RankSetAt    time.Time
}

// RoomQuery is what a router knows when it asks whether a brittle server has room for a request.
type RoomQuery struct {
	Slots    int
	InFlight int           // Requests believed to be in flight, those of this router included.
	Own      int           // Those of this router.
	Told     int           // As many of its own as other routers reckon with.
	Routers  int           // Routers that share the server.
	Heard    int           // Those of them whose requests are known, this one included.
	Demand   float64       // Requests a second that this router has for the server.
	IsShort  bool          // A request of this router has had to wait for room lately.
	Lag      time.Duration // Time after which other routers reckon with a request.
	Now      time.Time
}

// Observe records what a response has said that arrived at observedAt, and reports whether it is news.
func (b *BrittleServer) Observe(brittleness Brittleness, isOwn bool, observedAt time.Time) bool {
	if observedAt.Before(b.ObservedAt) {
		return false
	}
	isNew := b.Brittleness != brittleness
	b.Brittleness, b.ObservedAt, b.IsOwn = brittleness, observedAt, isOwn
	return isNew
}

// ObserveRefusal records a refusal for want of room, and reports whether it is news. Messages make one that is known
// look a little later.
func (b *BrittleServer) ObserveRefusal(room int, isOwn bool, refusedAt time.Time) bool {
	if refusedAt.Sub(b.RefusedAt) <= refusalTransit {
		return false
	}
	b.RefusedAt, b.IsOwnRefusal, b.Room = refusedAt, isOwn, max(room, 1)
	return true
}

// HasRoom reports whether this router may send the server a request. What other routers reckon with it may
// have in flight again at any time; more only if the server is believed to have room and it is this router's turn.
func (b *BrittleServer) HasRoom(q *RoomQuery) bool {
	free := b.room(q) - q.InFlight
	switch {
	case free <= 0:
		return false
	case q.Own < q.Told:
		return true
	case q.Now.Sub(b.RefusedAt) < refusalPeriod+refusalTransit:
		return false
	}
	return b.hasTurn(free, q)
}

// CountRequest records that a request is sent to the server.
func (b *BrittleServer) CountRequest(q *RoomQuery) {
	if q.Own < q.Told {
		return
	}
	if turn, _ := q.turn(); turn != b.Turn {
		b.Turn, b.Growth = turn, 0
	}
	b.Growth++
}

// room returns the number of requests in flight that the server has room for. Routers that are not heard count as
// if they had their share of it.
func (b *BrittleServer) room(q *RoomQuery) int {
	slots := min(cmp.Or(q.Slots, unknownSlots), cmp.Or(b.Slots, unknownSlots))
	if !b.RefusedAt.IsZero() {
		slots = min(slots, b.Room+int(q.Now.Sub(b.RefusedAt)/roomGrowthInterval))
	}
	turn, _ := q.turn()
	return (slots*min(q.Heard, q.Routers) + b.offset(turn, q.Routers)) / q.Routers
}

// hasTurn reports whether this router may take a part of the free room before others know of it. The parts
// of the routers that may want it in one turn add up to the room that is free.
func (b *BrittleServer) hasTurn(free int, q *RoomQuery) bool {
	turn, isLate := q.turn()
	if isLate && q.Routers > 1 && b.Brittleness.MaxRefusals < lateGrowthRefusals {
		return false
	}
	growth := 0
	if turn == b.Turn {
		growth = b.Growth
	}
	rivals := b.rivals(q)
	return growth < (free+growth+b.offset(turn, rivals))/rivals
}

// rivals returns how many routers may want room of the server in one turn. Too low a number leads to refusals.
func (b *BrittleServer) rivals(q *RoomQuery) int {
	margin := max(rivalMargin/max(b.Brittleness.MaxRefusals, 1), 1)
	wanting := margin * q.Demand * q.turnLength().Seconds() * float64(q.Routers)
	if q.IsShort || wanting >= float64(q.Routers) {
		return q.Routers
	}
	return max(int(math.Ceil(wanting)), 1)
}

// offset rounds the part of this router up if it is one of those, others in each turn, to which the rest of a division
// by n routers goes.
func (b *BrittleServer) offset(turn int64, n int) int { return (b.Rank + int(turn)) % n }

// turnLength returns the time within which other routers come to know of a request.
func (q *RoomQuery) turnLength() time.Duration { return q.Lag + refusalTransit }

// turn returns the number of the present turn, and whether its second half has begun.
func (q *RoomQuery) turn() (number int64, isLate bool) {
	ms, length := q.Now.UnixMilli(), q.turnLength().Milliseconds()
	return ms / length, ms%length > length/2
}

// nextTurnAt returns when the next turn begins.
func (q *RoomQuery) nextTurnAt() time.Time {
	length := q.turnLength().Milliseconds()
	return q.Now.Add(time.Duration(length-q.Now.UnixMilli()%length) * time.Millisecond)
}

// routerRank returns the position, from 0, of a router among those that share a server; it differs from server to server.
func routerRank(server *Server, self string, routers []string) int {
	score := func(name string) uint64 { return Mix(server.IDHash, HashString(name)) }
	rank := 0
	for _, name := range routers {
		if cmp.Or(cmp.Compare(score(name), score(self)), cmp.Compare(name, self)) > 0 {
			rank++
		}
	}
	return rank
}
