package dtgate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// callerCheckInterval is how often the connection of a caller is checked for its end. The HTTP library reads nothing from it while
// a request is served.
const callerCheckInterval = 100 * time.Millisecond

// outcomeCallerGone is the outcome of a request whose caller has left, in metrics.
const outcomeCallerGone = "caller_gone"

// watchCaller has the current attempt end once the caller has left. It must be called before the request is submitted.
func (x *exchange) watchCaller() {
	if x.caller == nil {
		return
	}
	x.isWatched = true
	go func() {
		ticker := time.NewTicker(callerCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-x.ctx.Done():
				return
			case <-ticker.C:
				if dtsocket.HasPeerClosed(x.caller) {
					x.cancel()
				}
			}
		}
	}()
}

// hasCallerLeft reports whether a watched caller has left.
func (x *exchange) hasCallerLeft() bool {
	return x.isWatched && (x.ctx.Err() != nil || dtsocket.HasPeerClosed(x.caller))
}

// outcomeOf returns the outcome of an attempt that has ended with o, which the departure of the caller may have caused.
func (x *exchange) outcomeOf(o dtstate.Outcome) dtstate.Outcome {
	if x.isWatched && x.ctx.Err() != nil {
		return dtstate.OutcomeCallerGone
	}
	return o
}

// outcomeWithoutResponse returns the outcome of a request whose caller is told nothing, for metrics.
func (x *exchange) outcomeWithoutResponse() string {
	if x.isLeft {
		return outcomeCallerGone
	}
	return "abandoned"
}
