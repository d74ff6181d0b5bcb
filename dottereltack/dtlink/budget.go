package dtlink

import (
	"sync"
	"time"
)

// Budget is a token bucket that limits the control traffic of a router; when it runs low, load
// messages are shed first, then gossip, but never heartbeats and configuration.
type Budget struct {
	BytesPerSecond float64 // Zero means no limit.
	mu             sync.Mutex
	availableBytes float64
	refilledAt     time.Time
}

// burstSeconds is the capacity of the budget, in seconds of its rate.
const burstSeconds = 2

// NewBudget returns a full budget; zero bytesPerSecond means no limit.
func NewBudget(bytesPerSecond int, now time.Time) *Budget {
	return &Budget{BytesPerSecond: float64(bytesPerSecond), availableBytes: float64(bytesPerSecond) * burstSeconds, refilledAt: now}
}

// reservedFraction returns the fraction of the capacity that messages of a kind must leave to
// other kinds, or -1 if the kind may overdraw the budget. Load and gossip messages may be
// shed, because later ones of the same kind make up for a lost one.
func reservedFraction(kind string) float64 {
	switch kind {
	case "load":
		return 0.5
	case "digest":
		return 0.25
	}
	return -1 // Heartbeats and configuration.
}

// Allow takes bytes from the budget for a message of a kind, or returns false if the
// message is to be shed.
func (b *Budget) Allow(kind string, bytes int, now time.Time) bool {
	if b.BytesPerSecond == 0 || !isLimited(kind) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.BytesPerSecond * burstSeconds
	b.availableBytes = min(b.availableBytes+now.Sub(b.refilledAt).Seconds()*b.BytesPerSecond, capacity)
	b.refilledAt = now
	reserved := reservedFraction(kind)
	if reserved >= 0 && b.availableBytes-float64(bytes) < reserved*capacity {
		return false
	}
	b.availableBytes = max(b.availableBytes-float64(bytes), -capacity)
	return true
}

// isLimited reports whether a message kind counts against the budget. Traffic of the
// other kinds grows with the request rate.
func isLimited(kind string) bool {
	switch kind {
	case "heartbeat", "digest", "load", "config":
		return true
	}
	return false
}
