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
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// Limits that apply where the configuration has none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Relay accepts connections of callers and forwards their requests to backend servers.
type Relay struct {
	dialect            Dialect
	events             eventQueue
	direct             *directConnector
	pool               *idlePool
	tunnels            *idlePool
	listener           net.Listener
	budget             *dtbudget.Budget
	bodies             bodyBudget
	limits             atomic.Pointer[dtdispatch.Limits]
	lastRequestNumber  atomic.Uint64
	witnessAddresses   witnessAddresses
	keepAlivesDisabled atomic.Bool   // Close each caller's connection after its next response.
	mu                 sync.Mutex    // Guards the next four fields.
	drained            chan struct{} // Closed once there is no exchange; nil unless Drain waits.
	exchanges          map[dtdispatch.RequestNumber]*exchange
	callers            map[*callerConn]struct{}
	closed             bool
	wg                 conc.WaitGroup
	ctx                context.Context //nolint:containedctx // Of checks of servers that are not for a request; canceled by Close.
	cancel             context.CancelFunc
}

// Option configures a Relay.
type Option func(*Relay)

// WithName sets the name by which other routers know the router.
func WithName(name string) Option {
	return func(r *Relay) { r.tunnels = newIdlePool(&tunnelConnector{dialer: dttunnel.Dialer{From: name}}) }
}

// WithBudget sets the budget for connections, request bodies and responses.
func WithBudget(b *dtbudget.Budget) Option { return func(r *Relay) { r.budget = b } }

// New returns a relay that listens on address and accepts connections once Start is called.
func New(address string, d Dialect, events eventQueue, options ...Option) (*Relay, error) {
	listener, err := dtsocket.Listen(address, dtintake.NarrowReceiveBytes)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_callers"), merry.WithValue("peer", address))
	}
	r := &Relay{
		dialect: d, events: events, direct: newDirectConnector(), listener: listener,
		exchanges: map[dtdispatch.RequestNumber]*exchange{}, callers: map[*callerConn]struct{}{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.pool, r.tunnels = newIdlePool(r.direct), newIdlePool(&tunnelConnector{})
	for _, option := range options {
		option(r)
	}
	if r.budget == nil {
		r.budget = dtbudget.New(dtintake.LimitsFor(0, 0))
	}
	r.bodies.shared = r.budget
	r.pool.maxIdle = r.budget.Limits().MaxIdleServerConns
	r.pool.buffers, r.tunnels.buffers = r.budget.Servers(), r.budget.Servers()
	r.SetLimits(dtdispatch.Limits{})
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetLimits sets the limits for callers and replaces zero values by defaults.
func (r *Relay) SetLimits(l dtdispatch.Limits) {
	l.MaxHeaderBytes = orDefault(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.HeaderTimeout = orDefault(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, defaultIdleTimeout)
	r.limits.Store(&l)
}

// orDefault returns v, or d if v is the zero value.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Start accepts connections of callers in the background.
func (r *Relay) Start() { r.wg.Go(r.acceptLoop) }

// DisableKeepAlives closes each caller's connection after the next response.
func (r *Relay) DisableKeepAlives() { r.keepAlivesDisabled.Store(true) }

// minCallerIdleTime is the idle time after which CloseIdleConnections closes a
// connection. A caller that has just connected is about to send a request.
const minCallerIdleTime = 300 * time.Millisecond

// CloseIdleConnections has the connections of callers that have had no request in flight for
// minCallerIdleTime closed: each stops waiting for the next request. A connection on which one has
// begun to arrive serves it, as it is busy only from then on.
func (r *Relay) CloseIdleConnections(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.callers {
		if !c.busy && now.Sub(c.idleSince) >= minCallerIdleTime {
			_ = c.SetReadDeadline(now)
		}
	}
}

// Drain waits until all requests in progress have their responses, at most for the given time.
func (r *Relay) Drain(timeout time.Duration) {
	r.mu.Lock()
	r.drained = make(chan struct{})
	drained := r.drained
	r.signalIfDrained()
	r.mu.Unlock()
	select {
	case <-drained:
	case <-time.After(timeout):
	}
}

// signalIfDrained ends Drain if there is no request in progress. r.mu must be held.
func (r *Relay) signalIfDrained() {
	if r.drained != nil && len(r.exchanges) == 0 {
		close(r.drained)
		r.drained = nil
	}
}

// CancelAttempt closes the connection to the server of the current attempt of a request.
func (r *Relay) CancelAttempt(n dtdispatch.RequestNumber) {
	r.mu.Lock()
	x := r.exchanges[n]
	r.mu.Unlock()
	if x != nil {
		x.closeServerConn()
	}
}

// Close closes all connections and waits for their goroutines to exit.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.callers {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.cancel()
	r.pool.close()
	r.tunnels.close()
	r.wg.Wait()
}

// Deliver passes an effect of the reducer to the goroutine of its request.
func (r *Relay) Deliver(n dtdispatch.RequestNumber, e dtdispatch.Effect) {
	r.mu.Lock()
	x := r.exchanges[n]
	r.mu.Unlock()
	if x != nil {
		x.effects <- e
	}
}

// poolFor returns the pool of the connections that a request may use. A direct connection to a server that is out of reach
// could hang, and tunnels are of no use once there are direct connections.
func (r *Relay) poolFor(send *dtdispatch.SendRequest) *idlePool {
	if len(send.Via) > 0 {
		return r.tunnels
	}
	r.tunnels.closeAddress(send.Address)
	return r.pool
}

// acceptLoop accepts connections of callers until the listener is closed.
func (r *Relay) acceptLoop() {
	const retryDelay = 20 * time.Millisecond
	for {
		c, err := r.listener.Accept()
		if err != nil {
			if r.isClosed() {
				return
			}
			time.Sleep(retryDelay) // Out of file descriptors: wait for other connections to be closed.
			continue
		}
		holder, hasPlace := r.budget.Open(c, time.Now())
		if !hasPlace {
			r.refuseConn(c)
			continue
		}
		caller := newCallerConn(c)
		caller.holder, caller.requestID = holder, func(h *RequestHead) string { return r.dialect.ParseRequest(h).ID }
		if !r.addCaller(caller) {
			_ = c.Close()
			return
		}
		r.wg.Go(func() {
			r.serveCaller(caller)
			r.removeCaller(caller)
		})
	}
}

func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// addCaller registers a caller's connection. It returns false if the relay is closed.
func (r *Relay) addCaller(c *callerConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.callers[c] = struct{}{}
	return true
}

func (r *Relay) removeCaller(c *callerConn) {
	_ = c.Close()
	c.holder.Leave()
	r.mu.Lock()
	delete(r.callers, c)
	r.mu.Unlock()
}

func (r *Relay) setBusy(c *callerConn, busy bool) {
	r.mu.Lock()
	c.busy = busy
	c.idleSince = time.Now()
	r.mu.Unlock()
}

// registerExchange makes an exchange known to Deliver.
func (r *Relay) registerExchange(x *exchange) {
	r.mu.Lock()
	r.exchanges[x.number] = x
	r.mu.Unlock()
}

func (r *Relay) unregisterExchange(x *exchange) {
	r.mu.Lock()
	delete(r.exchanges, x.number)
	r.signalIfDrained()
	r.mu.Unlock()
}

// serveCaller serves the requests of a connection one after the other.
func (r *Relay) serveCaller(c *callerConn) {
	for first := true; ; first = false {
		limits := *r.limits.Load()
		if !c.awaitRequest(&limits, first) {
			return
		}
		r.setBusy(c, true)
		h, body, status := c.readRequest(&limits)
		if status != 0 {
			r.reject(c, h, status)
			return
		}
		if h == nil {
			return
		}
		x := r.newExchange(c, h, body)
		if !r.runExchange(x, &limits) {
			return
		}
	}
}

// runExchange serves one request and cancels it if the caller disconnects. It reports
// whether the connection can be used for another request.
func (r *Relay) runExchange(x *exchange, limits *dtdispatch.Limits) bool {
	ctx, cancel := context.WithCancel(context.Background())
	x.ctx = ctx
	stop := context.AfterFunc(ctx, x.cancelAttempt)
	watch := newCallerWatch(x.caller)
	var wg conc.WaitGroup
	_ = x.caller.SetReadDeadline(time.Time{})
	wg.Go(func() {
		x.serve()
		x.body, x.fallback = nil, nil // The exchange is kept until the next request arrives.
		r.setBusy(x.caller, false)
		if x.closeAfterResponse {
			_ = x.caller.Close()
		}
		watch.end(limits.IdleTimeout)
		if !x.closeAfterResponse {
			x.caller.holder.SetStage(dtintake.StageIdle, time.Now()) // After the deadline, which a closing replaces.
		}
	})
	err := watch.run()
	if err != nil {
		cancel()
	}
	wg.Wait()
	stop()
	cancel()
	return err == nil && !x.closeAfterResponse
}
