package dtrelay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// Timeouts and limits of connections to backend servers.
const (
	connectCheckTimeout      = 400 * time.Millisecond  // A host that does not respond for this long is down or unreachable.
	viaCheckTimeout          = 2 * connectCheckTimeout // Of a check by way of other routers, all together.
	defaultServerIdleTimeout = 4 * time.Second         // Used if the server does not specify it.
	minServerIdleTimeout     = time.Second             // A server that closes a connection earlier has probably ended.
	serverIdleMargin         = 500 * time.Millisecond  // Subtracted from the server's own idle timeout.
	maxIdleTimeAtMostOnce    = time.Second             // Idle time limit for requests that must not run twice.
	maxTunnelAge             = 5 * time.Second         // Another router tells of servers those that have asked it for a tunnel lately.
	readBufferBytes          = 4 << 10
	// The kernel closes a connection whose data stays unacknowledged for unackedTimeout, or at the first keep-alive probe that is later and follows an
	// unanswered one, whatever their count. The host of a sound server may be silent for a second.
	unackedTimeout = 2500 * time.Millisecond
)

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	reader       *bufio.Reader
	limiter      *headLimiter   // Source of reader.
	patient      *patientReader // Source of limiter.
	reused       bool
	openedAt     time.Time
	via          string        // Router by way of which it was opened, or "".
	failedVia    []string      // Routers that were asked for a tunnel before, for the current request.
	replaces     bool          // The server had closed an idle connection shortly after its last use.
	outOfSync    bool          // The server has sent a response to an earlier request, or an unexpected one.
	requestIDs   requestIDs    // Of the requests sent.
	start        int64         // Of the process that has accepted it, in Unix milliseconds, as its server has named it; zero if it has not.
	isStartAsked bool          // The server has been asked for start, or is not to be.
	idleTimeout  time.Duration // How long the server keeps the connection open.
	lastUsed     time.Time
	buffer       *dtbudget.ReceiveBuffer // Returned by Close.
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.buffer.Return()
	return err
}

// connector opens a connection to a server whose receive buffer has a size in bytes; failedVia names the routers that have
// failed to.
type connector interface {
	Connect(ctx context.Context, send *dtdispatch.SendRequest, receiveBytes int64) (c net.Conn, failedVia []string, err error)
}

// directConnector connects to servers without another router.
type directConnector struct{ dialer net.Dialer }

func newDirectConnector() *directConnector { return &directConnector{dialer: dtsocket.ServerDialer()} }

// Connect implements connector.
func (d *directConnector) Connect(ctx context.Context, send *dtdispatch.SendRequest, receiveBytes int64) (net.Conn, []string, error) {
	c, err := d.dial(ctx, send.Address, send.ConnectTimeout, receiveBytes)
	if err != nil {
		return nil, nil, err
	}
	if err := dtsocket.SetUserTimeout(c, unackedTimeout); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, nil, nil
}

func (d *directConnector) dial(ctx context.Context, address string, timeout time.Duration, receiveBytes int64) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := dtsocket.WithReceiveBuffer(d.dialer, receiveBytes)
	return dialer.DialContext(ctx, "tcp", address)
}

// tunnelConnector connects to servers by way of other routers.
type tunnelConnector struct{ dialer dttunnel.Dialer }

// Connect implements connector.
func (t *tunnelConnector) Connect(ctx context.Context, send *dtdispatch.SendRequest, receiveBytes int64) (net.Conn, []string, error) {
	ctx, cancel := context.WithDeadline(ctx, send.Deadline)
	defer cancel()
	dialer := t.dialer
	dialer.ReceiveBytes = receiveBytes
	c, failedVia, err := dialer.Dial(ctx, send.Via, dttunnel.Target{Server: send.Server, Start: send.Start}, send.ConnectTimeout)
	if err != nil {
		return nil, nil, err
	}
	return c, failedVia, nil
}

// idlePool keeps idle connections to backend servers by address. Tunnels have a pool of their own.
type idlePool struct {
	connector connector
	buffers   *dtbudget.ReceiveBuffers // Of the connections.
	mu        sync.Mutex               // Guards the next two fields.
	idle      map[string][]*serverConn
	closed    bool
	maxIdle   int // Connections to all addresses; zero for no limit.
}

func newIdlePool(c connector) *idlePool {
	return &idlePool{connector: c, idle: map[string][]*serverConn{}}
}

// get returns a connection for a request: an idle one that is still open, or else a new one. A
// request without an ID always gets a new one.
func (p *idlePool) get(ctx context.Context, requestID string, send *dtdispatch.SendRequest) (*serverConn, error) {
	c, hasClosed := p.takeOpen(requestID, send, time.Now())
	if c == nil {
		var err error
		if c, err = p.connect(ctx, send); err != nil {
			return nil, err
		}
		c.replaces = hasClosed
	}
	c.requestIDs.add(requestID)
	return c, nil
}

// takeOpen removes and returns an idle connection that a request may use, or nil, and whether the server has closed
// another one within minServerIdleTimeout. It closes those that it may not use.
func (p *idlePool) takeOpen(requestID string, send *dtdispatch.SendRequest, now time.Time) (c *serverConn, hasClosed bool) {
	if requestID == "" {
		return nil, false
	}
	for c = p.take(send.Address); c != nil; c = p.take(send.Address) {
		age := now.Sub(c.lastUsed)
		isOld := c.via != "" && now.Sub(c.openedAt) >= maxTunnelAge
		isOther := send.StatusPath != "" && c.start != 0 && c.start != send.Start
		if !isOld && !isOther && age < c.idleTimeout && (!send.AtMostOnce || age < maxIdleTimeAtMostOnce) && !c.requestIDs.contains(requestID) {
			if c.isIdle() {
				c.reused, c.replaces, c.failedVia = true, false, nil
				return c, hasClosed
			}
			hasClosed = hasClosed || age < minServerIdleTimeout && c.hasServerClosed()
		}
		_ = c.Close()
	}
	return nil, hasClosed
}

// takeForStatus removes and returns the oldest idle connection that a status request may use, or nil. A late answer to a
// status request before could not be told from the next, so that none is sent on a connection that has had one lately.
func (p *idlePool) takeForStatus(e *dtdispatch.CheckServer, now time.Time) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[e.Address]
	oldest := -1
	for i, c := range list {
		isUsable := now.Sub(c.lastUsed) < c.idleTimeout && !c.requestIDs.contains("") && (len(e.Via) == 0 || c.via == e.Via[0].Router)
		if isUsable && (oldest < 0 || c.openedAt.Before(list[oldest].openedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	c := list[oldest]
	p.idle[e.Address] = slices.Delete(list, oldest, oldest+1)
	c.reused, c.replaces, c.failedVia = true, false, nil
	return c
}

// connect returns a new connection.
func (p *idlePool) connect(ctx context.Context, send *dtdispatch.SendRequest) (*serverConn, error) {
	buffer := p.buffers.Take()
	c, failedVia, err := p.connector.Connect(ctx, send, buffer.Bytes)
	if err != nil {
		buffer.Return()
		return nil, err
	}
	patient := &patientReader{r: c}
	limiter := &headLimiter{r: patient}
	return &serverConn{
		Conn: c, patient: patient, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), idleTimeout: defaultServerIdleTimeout,
		openedAt: time.Now(), via: dttunnel.Via(c), failedVia: failedVia, buffer: buffer,
	}, nil
}

// take removes and returns the most recently used idle connection, or nil.
func (p *idlePool) take(address string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put adds a connection whose last response was read completely; it closes the connection if the
// pool is closed, or full. It closes the oldest
// connections to the address if they have expired or exceed maxIdleConns.
func (p *idlePool) put(address string, c *serverConn, maxIdleConns int, now time.Time) {
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.isFull() {
		_ = c.Close()
		return
	}
	list := p.idle[address]
	for len(list) > 0 && (now.Sub(list[0].lastUsed) > list[0].idleTimeout || len(list) >= maxIdleConns) {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// isFull reports whether there are maxIdle connections. p.mu must be held.
func (p *idlePool) isFull() bool {
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return p.maxIdle > 0 && n >= p.maxIdle
}

func (p *idlePool) closeAddress(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

func (p *idlePool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// isTunnelLost reports whether the connection was a tunnel that has broken without a word of the server.
func (c *serverConn) isTunnelLost() bool {
	tunnel, ok := c.Conn.(*dttunnel.Conn)
	return ok && errors.Is(tunnel.Err(), dttunnel.ErrTunnelLost)
}

// hasServerClosed reports whether it is the server that has ended a connection that is not idle any more.
func (c *serverConn) hasServerClosed() bool {
	tunnel, ok := c.Conn.(*dttunnel.Conn)
	return !ok || tunnel.HasServerClosed()
}

// isIdle reports whether the server has neither closed the connection nor sent unexpected
// data.
func (c *serverConn) isIdle() bool {
	if tunnel, ok := c.Conn.(*dttunnel.Conn); ok && !tunnel.IsIdle() {
		return false
	}
	return c.reader.Buffered() == 0 && dtsocket.IsIdle(c.Conn)
}

// abandon closes the connection, and drops what the server has not got of the request.
func (c *serverConn) abandon() {
	conn := c.Conn
	if tunnel, ok := conn.(*dttunnel.Conn); ok {
		conn = tunnel.Conn
	}
	dtsocket.ResetIfUnacknowledged(conn)
	_ = c.Close()
}
