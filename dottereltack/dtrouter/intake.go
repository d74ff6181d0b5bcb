package dtrouter

import (
	"strconv"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// newBudget returns the budget of callers' connections and requests, with its metrics.
func (r *Router) newBudget() *dtbudget.Budget {
	const mebibyte = 1 << 20
	limits := dtintake.LimitsFor(dtbudget.LimitsOrMachine(int64(r.Host.MemoryMB)*mebibyte, r.Host.MaxDescriptors))
	b := dtbudget.New(limits, dtbudget.WithObserver(r))
	b.Register(r.Meter.Set, limits)
	return b
}

// ObserveClosing counts and records a connection that is closed, or a request that is refused, for lack of room.
func (r *Router) ObserveClosing(c dtbudget.Closed) {
	r.Meter.CountClosing(c.Reason.String(), c.Stage.String())
	r.recordEvent("caller_closed", c.Peer, "", c.Reason.String()+": "+c.Stage.String()+", "+strconv.FormatInt(c.Bytes, 10)+" bytes, "+c.Stalled.String()+" without progress")
}
