package dtlink

import (
	"sync"
	"time"
)

// Budget is a token bucket that limits the control traffic of a router. When it runs
// low, message kinds whose loss later messages repair are shed first; heartbeats and
// configuration are never shed.
type Budget struct {
	BytesPerSecond float64
	mu             sync.Mutex
	available      float64
	refilledAt     time.Time
}

// burstSeconds is the capacity of the budget, in seconds of its rate.
const burstSeconds = 2

// NewBudget returns a full budget with a rate in bytes per second; zero means no limit.
func NewBudget(rate int, now time.Time) *Budget {
	return &Budget{BytesPerSecond: float64(rate), available: float64(rate) * burstSeconds, refilledAt: now}
}

// reservedFraction returns the fraction of the capacity that messages of a kind must
// leave to other kinds, or -1 if the kind may overdraw the budget.
func reservedFraction(kind string) float64 {
	switch kind {
	case "load":
		return 0.5
	case "digest":
		return 0.25
	}
	return -1 // Heartbeats, configuration and drains.
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
	b.available = min(b.available+now.Sub(b.refilledAt).Seconds()*b.BytesPerSecond, capacity)
	b.refilledAt = now
	reserved := reservedFraction(kind)
	if reserved >= 0 && b.available-float64(bytes) < reserved*capacity {
		return false
	}
	b.available = max(b.available-float64(bytes), -capacity)
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
