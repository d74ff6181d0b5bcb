package dtrouter

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
)

// Control is the loop that owns the router's state.
type Control = dtloop.Loop[*dtstate.State, dtstate.Event, dtstate.Effect]

// NewControl returns a control loop that queues up to capacity new requests. All other
// events have a queue of their own.
func NewControl(s *dtstate.State, capacity int) *Control {
	return dtloop.New(s, dtloop.Waker[dtstate.Event, dtstate.Effect]{Deadline: wakeAt, Event: dtstate.Woke{}}, capacity)
}

// wakeAt returns the time of a WakeAt effect.
func wakeAt(e dtstate.Effect) (time.Time, bool) {
	w, ok := e.(dtstate.WakeAt)
	return w.At, ok
}
