package dtrelay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Limits until a configuration is known.
const (
	headerBytesAtFirst = 16 << 10
	bodyBytesAtFirst   = 4 << 20
	headerTimeAtFirst  = 3 * time.Second
	idleTimeAtFirst    = 15 * time.Second
)

// Relay is the traffic side of a router.
type Relay struct {
	dialect  Dialect
	control  control
	pool     *pool
	listener net.Listener
	limits   atomic.Pointer[dtdispatch.Limits]
	number   atomic.Uint64
	leaving  atomic.Bool
	mu       sync.Mutex
	waiting  map[dtdispatch.RequestNumber]*exchange
	callers  map[*callerConn]struct{}
	closed   bool
	group    conc.WaitGroup
}

// New returns a relay that listens for callers at address but does not serve yet.
func New(address string, d Dialect, c control) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_callers"), merry.WithValue("peer", address))
	}
	r := &Relay{
		dialect: d, control: c, pool: newPool(), listener: ln,
		waiting: map[dtdispatch.RequestNumber]*exchange{}, callers: map[*callerConn]struct{}{},
	}
	r.Configure(dtdispatch.Limits{})
	return r, nil
}

// Address returns the address that callers reach the relay at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Configure puts the limits on callers in force; zero ones have a default.
func (r *Relay) Configure(l dtdispatch.Limits) {
	l.MaxHeaderBytes = orDefault(l.MaxHeaderBytes, headerBytesAtFirst)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, bodyBytesAtFirst)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, headerTimeAtFirst)
	l.IdleTimeout = orDefault(l.IdleTimeout, idleTimeAtFirst)
	r.limits.Store(&l)
}

// orDefault returns v, or d where v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start serves callers in the background.
func (r *Relay) Start() { r.group.Go(r.accept) }

// Leave has each further answer end its connection.
func (r *Relay) Leave() { r.leaving.Store(true) }

// idleLeast is how long a caller has been idle before its connection is closed: one that
// has just connected is about to send a request.
const idleLeast = 300 * time.Millisecond

// CloseIdle closes the connections of callers that wait for no answer.
func (r *Relay) CloseIdle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.callers {
		if !c.busy && now.Sub(c.idle) >= idleLeast {
			_ = c.Close()
		}
	}
}

// Close ends every connection and waits for the goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.callers {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.pool.close()
	r.group.Wait()
}

// Decide hands an effect to the request that waits for it.
func (r *Relay) Decide(n dtdispatch.RequestNumber, e dtdispatch.Effect) {
	r.mu.Lock()
	x := r.waiting[n]
	r.mu.Unlock()
	if x != nil {
		x.decisions <- e
	}
}

// Alive says whether a server takes a connection.
func (r *Relay) Alive(address string) bool {
	c, err := r.pool.dial(context.Background(), address, aliveWithin)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// accept takes connections of callers until the listener is closed.
func (r *Relay) accept() {
	const pause = 20 * time.Millisecond
	for {
		c, err := r.listener.Accept()
		if err != nil {
			if r.isClosed() {
				return
			}
			time.Sleep(pause) // Out of descriptors: others may be closed meanwhile.
			continue
		}
		caller := newCallerConn(c)
		if !r.add(caller) {
			_ = c.Close()
			return
		}
		r.group.Go(func() {
			r.serve(caller)
			r.remove(caller)
		})
	}
}

// isClosed says whether the relay is closed.
func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// add registers a caller's connection unless the relay is closed.
func (r *Relay) add(c *callerConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.callers[c] = struct{}{}
	return true
}

// remove closes and forgets a caller's connection.
func (r *Relay) remove(c *callerConn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.callers, c)
	r.mu.Unlock()
}

// setBusy notes whether a connection waits for an answer.
func (r *Relay) setBusy(c *callerConn, busy bool) {
	r.mu.Lock()
	c.busy = busy
	c.idle = time.Now()
	r.mu.Unlock()
}

// await registers an exchange for the reducer's decisions.
func (r *Relay) await(x *exchange) {
	r.mu.Lock()
	r.waiting[x.number] = x
	r.mu.Unlock()
}

// forget ends what await began.
func (r *Relay) forget(x *exchange) {
	r.mu.Lock()
	delete(r.waiting, x.number)
	r.mu.Unlock()
}

// serve reads a caller's requests one after the other.
func (r *Relay) serve(c *callerConn) {
	for first := true; ; first = false {
		limits := *r.limits.Load()
		if !c.awaitRequest(&limits, first) {
			return
		}
		r.setBusy(c, true)
		h, body, status := c.readRequest(&limits)
		if status != 0 {
			c.reject(status)
			return
		}
		if h == nil {
			return
		}
		x := r.newExchange(c, h, body)
		if !r.run(x, &limits) {
			return
		}
	}
}

// run serves one request while it watches for the caller to leave; it returns
// whether the connection may bring another request.
func (r *Relay) run(x *exchange, limits *dtdispatch.Limits) bool {
	ctx, cancel := context.WithCancel(context.Background())
	x.ctx = ctx
	stop := context.AfterFunc(ctx, x.hangUp)
	done := make(chan struct{})
	var group conc.WaitGroup
	_ = x.caller.SetReadDeadline(time.Time{})
	group.Go(func() {
		defer close(done)
		x.serve()
		r.setBusy(x.caller, false)
		if x.last {
			_ = x.caller.Close()
			return
		}
		_ = x.caller.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	})
	_, err := x.caller.r.Peek(1)
	if err != nil {
		cancel()
	}
	<-done
	group.Wait()
	stop()
	cancel()
	return err == nil && !x.last
}
