package dtrollout

import "time"

// Order asks for the traffic of a service to move to the servers of a version.
type Order struct {
	Service  string
	Target   string // Software version.
	Duration time.Duration
	Revision uint64 // Of its entry in the store, which tells it from other orders.
}

// Bounds limit what a bad version may do.
type Bounds struct {
	ExposureShare     float64       // Highest share of the service's requests that a bad version may get.
	ExposureTolerance float64       // Requests of all routers together allowed in addition.
	Rollback          time.Duration // Time after the fiftieth bad response after which no request may be sent.
}

// Defaults for bounds that the settings omit.
const (
	defaultExposureShare     = 0.1
	defaultExposureTolerance = 50
	defaultRollback          = 5 * time.Second
)

// WithDefaults returns the bounds with defaults for those that are zero.
func (b Bounds) WithDefaults() Bounds {
	if b.ExposureShare <= 0 {
		b.ExposureShare = defaultExposureShare
	}
	if b.ExposureTolerance <= 0 {
		b.ExposureTolerance = defaultExposureTolerance
	}
	if b.Rollback <= 0 {
		b.Rollback = defaultRollback
	}
	return b
}

// State is what is decided of a roll-out; a later one replaces an earlier one.
type State uint8

// States of a roll-out.
const (
	StateActive   State = iota // The share of the target follows from the evidence.
	StateComplete              // All traffic has moved to the target.
	StateReverted              // The target is bad and gets no request.
)

// String returns the name of the state in logs and on the wire.
func (s State) String() string { return [...]string{"active", "complete", "reverted"}[s] }

// StateNamed returns the state with a name.
func StateNamed(name string) (State, bool) {
	for state := StateActive; state <= StateReverted; state++ {
		if state.String() == name {
			return state, true
		}
	}
	return StateActive, false
}
