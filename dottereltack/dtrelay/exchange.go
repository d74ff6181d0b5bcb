package dtrelay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	relay     *Relay
	caller    *callerConn
	head      *Head
	body      []byte
	ask       Ask
	number    dtdispatch.RequestNumber
	at        time.Time
	decisions chan dtdispatch.Effect
	ctx       context.Context //nolint:containedctx // Ends when the caller leaves; lives as long as the exchange.
	last      bool            // The connection ends with this answer.

	held  *heldAnswer // A server's own failure, passed on if nothing better comes.
	begun bool        // The head of the answer has been sent.
	after string      // Id of the last event sent.

	mu   sync.Mutex
	conn *serverConn
	left bool
}

// heldAnswer is a server's answer that has been read whole.
type heldAnswer struct {
	status int
	fields []Field
	body   []byte
}

// newExchange returns the exchange of a request that has been read whole.
func (r *Relay) newExchange(c *callerConn, h *Head, body []byte) *exchange {
	return &exchange{
		relay: r, caller: c, head: h, body: body, ask: r.dialect.Ask(h),
		number: dtdispatch.RequestNumber(r.number.Add(1)), at: time.Now(),
		decisions: make(chan dtdispatch.Effect, 1), last: h.Close,
	}
}

// serve has the reducer decide and carries its decisions out until the answer is final.
func (x *exchange) serve() {
	x.relay.await(x)
	defer x.relay.forget(x)
	x.after = x.ask.LastEvent
	if !x.relay.control.Offer(x.arrived()) {
		x.refuse(dtdispatch.Refuse{Status: statusOverloaded, RetryAfter: overloadedFor})
		return
	}
	for {
		switch e := (<-x.decisions).(type) {
		case dtdispatch.SendRequest:
			ended := x.attempt(&e)
			x.relay.control.Post(ended)
			if ended.Outcome == dtdispatch.OutcomeServed || ended.Outcome == dtdispatch.OutcomeCallerLeft {
				return
			}
		case dtdispatch.Refuse:
			x.refuse(e)
			return
		case dtdispatch.ForwardFailure:
			x.pass(x.held)
			return
		case dtdispatch.AbortResponse:
			x.last = true
			return
		}
	}
}

// Answer to a request that found the queue of the reducer full.
const (
	statusOverloaded = 503
	overloadedFor    = 300 * time.Millisecond
)

// arrived returns the event of the request's arrival.
func (x *exchange) arrived() dtdispatch.RequestArrived {
	return dtdispatch.RequestArrived{
		Number: x.number, ID: x.ask.ID, Host: x.head.Host, Path: x.head.Path, APIKey: x.ask.Key,
		Parts: x.ask.Parts, CallerTimeout: x.ask.Patient, Digest: x.digest(), HeadReadAt: x.at,
	}
}

// digest returns a hash of what makes two requests the same.
func (x *exchange) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.head.Target)
	_, _ = d.WriteString("\n" + x.ask.Key + "\n")
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// refuse answers the caller in the router's own name.
func (x *exchange) refuse(e dtdispatch.Refuse) {
	fields := x.relay.dialect.Refusal(x.ask.ID, e.RetryAfter)
	x.write(e.Status, fields, nil)
}

// pass hands a server's whole answer to the caller.
func (x *exchange) pass(a *heldAnswer) { x.write(a.status, a.fields, a.body) }

// write sends a whole answer.
func (x *exchange) write(status int, fields []Field, body []byte) {
	x.endConnection()
	if x.last {
		fields = append(fields, Field{Name: "Connection", Value: "close"})
	}
	if err := x.caller.writeAnswer(status, fields, body); err != nil {
		x.last = true
	}
}

// endConnection has the answer end its connection when the router is leaving.
func (x *exchange) endConnection() { x.last = x.last || x.relay.leaving.Load() }

// hangUp ends the running attempt because the caller has left.
func (x *exchange) hangUp() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.left = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// attach notes the connection of the running attempt; it returns false when the
// caller has left.
func (x *exchange) attach(c *serverConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.left
}

// hasLeft says whether the caller has left.
func (x *exchange) hasLeft() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.left
}
