package dtdispatch

import "time"

// Parameters of the failure tracking of servers.
const (
	failureRateWeight      = 0.3                    // Weight of the latest result in the moving average.
	maxFailureRate         = 0.55                   // Failure rate at which a server is avoided.
	minAvoidPeriod         = 500 * time.Millisecond // First avoidance period; doubled with each further one.
	maxAvoidPeriod         = 4 * time.Second        // Longest avoidance period. The next request after each period is a trial.
	unreachableAvoidPeriod = 700 * time.Millisecond // Avoidance period of an unreachable server.
)

// ServerHealth tracks the results of attempts on one server, in the manner of a circuit
// breaker.
type ServerHealth struct {
	FailureRate float64 // Moving average of failed results, 0 to 1.
	AvoidUntil  time.Time
	AvoidPeriod time.Duration
	HalfOpen    bool      // The next result decides whether the server is avoided again.
	DownAt      time.Time // When the server was last down, until it is known not to have restarted since.
	LostAt      time.Time // When it last dropped a connection, likewise.
	UnlistedAt  time.Time // When it last named another start than the listed one.
	UnseenAt    time.Time // Until when it may have been down without this router seeing it, likewise.
}

// IsAvoided reports whether the server is to be avoided at now.
func (h *ServerHealth) IsAvoided(now time.Time) bool { return now.Before(h.AvoidUntil) }

// missedAt returns when the server was last down or may have been, or the zero time.
func (h *ServerHealth) missedAt() time.Time { return later(h.DownAt, h.UnseenAt) }

// clearLosses records that the server is known not to have restarted.
func (h *ServerHealth) clearLosses() {
	h.DownAt, h.LostAt, h.UnseenAt = time.Time{}, time.Time{}, time.Time{}
}

// RecordFailure records a failed attempt.
func (h *ServerHealth) RecordFailure(now time.Time) {
	h.FailureRate += failureRateWeight * (1 - h.FailureRate)
	if h.FailureRate < maxFailureRate && !h.HalfOpen {
		return
	}
	h.AvoidPeriod = min(max(2*h.AvoidPeriod, minAvoidPeriod), maxAvoidPeriod)
	h.AvoidUntil = now.Add(h.AvoidPeriod)
	h.HalfOpen = true
}

// RecordUnreachable records that the server could not be reached: it accepted no connection,
// acknowledged no data, or another server responded at its address.
func (h *ServerHealth) RecordUnreachable(now time.Time) {
	h.AvoidUntil = now.Add(unreachableAvoidPeriod)
	h.HalfOpen = true
}

// RecordSuccess records a successful attempt.
func (h *ServerHealth) RecordSuccess() {
	h.FailureRate -= failureRateWeight * h.FailureRate
	h.HalfOpen = false
	if h.FailureRate < maxFailureRate {
		h.AvoidPeriod = 0
	}
}
