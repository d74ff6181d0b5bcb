package dtlink

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Timeouts and limits of peer connections.
const (
	dialTimeout      = time.Second // Also for the handshake, in either direction.
	writeTimeout     = 2 * time.Second
	idleTimeout      = time.Minute
	readTimeout      = 3 * time.Minute
	flushTimeout     = 500 * time.Millisecond
	queueCapacity    = 1024 // Messages per peer.
	timestampBytes   = 8
	bufferBytes      = 16 << 10
	maxInboundConns  = 4096
	acceptRetryDelay = 50 * time.Millisecond
	// unackedTimeout limits how long sent data may stay unacknowledged.
	unackedTimeout = 3 * time.Second
)

// clock is the logical clock that timestamps sent messages and advances to received
// timestamps.
type clock interface {
	Now(wall time.Time) uint64
	Observe(t uint64, wall time.Time)
}

// meter counts the bytes sent and received, and the messages shed or not read, by message kind.
type meter interface {
	CountControlMessage(kind, direction string, bytes int)
	CountShedMessage(kind string)
	CountUnreadableMessage(kind string)
}

// Handler receives messages and failures; its methods must not block for long.
type Handler interface {
	HandleMessage(from dtstate.RouterID, m dtstate.Message)
	// HandleFailure gets the peer if the outbound link to it failed, and an empty peer for
	// errors of inbound handshakes, framing and encoding.
	HandleFailure(peer dtstate.RouterID, err error)
	// HandleUnreadable gets the first message of a kind on a connection that can't be decoded, and is skipped.
	HandleUnreadable(from dtstate.RouterID, err error)
}

// Settings configures a Transport.
type Settings struct {
	Self    dtstate.RouterID
	Address string
	Keys    []string // Shared keys for the handshake.
	// ControlBytesPerSecond limits the control traffic that is sent; zero means no limit.
	ControlBytesPerSecond int
	MaxInbound            int                      // Connections of other routers at the same time; zero for the default.
	Buffers               *dtbudget.ReceiveBuffers // Receive buffers of these; nil if they are not shared.
}

// Transport sends and receives the messages of one router over TCP.
type Transport struct {
	settings Settings
	handler  Handler
	clock    clock
	meter    meter
	budget   *Budget
	listener net.Listener
	mu       sync.Mutex               // Guards the next three fields.
	outbound map[string]*outboundLink // By address.
	inbound  map[net.Conn]struct{}
	closed   bool
	wg       conc.WaitGroup
}

// New returns a transport that listens on the address of its settings and accepts connections
// once Start is called.
func New(settings Settings, h Handler, c clock, m meter) (*Transport, error) {
	settings.MaxInbound = cmp.Or(settings.MaxInbound, maxInboundConns)
	listener, err := dtsocket.Listen(settings.Address, dtintake.NarrowReceiveBytes)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_peers"), merry.WithValue("peer", settings.Address))
	}
	t := &Transport{
		settings: settings, handler: h, clock: c, meter: m, listener: listener, budget: NewBudget(settings.ControlBytesPerSecond, time.Now()),
		outbound: map[string]*outboundLink{}, inbound: map[net.Conn]struct{}{},
	}
	return t, nil
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Start accepts connections of peers in the background.
func (t *Transport) Start() { t.wg.Go(t.acceptLoop) }

// Close sends the queued messages for at most flushTimeout, closes all connections and
// waits for their goroutines to exit.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	_ = t.listener.Close()
	for c := range t.inbound {
		_ = c.Close()
	}
	for _, o := range t.outbound {
		close(o.closing)
		stop := time.AfterFunc(flushTimeout, o.cancel)
		defer stop.Stop()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// acceptLoop accepts connections of peers until the listener is closed.
func (t *Transport) acceptLoop() {
	for {
		c, err := t.listener.Accept()
		t.mu.Lock()
		closed := t.closed
		hasRoom := len(t.inbound) < t.settings.MaxInbound
		if err == nil && !closed && hasRoom {
			t.inbound[c] = struct{}{}
		}
		t.mu.Unlock()
		switch {
		case closed:
			if err == nil {
				_ = c.Close()
			}
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case !hasRoom:
			_ = c.Close()
		default:
			t.wg.Go(func() { t.serveInbound(c) })
		}
	}
}

// serveInbound reads the messages of one inbound connection until it fails.
func (t *Transport) serveInbound(c net.Conn) {
	buffer := t.settings.Buffers.Accept(c)
	defer func() {
		t.mu.Lock()
		delete(t.inbound, c)
		t.mu.Unlock()
		_ = c.Close()
		buffer.Return()
	}()
	r := bufio.NewReaderSize(c, bufferBytes)
	w := bufio.NewWriter(c)
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	peer, err := dtwire.Handshake(r, w, t.settings.Self, t.settings.Keys)
	if err != nil {
		t.handler.HandleFailure("", merry.Wrap(err, merry.WithValue("step", "handshake"), merry.WithValue("peer", c.RemoteAddr().String())))
		return
	}
	buffer.Widen(c, dtintake.PeerReceiveBytes)
	reported := map[byte]bool{}
	for {
		_ = c.SetDeadline(time.Now().Add(readTimeout))
		if err := t.readMessage(r, peer, reported); err != nil {
			return
		}
	}
}

// readMessage reads one frame, a timestamp and a message, and passes the message to the handler. One that can't be decoded, as a
// router of another build may send it, is skipped; reported holds the kinds of those that the handler has been told of.
func (t *Transport) readMessage(r *bufio.Reader, peer dtstate.RouterID, reported map[byte]bool) error {
	body, err := dtwire.ReadFrame(r)
	if err == nil && len(body) <= timestampBytes {
		err = dtwire.ErrFrameSize
	}
	if errors.Is(err, dtwire.ErrFrameSize) {
		t.handler.HandleFailure("", merry.Wrap(err, merry.WithValue("step", "read"), merry.WithValue("peer", string(peer))))
	}
	if err != nil {
		return err
	}
	t.clock.Observe(binary.BigEndian.Uint64(body), time.Now())
	m, err := dtwire.Decode(body[timestampBytes:])
	if err != nil {
		kind := body[timestampBytes]
		t.meter.CountUnreadableMessage(dtwire.Kind(kind).String())
		if !reported[kind] {
			reported[kind] = true
			t.handler.HandleUnreadable(peer, merry.Wrap(err, merry.WithValue("step", "decode"), merry.WithValue("kind", kind)))
		}
		return nil
	}
	t.meter.CountControlMessage(dtwire.TrafficClass(m), "in", len(body))
	t.handler.HandleMessage(peer, m)
	return nil
}

// Send queues a message for the router at address; the message is dropped if it exceeds the
// control budget, the queue is full or the transport is closed.
func (t *Transport) Send(to dtstate.RouterID, address string, m dtstate.Message) {
	encoded, err := dtwire.Encode(m)
	if err != nil {
		t.handler.HandleFailure("", merry.Wrap(err, merry.WithValue("step", "encode"), merry.WithValue("peer", string(to))))
		return
	}
	kind := dtwire.TrafficClass(m)
	if !t.budget.Allow(kind, timestampBytes+len(encoded), time.Now()) {
		t.meter.CountShedMessage(kind)
		return
	}
	body := make([]byte, timestampBytes, timestampBytes+len(encoded))
	binary.BigEndian.PutUint64(body, t.clock.Now(time.Now()))
	body = append(body, encoded...)
	if t.enqueue(to, address, body) {
		t.meter.CountControlMessage(kind, "out", len(body))
	}
}

// enqueue adds a frame body to the queue of the link to address, which it starts if
// needed. It reports whether the body was queued.
func (t *Transport) enqueue(to dtstate.RouterID, address string, body []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	o := t.outbound[address]
	if o == nil {
		ctx, cancel := context.WithCancel(context.Background())
		o = &outboundLink{transport: t, peer: to, address: address, queue: make(chan []byte, queueCapacity), closing: make(chan struct{}), ctx: ctx, cancel: cancel}
		t.outbound[address] = o
		t.wg.Go(o.run)
	}
	select {
	case o.queue <- body:
		return true
	default:
		return false
	}
}

// outboundLink is the outbound connection to one peer with its queue of frame bodies.
type outboundLink struct {
	transport *Transport
	peer      dtstate.RouterID
	address   string
	queue     chan []byte
	closing   chan struct{}   // Closed by Transport.Close: write the queued frames, then stop.
	ctx       context.Context //nolint:containedctx // Canceled to stop run.
	cancel    context.CancelFunc
}

// close stops the link's goroutine and closes its connection.
func (o *outboundLink) close() { o.cancel() }

// run connects and writes frames until the link fails, times out as idle or is closed.
func (o *outboundLink) run() {
	err := o.writeLoop()
	o.transport.mu.Lock()
	if o.transport.outbound[o.address] == o {
		delete(o.transport.outbound, o.address)
	}
	closed := o.transport.closed
	o.transport.mu.Unlock()
	o.cancel()
	if err != nil && !closed {
		o.transport.handler.HandleFailure(o.peer, err)
	}
}

// writeLoop writes queued frames. It returns nil when the link is closed or idle for
// idleTimeout.
func (o *outboundLink) writeLoop() error {
	c, w, err := o.dial()
	if err != nil {
		return o.wrapError(err, "dial")
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(o.ctx, func() { _ = c.Close() })
	defer stop()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return nil
		case <-idle.C:
			return nil
		case <-o.closing:
			return o.writeQueued(c, w)
		case body := <-o.queue:
			if err := o.writeBatch(c, w, body); err != nil {
				if o.ctx.Err() != nil {
					return nil
				}
				return o.wrapError(err, "write")
			}
			idle.Reset(idleTimeout)
		}
	}
}

func (o *outboundLink) dial() (net.Conn, *bufio.Writer, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: LocalAddr(o.transport.settings.Address)}
	c, err := d.DialContext(o.ctx, "tcp", o.address)
	if err != nil {
		return nil, nil, err
	}
	_ = dtsocket.SetUserTimeout(c, unackedTimeout)
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	w := bufio.NewWriterSize(c, bufferBytes)
	peer, err := dtwire.Handshake(bufio.NewReader(c), w, o.transport.settings.Self, o.transport.settings.Keys)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	if o.peer == "" {
		o.peer = peer
	}
	return c, w, nil
}

// writeQueued writes the frames that are still queued.
func (o *outboundLink) writeQueued(c net.Conn, w *bufio.Writer) error {
	select {
	case body := <-o.queue:
		return o.writeBatch(c, w, body)
	default:
		return nil
	}
}

// writeBatch writes a frame and the frames of all bodies queued behind it, and flushes
// once.
func (o *outboundLink) writeBatch(c net.Conn, w *bufio.Writer, body []byte) error {
	_ = c.SetDeadline(time.Now().Add(writeTimeout))
	for {
		if err := dtwire.WriteFrame(w, body); err != nil {
			return err
		}
		select {
		case body = <-o.queue:
		default:
			return w.Flush()
		}
	}
}

// wrapError adds the failed step and the peer to an error.
func (o *outboundLink) wrapError(err error, step string) error {
	return merry.Wrap(err, merry.WithValue("step", step), merry.WithValue("peer", string(o.peer)))
}

// ResetLink closes the outbound link to a peer, so that the next message opens a new one.
func (t *Transport) ResetLink(peer dtstate.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, o := range t.outbound {
		if o.peer == peer {
			delete(t.outbound, address)
			o.close()
		}
	}
}
