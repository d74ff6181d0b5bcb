package dtrelay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// exchange is a caller's request and its response.
type exchange struct {
	relay              *Relay
	caller             *callerConn
	head               *RequestHead
	body               []byte
	info               RequestInfo
	number             dtdispatch.RequestNumber
	arrivedAt          time.Time
	effects            chan dtdispatch.Effect
	ctx                context.Context //nolint:containedctx // Canceled when the caller disconnects; lives as long as the exchange.
	closeAfterResponse bool            // Close the caller's connection after this response.

	fallback    *bufferedResponse // Error response of a server, forwarded if no further attempt is made.
	headSent    bool              // The head of the response has been sent.
	lastEventID string            // ID of the last event sent.
	endInDoubt  bool              // The last event sent may be the last of the stream: what followed was an end that nothing has proved.

	held heldBytes // Of Relay.bodies, for the bodies of responses; released at the end.

	mu                 sync.Mutex  // Guards the fields below.
	conn               *serverConn // Connection of the current attempt, or nil.
	witness            *serverConn // See openWitness.
	callerDisconnected bool
	isUndecided        bool // The reducer has the request and has still to say what is to be done.
}

// bufferedResponse is a backend server's response that has been read completely.
type bufferedResponse struct {
	status int
	fields []HeaderField
	body   []byte
}

// newExchange returns an exchange for a request that has been read completely.
func (r *Relay) newExchange(c *callerConn, h *RequestHead, body []byte) *exchange {
	return &exchange{
		relay: r, caller: c, head: h, body: body, info: r.dialect.ParseRequest(h),
		number: dtdispatch.RequestNumber(r.lastRequestNumber.Add(1)), arrivedAt: h.ReadAt,
		effects: make(chan dtdispatch.Effect, 1), closeAfterResponse: h.Close,
	}
}

// serve carries out the effects of the reducer until the request has ended.
func (x *exchange) serve() {
	x.relay.registerExchange(x)
	defer x.relay.unregisterExchange(x)
	defer func() { x.relay.bodies.release(x.held) }()
	x.lastEventID = x.info.LastEventID
	if x.hasCallerLeft() { // While the request was read, or the process stood still.
		x.closeAfterResponse = true
		return
	}
	if !x.relay.events.Offer(x.arrivedEvent()) {
		x.sendRefusal(dtdispatch.Refuse{Status: statusOverloaded, RetryAfter: overloadRetryAfter})
		return
	}
	for {
		switch e := x.awaitEffect().(type) {
		case dtdispatch.SendRequest:
			result := x.runAttempt(&e)
			x.relay.events.Post(result)
			if result.Outcome == dtdispatch.OutcomeCompleted || result.Outcome == dtdispatch.OutcomeCallerGone {
				return
			}
		case dtdispatch.Refuse:
			x.sendRefusal(e)
			return
		case dtdispatch.ForwardFailure:
			x.forwardResponse(x.fallback)
			return
		case dtdispatch.AbortResponse:
			x.closeAfterResponse = true
			return
		}
	}
}

// awaitEffect waits until the reducer says what is to be done. If the caller disconnects meanwhile, the reducer is told, as
// the request may wait for its turn.
func (x *exchange) awaitEffect() dtdispatch.Effect {
	if x.setUndecided(true) {
		x.reportCallerLeft()
	}
	e := <-x.effects
	x.setUndecided(false)
	return e
}

// setUndecided sets isUndecided and reports whether the caller has disconnected.
func (x *exchange) setUndecided(isUndecided bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isUndecided = isUndecided
	return x.callerDisconnected
}

// reportCallerLeft tells the reducer that the caller has disconnected, in the queue of the request, which Post would overtake.
func (x *exchange) reportCallerLeft() {
	ev := dtdispatch.CallerLeft{Number: x.number}
	if !x.relay.events.Offer(ev) {
		x.relay.events.Post(ev)
	}
}

// Refusal of requests while the event queue of the reducer is full.
const (
	statusOverloaded   = 503 // Service Unavailable.
	overloadRetryAfter = 300 * time.Millisecond
)

func (x *exchange) arrivedEvent() dtdispatch.RequestArrived {
	return dtdispatch.RequestArrived{
		Number: x.number, ID: x.info.ID, Host: x.head.Host, Path: x.head.Path, APIKey: x.info.APIKey,
		ResumeAfter: x.info.LastEventID, ResumesID: x.info.ResumesID, PromptParts: x.info.PromptParts, CallerTimeout: x.info.Timeout, Digest: x.requestDigest(), HeaderReadAt: x.arrivedAt,
	}
}

// requestDigest returns a hash that is equal for identical requests.
func (x *exchange) requestDigest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.head.Target)
	_, _ = d.WriteString("\n" + x.info.APIKey + "\n")
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// sendRefusal sends an error response of the router itself, without a body.
func (x *exchange) sendRefusal(e dtdispatch.Refuse) {
	fields := x.relay.dialect.RefusalFields(x.info.ID, e.RetryAfter)
	x.writeResponse(e.Status, fields, nil)
}

func (x *exchange) forwardResponse(resp *bufferedResponse) {
	x.writeResponse(resp.status, resp.fields, resp.body)
}

func (x *exchange) writeResponse(status int, fields []HeaderField, body []byte) {
	x.applyKeepAlive()
	if x.closeAfterResponse {
		fields = append(fields, HeaderField{Name: "Connection", Value: "close"})
	}
	if err := x.caller.writeResponse(status, fields, body); err != nil {
		x.closeAfterResponse = true
	}
}

// applyKeepAlive sets closeAfterResponse if keep-alives are disabled.
func (x *exchange) applyKeepAlive() {
	x.closeAfterResponse = x.closeAfterResponse || x.relay.keepAlivesDisabled.Load()
}

// cancelAttempt aborts the current attempt, or the wait for one, because the caller has disconnected.
func (x *exchange) cancelAttempt() {
	x.mu.Lock()
	x.callerDisconnected = true
	if x.conn != nil {
		x.conn.abandon()
	}
	isUndecided := x.isUndecided
	x.mu.Unlock()
	if isUndecided {
		x.reportCallerLeft()
	}
}

// closeServerConn ends the current attempt while the caller waits on.
func (x *exchange) closeServerConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.abandon()
	}
}

// setConn sets the connection of the current attempt. It returns false if the caller has
// disconnected.
func (x *exchange) setConn(c *serverConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.callerDisconnected
}

// hasCallerLeft reports whether the caller has disconnected. Unlike isCallerDisconnected, it asks the kernel.
func (x *exchange) hasCallerLeft() bool {
	if !x.isCallerDisconnected() && dtsocket.HasPeerClosed(x.caller.Conn) {
		x.cancelAttempt()
	}
	return x.isCallerDisconnected()
}

func (x *exchange) isCallerDisconnected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callerDisconnected
}
