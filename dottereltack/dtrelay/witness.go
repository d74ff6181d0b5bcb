package dtrelay

import (
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// A server whose status names its ID and no start can't be told from the next process that has its ID and address. A
// connection that was opened before the request was sent belongs to the process that has responded, and ends with it. One is
// therefore opened ahead of each request to a server that needs it for the end of its response.

// maxWitnessAddresses is the number of servers that are remembered to need a witness.
const maxWitnessAddresses = 4096

// witnessAddresses holds the addresses of the servers whose responses have ended with their connections and whose statuses
// name no start.
type witnessAddresses struct {
	mu      sync.Mutex // Guards the next field.
	present map[string]struct{}
}

func (w *witnessAddresses) add(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.present == nil || len(w.present) >= maxWitnessAddresses {
		w.present = map[string]struct{}{}
	}
	w.present[address] = struct{}{}
}

func (w *witnessAddresses) has(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, isPresent := w.present[address]
	return isPresent
}

// openWitness opens the witness of an attempt before its request is sent, if its server needs one. Without one, as where the
// server has no room for another connection, its ID has to do.
func (a *attempt) openWitness() {
	if len(a.send.Via) > 0 || !a.exchange.relay.witnessAddresses.has(a.send.Address) {
		return
	}
	check := &dtdispatch.CheckServer{Address: a.send.Address}
	c := a.pool.takeForStatus(check, time.Now())
	for ; c != nil && !c.isIdle(); c = a.pool.takeForStatus(check, time.Now()) {
		_ = c.Close()
	}
	if c == nil {
		var err error
		if c, err = a.pool.connect(a.exchange.ctx, a.send); err != nil {
			return
		}
	}
	a.exchange.setWitness(c)
}

// keepWitness returns a witness that was not needed to the pool.
func (a *attempt) keepWitness() {
	if c := a.exchange.takeWitness(); c != nil {
		a.pool.put(a.send.Address, c, a.send.MaxIdleConns, time.Now())
	}
}

func (x *exchange) setWitness(c *serverConn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.witness = c
}

// takeWitness removes and returns the witness of the current attempt, or nil.
func (x *exchange) takeWitness() *serverConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.witness
	x.witness = nil
	return c
}

// takeWitness removes and returns the witness of a request, or nil.
func (r *Relay) takeWitness(n dtdispatch.RequestNumber) *serverConn {
	r.mu.Lock()
	x := r.exchanges[n]
	r.mu.Unlock()
	if x == nil {
		return nil
	}
	return x.takeWitness()
}
