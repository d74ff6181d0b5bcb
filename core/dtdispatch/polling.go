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
	RetryAt    time.Time // Earliest retry after a failed call.
}

// Begin records that a call starts.
func (p *Polling) Begin(now time.Time) { p.InProgress, p.StartedAt = true, now }

// Succeed records the end of a call, after which the next may start at nextAt.
func (p *Polling) Succeed(nextAt time.Time) { *p = Polling{StartedAt: p.StartedAt, NextAt: nextAt} }

// Fail records a failed call and delays the next one, by maxDelay at most.
func (p *Polling) Fail(maxDelay time.Duration, now time.Time) {
	p.InProgress = false
	p.RetryAt = now.Add(min(minPollRetryDelay<<min(p.Failures, maxRetryDoublings), maxDelay))
	p.Failures++
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
