package dtserver

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Timeouts and limits of connections to backend servers.
const (
	dialTimeout            = time.Second
	writeTimeout           = 2 * time.Second // Also for the reads of Response.DiscardRest.
	idleTimeout            = 3 * time.Second
	maxIdleConnsPerAddress = 64
	readBufferBytes        = 8 << 10
)

// serverConn is a buffered connection to a backend server.
type serverConn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	stop     func() bool             // Ends the wait for the context of the request; nil if there is none.
	buffer   *dtbudget.ReceiveBuffer // Returned by Close.
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.release()
	err := c.Conn.Close()
	c.buffer.Return()
	return err
}

// release ends the wait for the context of the request, and reports whether the connection can be used on.
func (c *serverConn) release() bool {
	if c.stop == nil {
		return true
	}
	isOpen := c.stop()
	c.stop = nil
	return isOpen
}

// abandon ends the request, and drops what the server has not got of it.
func (c *serverConn) abandon() {
	dtsocket.ResetIfUnacknowledged(c.Conn)
	_ = c.Conn.Close()
}

// idlePool keeps idle connections by address; at-most-once requests never take one from it.
type idlePool struct {
	mu   sync.Mutex
	idle map[string][]*serverConn
}

// get removes and returns the most recently used connection that is still open, or nil.
func (p *idlePool) get(address string, now time.Time) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Sub(c.lastUsed) < idleTimeout && !c.isStale() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// isStale reports whether the server has closed the connection or sent unexpected data.
func (c *serverConn) isStale() bool {
	return c.reader.Buffered() > 0 || !dtsocket.IsIdle(c.Conn)
}

// put adds a connection whose last response was read completely.
func (p *idlePool) put(address string, c *serverConn, now time.Time) {
	if !c.release() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*serverConn{}
	}
	if len(p.idle[address]) >= maxIdleConnsPerAddress {
		_ = c.Close()
		return
	}
	c.lastUsed = now
	p.idle[address] = append(p.idle[address], c)
}

func (p *idlePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = nil
}

func dial(ctx context.Context, d *net.Dialer, buffers *dtbudget.ReceiveBuffers, address string) (*serverConn, error) {
	c, buffer, err := buffers.Dial(ctx, *d, address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: c, buffer: buffer, reader: bufio.NewReaderSize(c, readBufferBytes), writer: bufio.NewWriter(c)}, nil
}

// writeRequest writes a request. If it fails, the server may still have received the
// request and run it.
func (c *serverConn) writeRequest(httpReq *fasthttp.Request) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := httpReq.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}
