package dtdispatch

import "time"

// maxRetryDoublings limits the exponential backoff.
const maxRetryDoublings = 4

// minPollRetryDelay is the delay after a failed call; it is doubled with each further failure.
const minPollRetryDelay = 250 * time.Millisecond

// Polling is the state of repeated calls to the store, of which one at a time is in progress.
type Polling struct {
	InProgress bool
	StartedAt  time.Time // Start of the last call.
	NextAt     time.Time // Earliest start of the next call.
	Failures   int       // Number of consecutive failed calls.
	FailedAt   time.Time // Time of the last failed call.
}

// Begin records that a call starts.
func (p *Polling) Begin(now time.Time) { p.InProgress, p.StartedAt = true, now }

// Succeed records the end of a call, after which the next may start at nextAt.
func (p *Polling) Succeed(nextAt time.Time) { *p = Polling{StartedAt: p.StartedAt, NextAt: nextAt} }

// Fail records a failed call.
func (p *Polling) Fail(now time.Time) {
	p.InProgress, p.FailedAt = false, now
	p.Failures++
}

// RetryTime returns the earliest time of the next call after failed ones, or the zero time. The delay
// is at most maxDelay, which may change while the router waits.
func (p *Polling) RetryTime(maxDelay time.Duration) time.Time {
	if p.Failures == 0 {
		return time.Time{}
	}
	return p.FailedAt.Add(min(minPollRetryDelay<<min(p.Failures-1, maxRetryDoublings), maxDelay))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
