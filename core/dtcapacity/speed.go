package dtcapacity

import (
	"math"
	"time"
)

// Parameters of the estimate of a server's speed.
const (
	// statementPeriod is the time constant with which a statement gives way to the mean of the server's statements. The
	// speed of a host changes each 600 ms or faster, so that a statement tells little after that.
	statementPeriod = 400 * time.Millisecond
	maxStatements   = 20               // Number of statements over which the mean is taken.
	meanPeriod      = 30 * time.Second // Time constant with which a mean without new statements gives way to the usual speed.
	maxStatementAge = 15 * time.Second // A server counts as one that states its speed for this long.
	excessWeight    = 0.1              // Weight of the latest measurement in the moving average.
	excessPeriod    = 10 * time.Second // Time constant with which measurements lose weight.
	// minExcess is the least excess that counts, since the times of single requests differ by as much.
	minExcess    = 1.5
	maxExcess    = 4.0
	maxTimeRatio = 8.0 // Of one measurement.
)

// Speed is how long work takes at one server, as a multiple of the usual time: what the server states, and how much longer
// requests took there than at others.
type Speed struct {
	Stated     float64 // Last statement; zero if there is none.
	StatedAt   time.Time
	Mean       float64 // Of the last statements.
	Statements int     // That Mean contains, up to maxStatements.
	Excess     float64 // Moving average of the measured time over the expected one; zero if nothing was measured.
	MeasuredAt time.Time
}

// State records what the server stated at a time. A statement older than the last one is ignored.
func (s *Speed) State(slowdown float64, at time.Time) {
	if slowdown <= 0 || at.Before(s.StatedAt) {
		return
	}
	if s.Statements == 0 {
		s.Mean = 1 // Counts as one statement, so that the first one isn't taken for the mean.
	}
	s.Statements = min(s.Statements+1, maxStatements)
	s.Mean += (slowdown - s.Mean) / float64(s.Statements+1)
	s.Stated, s.StatedAt = slowdown, at
}

// Measure records that a request took a time at the server where others show that another was to be expected.
func (s *Speed) Measure(took, expected time.Duration, now time.Time) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1/maxTimeRatio), maxTimeRatio)
	s.Excess = 1 + s.excessAt(now) + excessWeight*(ratio-1-s.excessAt(now))
	s.MeasuredAt = now
}

// excessAt returns by how much the measured time exceeds the expected one, which fades without measurements.
func (s *Speed) excessAt(now time.Time) float64 {
	if s.Excess == 0 {
		return 0
	}
	return (s.Excess - 1) * fade(now.Sub(s.MeasuredAt), excessPeriod)
}

// IsStated reports whether the server states its speed.
func (s *Speed) IsStated(now time.Time) bool {
	return s.Stated > 0 && now.Sub(s.StatedAt) < maxStatementAge
}

// Slowdown returns the estimate of how long work takes at the server at now, as a multiple of the usual time.
func (s *Speed) Slowdown(now time.Time) float64 {
	slowdown := 1.0
	if s.Stated > 0 {
		age := now.Sub(s.StatedAt)
		mean := 1 + (s.Mean-1)*fade(age, meanPeriod)
		slowdown = mean + (s.Stated-mean)*fade(age, statementPeriod)
	}
	if excess := 1 + s.excessAt(now); excess >= minExcess {
		slowdown *= min(excess, maxExcess)
	}
	return slowdown
}

// fade returns the weight of what is known since age, 1 to 0.
func fade(age, period time.Duration) float64 {
	return math.Exp(-max(age.Seconds(), 0) / period.Seconds())
}
