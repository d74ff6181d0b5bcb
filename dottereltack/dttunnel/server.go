package dttunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtmesh"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Limits and timeouts of the tunnels that a router opens for others.
const (
	maxTunnels         = 1000            // Each holds two file descriptors.
	maxRequestTimeout  = 2 * time.Second // Longest wait for the reducer and the server together.
	replyTimeout       = time.Second
	unackedTimeout     = 2500 * time.Millisecond // As of direct connections to servers.
	lingerTimeout      = time.Second             // After the server's end, until the other router has closed its side.
	maxIdleTime        = 2 * time.Minute         // Without a byte in either direction.
	maxIdleStopTime    = time.Second             // While the router is stopping, after the last byte of the server.
	callerWriteTimeout = 30 * time.Second        // A caller that reads slowly holds up its router.
)

// Details of refusals.
const (
	detailTooMany    = "too many tunnels"
	detailOverloaded = "overloaded"
	detailTooLate    = "no decision in time"
	detailStopping   = "stopping"
)

// eventQueue passes events to the reducer. Offer returns false if the queue is full.
type eventQueue interface {
	Offer(ev dtdispatch.Event) bool
}

// meter counts the requests for tunnels by result.
type meter interface {
	CountTunnel(result string)
}

// Server connects other routers to servers where the reducer allows it.
type Server struct {
	events  eventQueue
	meter   meter
	dialer  net.Dialer
	buffers *dtbudget.ReceiveBuffers // Of the connections to servers; nil if they are not shared.
	maxOpen int64
	last    atomic.Uint64
	open    atomic.Int64
	mu      sync.Mutex // Guards the fields below.
	waiting map[dtdispatch.TunnelNumber]chan dtdispatch.Effect
	tunnels map[*tunnel]struct{}
	drained chan struct{} // Closed once there is no tunnel; nil before Drain.
}

// Option configures a Server.
type Option func(*Server)

// WithMaxTunnels sets how many tunnels may be open at the same time.
func WithMaxTunnels(n int) Option { return func(s *Server) { s.maxOpen = int64(n) } }

// WithReceiveBuffers sets what the receive buffers of the connections to servers are taken from.
func WithReceiveBuffers(b *dtbudget.ReceiveBuffers) Option { return func(s *Server) { s.buffers = b } }

// NewServer returns a server whose requests the reducer behind events decides on.
func NewServer(events eventQueue, m meter, options ...Option) *Server {
	s := &Server{
		events: events, meter: m, dialer: dtsocket.ServerDialer(), maxOpen: maxTunnels,
		waiting: map[dtdispatch.TunnelNumber]chan dtdispatch.Effect{}, tunnels: map[*tunnel]struct{}{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Open returns the number of tunnels that are open or being opened.
func (s *Server) Open() int { return int(s.open.Load()) }

// Deliver passes OpenTunnel or RefuseTunnel on; one that comes too late opens nothing.
func (s *Server) Deliver(n dtdispatch.TunnelNumber, e dtdispatch.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if decision := s.waiting[n]; decision != nil {
		decision <- e
		delete(s.waiting, n)
	}
}

// ServeTunnel replies to a request on c and copies the bytes of the tunnel until it has ended or ctx is done. The caller
// closes c.
func (s *Server) ServeTunnel(ctx context.Context, c net.Conn, r *dtmesh.TunnelRequest) {
	defer s.open.Add(-1)
	server, answer := net.Conn(nil), reply{Result: ResultRefused, Detail: detailTooMany}
	if s.open.Add(1) <= s.maxOpen {
		server, answer = s.connect(ctx, r)
	}
	t := newTunnel(c, server)
	if server != nil {
		defer func() { _ = server.Close() }()
		defer s.remove(t)
		if !s.add(t) {
			answer = reply{Result: ResultRefused, Detail: detailStopping}
		}
	}
	s.meter.CountTunnel(answer.Result.String())
	_ = c.SetWriteDeadline(time.Now().Add(replyTimeout))
	if err := writeReply(c, answer); err != nil || answer.Result != ResultOpened {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(s.dialer.KeepAliveConfig) // Without a user timeout, which would end a tunnel whose reader is slow.
	}
	t.run(ctx)
}

// Drain refuses new tunnels, has the others not used again, and waits until none is left, at most for timeout.
func (s *Server) Drain(timeout time.Duration) {
	s.mu.Lock()
	drained := make(chan struct{})
	s.drained = drained
	for t := range s.tunnels {
		t.drain()
	}
	s.signalIfDrained()
	s.mu.Unlock()
	select {
	case <-drained:
	case <-time.After(timeout):
	}
}

// signalIfDrained ends Drain if there is no tunnel. s.mu must be held.
func (s *Server) signalIfDrained() {
	if s.drained != nil && len(s.tunnels) == 0 {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
	}
}

// add registers a tunnel, unless the router is stopping.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained != nil {
		return false
	}
	s.tunnels[t] = struct{}{}
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
	s.signalIfDrained()
}

// connect connects to the server if the reducer allows it, and returns the reply to the other router.
func (s *Server) connect(ctx context.Context, r *dtmesh.TunnelRequest) (net.Conn, reply) {
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, maxRequestTimeout))
	defer cancel()
	switch e := s.decide(ctx, r).(type) {
	case dtdispatch.OpenTunnel:
		return s.dial(ctx, r.Server, &e)
	case dtdispatch.RefuseTunnel:
		return nil, reply{Result: ResultRefused, Detail: e.Detail}
	}
	return nil, reply{Result: ResultRefused, Detail: detailTooLate}
}

// decide asks the reducer and returns its decision, or nil if none has come until ctx is done.
func (s *Server) decide(ctx context.Context, r *dtmesh.TunnelRequest) dtdispatch.Effect {
	n := dtdispatch.TunnelNumber(s.last.Add(1))
	decision := make(chan dtdispatch.Effect, 1)
	s.mu.Lock()
	s.waiting[n] = decision
	s.mu.Unlock()
	defer s.forget(n)
	if !s.events.Offer(dtdispatch.TunnelRequested{Number: n, From: r.From, Server: r.Server, Start: r.Start}) {
		return dtdispatch.RefuseTunnel{Number: n, Detail: detailOverloaded}
	}
	select {
	case e := <-decision:
		return e
	case <-ctx.Done():
		return nil
	}
}

func (s *Server) forget(n dtdispatch.TunnelNumber) {
	s.mu.Lock()
	delete(s.waiting, n)
	s.mu.Unlock()
}

// dial connects to the server and reports to the reducer whether that has succeeded.
func (s *Server) dial(ctx context.Context, id dtdispatch.ServerID, e *dtdispatch.OpenTunnel) (net.Conn, reply) {
	ctx, cancel := context.WithTimeout(ctx, e.ConnectTimeout)
	defer cancel()
	dialed := dtdispatch.TunnelDialed{Server: id, StartedAt: time.Now()}
	c, buffer, err := s.buffers.Dial(ctx, s.dialer, e.Address)
	if err != nil {
		result := resultOf(err)
		if result != ResultRefused {
			s.events.Offer(dialed)
		}
		return nil, reply{Result: result, Detail: err.Error()}
	}
	dialed.ConnectedAt = time.Now()
	s.events.Offer(dialed)
	if err := dtsocket.SetUserTimeout(c, unackedTimeout); err != nil {
		_ = c.Close()
		buffer.Return()
		return nil, reply{Result: ResultRefused, Detail: err.Error()}
	}
	return &serverConn{Conn: c, buffer: buffer}, reply{Result: ResultOpened}
}

// serverConn is a connection to a server that returns its receive buffer once it is closed. What the server has not got by then is
// dropped.
type serverConn struct {
	net.Conn
	buffer *dtbudget.ReceiveBuffer
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	dtsocket.ResetIfUnacknowledged(c.Conn)
	err := c.Conn.Close()
	c.buffer.Return()
	return err
}

// unacknowledged returns the number of bytes that a server has not acknowledged.
func unacknowledged(server net.Conn) int {
	if c, ok := server.(*serverConn); ok {
		server = c.Conn
	}
	return dtsocket.Unacknowledged(server)
}

// resultOf returns the result of a request for a tunnel whose connection to the server has failed with err.
func resultOf(err error) Result {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return ResultRefused
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ResultNoListener
	}
	return ResultUnreachable
}
