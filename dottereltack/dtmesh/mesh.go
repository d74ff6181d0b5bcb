package dtmesh

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtwire"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Times and bounds of links.
const (
	dialWithin    = time.Second
	writeWithin   = time.Second
	readWithin    = 10 * time.Second // Ten digests that say that nothing has changed.
	unackedWithin = 2 * time.Second
	redialAfter   = 500 * time.Millisecond
	queueMessages = 8
	bufferBytes   = 2 << 10
)

// envelope holds one message; one field is set.
type envelope struct {
	Digest   *dtdispatch.PeerStatus       `msgpack:"d,omitempty"`
	Question *dtdispatch.SyncRequest      `msgpack:"q,omitempty"`
	Site     *dtdispatch.ConfigReply      `msgpack:"s,omitempty"`
	Roster   *dtdispatch.RosterReply      `msgpack:"r,omitempty"`
	Change   *dtdispatch.RosterDelta      `msgpack:"c,omitempty"`
	Loads    *dtdispatch.RouterLoads      `msgpack:"l,omitempty"`
	Domain   *dtdispatch.DomainLoads      `msgpack:"dl,omitempty"`
	Fleet    *dtdispatch.FleetLoadSummary `msgpack:"fl,omitempty"`
}

// handler takes what links bring.
type handler interface {
	Post(ev dtdispatch.Event)
}

// Mesh is the links of one router to the others.
type Mesh struct {
	self     string
	handler  handler
	listener net.Listener
	ctx      context.Context //nolint:containedctx // Ends the links' goroutines at Close.
	cancel   context.CancelFunc
	mu       sync.Mutex
	links    map[string]*link
	inbound  map[net.Conn]struct{}
	group    conc.WaitGroup
}

// link sends to one peer.
type link struct {
	address string
	frames  chan []byte
	cancel  context.CancelFunc
}

// New returns a mesh that listens at address.
func New(self, address string, h handler) (*Mesh, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_peers"), merry.WithValue("peer", address))
	}
	m := &Mesh{self: self, handler: h, listener: ln, links: map[string]*link{}, inbound: map[net.Conn]struct{}{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Address returns the address that peers reach this router at.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Start accepts peers in the background.
func (m *Mesh) Start() { m.group.Go(m.accept) }

// Close ends every link and waits for its goroutines.
func (m *Mesh) Close() {
	m.cancel()
	_ = m.listener.Close()
	m.mu.Lock()
	for c := range m.inbound {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.group.Wait()
}

// SetPeers has the mesh hold a link to each of peers, addresses by name, and to no other.
func (m *Mesh) SetPeers(peers map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if peers[name] != l.address {
			l.cancel()
			delete(m.links, name)
		}
	}
	for name, address := range peers {
		if name == m.self || m.links[name] != nil || m.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		l := &link{address: address, frames: make(chan []byte, queueMessages), cancel: cancel}
		m.links[name] = l
		m.group.Go(func() { l.run(ctx) })
	}
}

// Tell sends a message to one peer, or to all where to is ""; it drops the message
// for a peer whose queue is full.
func (m *Mesh) Tell(to string, message dtdispatch.PeerMessage) error {
	frame, err := encode(message)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if to != "" && name != to {
			continue
		}
		select {
		case l.frames <- frame:
		default:
		}
	}
	return nil
}

// encode returns the bytes of a message.
func encode(message dtdispatch.PeerMessage) ([]byte, error) {
	e := envelope{}
	switch v := message.(type) {
	case *dtdispatch.PeerStatus:
		e.Digest = v
	case *dtdispatch.SyncRequest:
		e.Question = v
	case *dtdispatch.ConfigReply:
		e.Site = v
	case *dtdispatch.RosterReply:
		e.Roster = v
	case *dtdispatch.RosterDelta:
		e.Change = v
	case *dtdispatch.RouterLoads:
		e.Loads = v
	case *dtdispatch.DomainLoads:
		e.Domain = v
	case *dtdispatch.FleetLoadSummary:
		e.Fleet = v
	}
	return msgpack.Marshal(&e)
}

// decode returns the message in a frame, or nil where it holds none that is known.
func decode(frame []byte) (dtdispatch.PeerMessage, error) {
	e := envelope{}
	if err := msgpack.Unmarshal(frame, &e); err != nil {
		return nil, err
	}
	return e.message(), nil
}

// message returns the field that is set, or nil.
func (e *envelope) message() dtdispatch.PeerMessage {
	switch {
	case e.Digest != nil:
		return e.Digest
	case e.Question != nil:
		return e.Question
	case e.Site != nil:
		return e.Site
	case e.Roster != nil:
		return e.Roster
	case e.Change != nil:
		return e.Change
	case e.Loads != nil:
		return e.Loads
	case e.Domain != nil:
		return e.Domain
	case e.Fleet != nil:
		return e.Fleet
	}
	return nil
}

// accept takes connections of peers until the listener is closed.
func (m *Mesh) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			dtloop.Pause(m.ctx, redialAfter)
			continue
		}
		m.mu.Lock()
		m.inbound[c] = struct{}{}
		closed := m.ctx.Err() != nil
		m.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		m.group.Go(func() {
			m.receive(c)
			_ = c.Close()
			m.mu.Lock()
			delete(m.inbound, c)
			m.mu.Unlock()
		})
	}
}

// receive posts what a peer sends until its link ends.
func (m *Mesh) receive(c net.Conn) {
	r := bufio.NewReaderSize(c, bufferBytes)
	for m.ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(readWithin))
		frame, err := dtwire.ReadFrame(r)
		if err != nil {
			return
		}
		message, err := decode(frame)
		if err != nil {
			return
		}
		if message != nil {
			m.handler.Post(dtdispatch.PeerMessageReceived{Message: message})
		}
	}
}

// run keeps a connection to the peer and sends what is queued.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.send(ctx) != nil {
			dtloop.Pause(ctx, redialAfter)
		}
	}
}

// send sends frames over one connection until it fails or ctx ends.
func (l *link) send(ctx context.Context) error {
	d := net.Dialer{Timeout: dialWithin}
	c, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := dtsocket.BoundUnacked(c, unackedWithin); err != nil {
		return err
	}
	w := bufio.NewWriterSize(c, bufferBytes)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-l.frames:
			_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
			if err := dtwire.WriteFrame(w, frame); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}
