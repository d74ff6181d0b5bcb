package dtrouter

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
)

// Loop is the reducer's loop of a Router.
type Loop = dtloop.Loop[*dtstate.State, dtstate.Event, dtstate.Effect]

// NewLoop returns a loop that queues up to capacity new requests and queues all other events
// separately.
func NewLoop(s *dtstate.State, capacity int) *Loop {
	return dtloop.New(s, dtloop.TimerBinding[dtstate.Event, dtstate.Effect]{Deadline: timerDeadline, Event: dtstate.TimerFired{}}, capacity)
}

// timerDeadline returns the time of a SetTimer effect, or false for other effects.
func timerDeadline(e dtstate.Effect) (time.Time, bool) {
	t, ok := e.(dtstate.SetTimer)
	return t.At, ok
}
