package dtbudget

import (
	"net"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Closed is a connection that is closed, or a request that is refused, for lack of room.
type Closed struct {
	dtintake.Closing
	Peer    string // Address of the caller.
	Request string // ID of the request whose body was arriving, or "".
}

// observer is told of each connection that is closed and each request that is refused for lack of room.
type observer interface {
	ObserveClosing(c Closed)
}

// Conn is the connection of a caller.
type Conn interface {
	RemoteAddr() net.Addr
	SetReadDeadline(t time.Time) error
	Close() error
}

// Usage is what a process holds.
type Usage struct {
	Bytes        int64
	Conns        int
	ReceiveBytes int64 // Size of the receive buffers of callers' connections.
}

// Budget is the memory and the number of connections that the callers of one process may take. Its methods may be called by
// any goroutine; those of a nil Budget grant everything.
type Budget struct {
	observer observer
	mu       sync.Mutex // Guards the fields below.
	ledger   *dtintake.Ledger
	holders  map[dtintake.HolderID]*Holder

	// Receive buffers of connections other than those of callers, by kind.
	servers, tunnels, peers *ReceiveBuffers
}

// Option configures a Budget.
type Option func(*Budget)

// WithObserver sets who is told of closings.
func WithObserver(o observer) Option { return func(b *Budget) { b.observer = o } }

// New returns a budget of which nothing is used.
func New(l dtintake.Limits, options ...Option) *Budget {
	b := &Budget{
		ledger: dtintake.NewLedger(l), holders: map[dtintake.HolderID]*Holder{},
		servers: newReceiveBuffers(l.ServerReceiveBytes), tunnels: newReceiveBuffers(l.TunnelReceiveBytes), peers: newReceiveBuffers(l.PeerReceiveBytes),
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Limits returns the limits that the budget was created with.
func (b *Budget) Limits() dtintake.Limits { return b.ledger.Limits }

// Servers returns the receive buffers of connections to servers.
func (b *Budget) Servers() *ReceiveBuffers {
	if b == nil {
		return nil
	}
	return b.servers
}

// Tunnels returns the receive buffers of tunnels for other routers, on both sides.
func (b *Budget) Tunnels() *ReceiveBuffers {
	if b == nil {
		return nil
	}
	return b.tunnels
}

// Peers returns the receive buffers of connections of other routers.
func (b *Budget) Peers() *ReceiveBuffers {
	if b == nil {
		return nil
	}
	return b.peers
}

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.ledger.Used, Conns: b.ledger.Conns + b.ledger.Closing, ReceiveBytes: b.ledger.Receive.Used}
}

// Open adds a connection, which others may be closed for. It returns false if there is no place for it; the caller closes it then.
func (b *Budget) Open(c Conn, now time.Time) (*Holder, bool) {
	if b == nil {
		return nil, true
	}
	h := &Holder{budget: b, conn: c}
	b.mu.Lock()
	id, d := b.ledger.Open(now)
	if h.id = id; d.Granted {
		b.holders[id] = h
	}
	victims := b.victims(&d)
	b.mu.Unlock()
	b.close(&d, victims)
	if !d.Granted {
		b.observe(d.Refused, h)
		return nil, false
	}
	if d.ReceiveBytes > dtintake.NarrowReceiveBytes { // The listener's connections have narrow buffers.
		dtsocket.SetReceiveBuffer(c, d.ReceiveBytes)
	}
	return h, true
}

// Reserve reports whether a response may hold n more bytes, and size in all; Release must follow if so.
func (b *Budget) Reserve(n, size int64, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	d := b.ledger.Reserve(n, size, now)
	victims := b.victims(&d)
	b.mu.Unlock()
	b.close(&d, victims)
	return d.Granted
}

// Release gives back n bytes of a response.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.ledger.Release(n)
	b.mu.Unlock()
}

// victims returns the connections that a decision closes. An idle one only stops waiting, so that it serves a request that has
// begun to arrive; its deadline is set before SetStage can tell of one, which sets another. b.mu must be held.
func (b *Budget) victims(d *dtintake.Decision) []*Holder {
	victims := make([]*Holder, len(d.Close))
	for i := range d.Close {
		victims[i] = b.holders[d.Close[i].ID]
		if d.Close[i].Stage == dtintake.StageIdle {
			_ = victims[i].conn.SetReadDeadline(time.Now())
		}
	}
	return victims
}

// close closes the connections that a decision names, other than idle ones, and reports all.
func (b *Budget) close(d *dtintake.Decision, victims []*Holder) {
	for i, h := range victims {
		b.observe(d.Close[i], h)
		if d.Close[i].Stage != dtintake.StageIdle {
			_ = h.conn.Close()
		}
	}
}

func (b *Budget) observe(c dtintake.Closing, h *Holder) {
	if b.observer == nil {
		return
	}
	closed := Closed{Closing: c, Peer: h.conn.RemoteAddr().String()}
	b.mu.Lock()
	requestID := h.requestID
	b.mu.Unlock()
	if requestID != nil && c.Stage == dtintake.StageBody {
		closed.Request = requestID()
	}
	b.observer.ObserveClosing(closed)
}

// Holder is the part of a budget that one connection holds. The methods of a nil Holder grant everything.
type Holder struct {
	budget *Budget
	id     dtintake.HolderID
	conn   Conn

	requestID func() string // Of the request whose body arrives, or nil. Guarded by Budget.mu.
}

// SetRequest states how to find the ID of the request whose body arrives, which is only asked for if it is closed.
func (h *Holder) SetRequest(id func() string) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.requestID = id
	h.budget.mu.Unlock()
}

// Grow reports whether the body of the request may take n more bytes; the refusal is reported to the observer.
func (h *Holder) Grow(n int64, now time.Time) bool {
	if h == nil {
		return true
	}
	return h.take(func(l *dtintake.Ledger) dtintake.Decision { return l.Take(h.id, n, now) })
}

// GrowReply reports whether the response to the request may take n more bytes, and size in all, which are given back with the
// request; the refusal is reported to the observer.
func (h *Holder) GrowReply(n, size int64, now time.Time) bool {
	if h == nil {
		return true
	}
	return h.take(func(l *dtintake.Ledger) dtintake.Decision { return l.TakeReply(h.id, n, size, now) })
}

// take carries out what the ledger decides.
func (h *Holder) take(decide func(l *dtintake.Ledger) dtintake.Decision) bool {
	b := h.budget
	b.mu.Lock()
	d := decide(b.ledger)
	victims := b.victims(&d)
	b.mu.Unlock()
	b.close(&d, victims)
	if !d.Granted {
		b.observe(d.Refused, h)
	}
	return d.Granted
}

// Shrink gives back n bytes.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.budget.ledger.Return(h.id, n)
	h.budget.mu.Unlock()
}

// Widen lets the kernel hold more of a large body that arrives, if there is room.
func (h *Holder) Widen() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	size := h.budget.ledger.Widen(h.id)
	h.budget.mu.Unlock()
	if size > 0 {
		dtsocket.SetReceiveBuffer(h.conn, size)
	}
}

// Progress states that n bytes of a body have arrived.
func (h *Holder) Progress(n int64, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.budget.ledger.Progress(h.id, n, now)
	h.budget.mu.Unlock()
}

// SetStage states what the connection does; at StageIdle it gives back all bytes of its last request.
func (h *Holder) SetStage(s dtintake.Stage, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.budget.ledger.SetStage(h.id, s, now)
	if s == dtintake.StageIdle {
		h.requestID = nil
	}
	h.budget.mu.Unlock()
}

// Leave removes the connection, which has been closed.
func (h *Holder) Leave() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.budget.ledger.Leave(h.id)
	delete(h.budget.holders, h.id)
	h.budget.mu.Unlock()
}
