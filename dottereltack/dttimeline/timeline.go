package dttimeline

import (
	"sync"
	"time"
)

// Event is one entry of a timeline.
type Event struct {
	Time    uint64 `json:"time"` // Hybrid logical timestamp; see Clock.
	Router  string `json:"router"`
	Step    string `json:"step"`
	Peer    string `json:"peer,omitempty"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// logicalBits is the number of low bits of a timestamp that count the events of one
// millisecond.
const logicalBits = 16

// WallTime returns the wall-clock part of a hybrid timestamp.
func WallTime(hybrid uint64) time.Time { return time.UnixMilli(int64(hybrid >> logicalBits)) }

// FromWallTime returns the smallest hybrid timestamp of a wall time.
func FromWallTime(wall time.Time) uint64 { return uint64(wall.UnixMilli()) << logicalBits }

// Clock is a hybrid logical clock whose timestamps combine wall time in milliseconds and a
// counter.
type Clock struct {
	mu   sync.Mutex
	last uint64
}

// Now returns a timestamp greater than all that the clock has returned or observed.
func (c *Clock) Now(wall time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, uint64(wall.UnixMilli())<<logicalBits)
	return c.last
}

// maxClockSkewMs bounds how far a peer's timestamp may move this clock ahead of wall time.
const maxClockSkewMs = 60_000

// Observe advances the clock to a timestamp received from a peer, unless that is too far
// ahead of wall time.
func (c *Clock) Observe(t uint64, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t>>logicalBits < uint64(wall.UnixMilli())+maxClockSkewMs {
		c.last = max(c.last, t)
	}
}

// Ring keeps the latest events of a process.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewRing returns a ring with room for n events.
func NewRing(n int) *Ring { return &Ring{events: make([]Event, n)} }

// Add adds an event and drops the oldest one if the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the events at or after a hybrid timestamp, oldest first.
func (r *Ring) Events(since uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	out = append(out, r.events[:r.next]...)
	for i := range out {
		if out[i].Time >= since {
			return out[i:]
		}
	}
	return nil
}
