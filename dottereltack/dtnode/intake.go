package dtnode

import (
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// ObserveClosing counts and logs a connection that is closed, or a request that is refused, for lack of room.
func (n *Node) ObserveClosing(c dtbudget.Closed) {
	n.Meter.CountClosing(c.Reason.String(), c.Stage.String())
	if c.Reason == dtintake.ReasonNoMemory {
		n.Meter.CountRefusal(c.Reason.String(), ran(false))
	}
	fields := []any{"step", "caller_closed", "peer", c.Peer, "reason", c.Reason.String(), "stage", c.Stage.String(), "bytes", c.Bytes, "stalled_ms", c.Stalled.Milliseconds()}
	if c.Request != "" {
		fields = append(fields, "request", c.Request)
	}
	n.Log.Warn("event", fields...)
}
