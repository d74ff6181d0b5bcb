package dtmesh

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtwire"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Timeouts and limits of peer connections.
const (
	dialTimeout    = time.Second
	writeTimeout   = time.Second
	readTimeout    = 10 * time.Second // Ten times the interval at which an unchanged PeerStatus is repeated.
	unackedTimeout = 2 * time.Second
	retryDelay     = 500 * time.Millisecond // Before accepting or dialing again.
	queueCapacity  = 8                      // Messages per peer.
	bufferBytes    = 2 << 10

	defaultMaxInbound = 8 << 10 // Connections of other routers.
)

// envelope is the wire format of a message. Exactly one field is set.
type envelope struct {
	PeerStatus       *dtdispatch.PeerStatus       `msgpack:"d,omitempty"`
	SyncRequest      *dtdispatch.SyncRequest      `msgpack:"q,omitempty"`
	ConfigReply      *dtdispatch.ConfigReply      `msgpack:"s,omitempty"`
	RosterReply      *dtdispatch.RosterReply      `msgpack:"r,omitempty"`
	RosterDelta      *dtdispatch.RosterDelta      `msgpack:"c,omitempty"`
	RouterLoads      *dtdispatch.RouterLoads      `msgpack:"l,omitempty"`
	DomainLoads      *dtdispatch.DomainLoads      `msgpack:"dl,omitempty"`
	FleetLoadSummary *dtdispatch.FleetLoadSummary `msgpack:"fl,omitempty"`
	FleetLoadTable   *dtdispatch.FleetLoadTable   `msgpack:"ft,omitempty"`
	VersionNews      *dtdispatch.VersionNews      `msgpack:"sn,omitempty"`
	NoticeNews       *dtdispatch.NoticeNews       `msgpack:"nn,omitempty"`
	TunnelRequest    *TunnelRequest               `msgpack:"tr,omitempty"`
}

// eventQueue receives the messages of peers as events.
type eventQueue interface {
	Post(ev dtdispatch.Event)
}

// Mesh connects a router to its peers: it sends over one outbound connection per peer
// and receives over the connections that peers open.
type Mesh struct {
	self       string
	events     eventQueue
	tunnels    tunnelServer // Nil if the router opens none.
	meter      meter        // Nil if nothing is counted.
	listener   net.Listener
	buffers    *dtbudget.ReceiveBuffers // Of the connections that peers open; nil if they are not shared.
	ctx        context.Context          //nolint:containedctx // Canceled by Close to stop the goroutines.
	cancel     context.CancelFunc
	mu         sync.Mutex       // Guards the next three fields.
	links      map[string]*link // By router name.
	inbound    map[net.Conn]struct{}
	maxInbound int // Length of inbound.
	last       encodedMessage
	wg         conc.WaitGroup
}

// encodedMessage is the last message that was sent, which often goes to many peers one after the other.
type encodedMessage struct {
	message dtdispatch.PeerMessage
	body    []byte
}

// link is the outbound connection to one peer with its queue of encoded messages.
type link struct {
	address  string
	queue    chan []byte
	cancel   context.CancelFunc
	isOnward bool // It gets no messages to all peers.
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithTunnels has s take over the connections on which other routers ask for a tunnel.
func WithTunnels(s tunnelServer) Option { return func(m *Mesh) { m.tunnels = s } }

// WithMaxInbound sets how many connections of other routers, tunnels among them, may be open at the same time.
func WithMaxInbound(n int) Option { return func(m *Mesh) { m.maxInbound = n } }

// WithReceiveBuffers sets what the receive buffers of connections that peers open are taken from.
func WithReceiveBuffers(b *dtbudget.ReceiveBuffers) Option { return func(m *Mesh) { m.buffers = b } }

// New returns a mesh that listens on address and accepts connections once Start is called.
func New(self, address string, events eventQueue, options ...Option) (*Mesh, error) {
	listener, err := dtsocket.Listen(address, dtintake.NarrowReceiveBytes)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_peers"), merry.WithValue("peer", address))
	}
	m := &Mesh{self: self, events: events, listener: listener, links: map[string]*link{}, inbound: map[net.Conn]struct{}{}, maxInbound: defaultMaxInbound}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(m)
	}
	return m, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Start accepts connections of peers in the background.
func (m *Mesh) Start() { m.wg.Go(m.acceptLoop) }

// Close closes all connections and waits for their goroutines to exit.
func (m *Mesh) Close() {
	m.cancel()
	_ = m.listener.Close()
	m.mu.Lock()
	for c := range m.inbound {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// SetPeers sets the peers to connect to, as addresses by router name, and closes links to
// other routers or to former addresses. Peers that are onward only get no messages to all peers.
func (m *Mesh) SetPeers(peers, onward map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if cmp.Or(peers[name], onward[name]) != l.address {
			l.cancel()
			delete(m.links, name)
		}
	}
	for name, address := range onward {
		m.connect(name, cmp.Or(peers[name], address))
	}
	for name, address := range peers {
		m.connect(name, address)
	}
	for name, l := range m.links {
		l.isOnward = peers[name] == ""
	}
}

// connect opens a link to a peer unless there is one. m.mu must be held.
func (m *Mesh) connect(name, address string) {
	if name == m.self || m.links[name] != nil || m.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{address: address, queue: make(chan []byte, queueCapacity), cancel: cancel}
	m.links[name] = l
	m.wg.Go(func() { l.run(ctx) })
}

// Send queues a message for one peer, or for all peers if to is empty; the message is dropped
// for a peer whose queue is full.
func (m *Mesh) Send(to string, message dtdispatch.PeerMessage) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if message != m.last.message {
		body, err := encode(message)
		if err != nil {
			return err
		}
		m.last = encodedMessage{message: message, body: body}
	}
	for name, l := range m.links {
		if to != name && (to != "" || l.isOnward) {
			continue
		}
		select {
		case l.queue <- m.last.body:
		default:
		}
	}
	return nil
}

func encode(message dtdispatch.PeerMessage) ([]byte, error) {
	e := envelope{}
	switch v := message.(type) {
	case *dtdispatch.PeerStatus:
		e.PeerStatus = v
	case *dtdispatch.SyncRequest:
		e.SyncRequest = v
	case *dtdispatch.ConfigReply:
		e.ConfigReply = v
	case *dtdispatch.RosterReply:
		e.RosterReply = v
	case *dtdispatch.RosterDelta:
		e.RosterDelta = v
	case *dtdispatch.RouterLoads:
		e.RouterLoads = v
	case *dtdispatch.DomainLoads:
		e.DomainLoads = v
	case *dtdispatch.FleetLoadSummary:
		e.FleetLoadSummary = v
	case *dtdispatch.FleetLoadTable:
		e.FleetLoadTable = v
	case *dtdispatch.VersionNews:
		e.VersionNews = v
	case *dtdispatch.NoticeNews:
		e.NoticeNews = v
	}
	return msgpack.Marshal(&e)
}

// decode returns the contents of a frame body.
func decode(body []byte) (*envelope, error) {
	e := &envelope{}
	if err := msgpack.Unmarshal(body, e); err != nil {
		return nil, err
	}
	return e, nil
}

// message returns the message that is set, or nil if its type is unknown.
func (e *envelope) message() dtdispatch.PeerMessage {
	switch {
	case e.PeerStatus != nil:
		return e.PeerStatus
	case e.SyncRequest != nil:
		return e.SyncRequest
	case e.ConfigReply != nil:
		return e.ConfigReply
	case e.RosterReply != nil:
		return e.RosterReply
	case e.RosterDelta != nil:
		return e.RosterDelta
	case e.RouterLoads != nil:
		return e.RouterLoads
	case e.DomainLoads != nil:
		return e.DomainLoads
	case e.FleetLoadSummary != nil:
		return e.FleetLoadSummary
	case e.FleetLoadTable != nil:
		return e.FleetLoadTable
	case e.VersionNews != nil:
		return e.VersionNews
	case e.NoticeNews != nil:
		return e.NoticeNews
	}
	return nil
}

// acceptLoop accepts connections of peers until the listener is closed.
func (m *Mesh) acceptLoop() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			dtloop.Sleep(m.ctx, retryDelay)
			continue
		}
		m.mu.Lock()
		hasRoom := len(m.inbound) < m.maxInbound
		if hasRoom {
			m.inbound[c] = struct{}{}
		}
		closed := m.ctx.Err() != nil
		m.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		if !hasRoom {
			_ = c.Close()
			continue
		}
		buffer := m.buffers.Accept(c)
		m.wg.Go(func() {
			m.receiveLoop(c, buffer)
			_ = c.Close()
			buffer.Return()
			m.mu.Lock()
			delete(m.inbound, c)
			m.mu.Unlock()
		})
	}
}

// receiveLoop posts the messages of a peer as events until its connection fails, the bounds of its frames are lost, or the
// connection has served as a tunnel. A message that can't be decoded is reported and skipped.
func (m *Mesh) receiveLoop(c net.Conn, buffer *dtbudget.ReceiveBuffer) {
	r := bufio.NewReaderSize(c, bufferBytes)
	from := hostOf(c) // Until the peer has named itself.
	isPeer := false
	for m.ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(readTimeout))
		body, err := dtwire.ReadFrame(r)
		if errors.Is(err, dtwire.ErrFrameSize) {
			m.reportUnreadable(dtdispatch.PeerMessageUnreadable{From: from, Kind: unknownKind, Detail: err.Error(), IsClosed: true})
		}
		if err != nil {
			return
		}
		e, err := decode(body)
		if err != nil {
			kind, isIntact := inspect(body)
			m.reportUnreadable(dtdispatch.PeerMessageUnreadable{From: from, Kind: kind, Detail: err.Error(), IsClosed: !isIntact})
			if isIntact {
				continue
			}
			return
		}
		if e.TunnelRequest != nil {
			m.serveTunnel(c, r, e.TunnelRequest)
			return
		}
		message := e.message()
		if message == nil {
			m.reportUnreadable(dtdispatch.PeerMessageUnreadable{From: from, Kind: unknownKind, Detail: "no message of a known kind"})
			continue
		}
		if !isPeer {
			isPeer = true
			buffer.Widen(c, dtintake.PeerReceiveBytes)
		}
		from = cmp.Or(senderOf(message), from)
		m.events.Post(dtdispatch.PeerMessageReceived{From: from, Message: message})
	}
}

// run reconnects to the peer until ctx is done and sends the queued messages.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.writeLoop(ctx) != nil {
			dtloop.Sleep(ctx, retryDelay)
		}
	}
}

// writeLoop dials the peer and sends queued messages until the connection fails or
// ctx is done.
func (l *link) writeLoop(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := dtsocket.SetUserTimeout(c, unackedTimeout); err != nil {
		return err
	}
	w := bufio.NewWriterSize(c, bufferBytes)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case body := <-l.queue:
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := dtwire.WriteFrame(w, body); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}
