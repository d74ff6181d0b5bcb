package dtgate

import (
	"cmp"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// Responses to callers for whom there is no room.
const (
	refuseWriteTimeout = 50 * time.Millisecond // Of a few bytes on a new connection, which has an empty buffer.
	discardTime        = 2 * time.Second       // For the rest of a refused body, which is dropped as it arrives.
	maxDiscardBytes    = 8 << 20
	noPlaceResponse    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// callerListener accepts connections of callers for which the budget has a place. It sets a deadline for each write to a
// caller, so that a caller that does not read can't hold resources indefinitely.
type callerListener struct {
	net.Listener
	budget *dtbudget.Budget
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		holder, hasPlace := l.budget.Open(c, time.Now())
		if hasPlace {
			return &callerConn{Conn: c, holder: holder}, nil
		}
		if tcp, ok := c.(*net.TCPConn); ok { // One with TLS would wait for the caller's side of the handshake.
			_ = tcp.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
			_, _ = io.WriteString(tcp, noPlaceResponse)
		}
		_ = c.Close()
	}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	holder    *dtbudget.Holder
	isRunning bool // A request has arrived completely. Used by the goroutine that reads, like the fields below.
	hasBegun  bool // A request has begun to arrive.
	isRefused bool // More of its body may arrive, which Close drops.
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.isRunning { // Its request has been answered.
		c.isRunning, c.hasBegun = false, false
		c.holder.SetStage(dtintake.StageIdle, time.Now())
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.hasBegun {
		c.hasBegun = true
		c.holder.SetStage(dtintake.StageHead, time.Now())
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.isRefused {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		c.holder.Discard(c.Conn, discardTime, maxDiscardBytes)
	}
	c.holder.Leave()
	return c.Conn.Close()
}

// refuse gives back what has arrived of a body, the rest of which is not read, and has the connection closed after the refusal.
func (c *callerConn) refuse(ctx fiber.Ctx) {
	now := time.Now()
	c.holder.SetStage(dtintake.StageIdle, now)
	c.holder.SetStage(dtintake.StageBody, now)
	c.isRefused = true
	ctx.RequestCtx().Response.SetConnectionClose()
}

// bodyKey is the key of a request's body among the values of its context.
type bodyKey struct{}

// bodyOf returns the body of a request, which holdBody has read.
func bodyOf(c fiber.Ctx) []byte {
	body, _ := c.Locals(bodyKey{}).([]byte)
	return body
}

// holdBody reads the body of a request as far as there is room for it, and returns why the request is to be refused, if it is.
// The connection is not closed for others from then on.
func (g *Gateway) holdBody(c fiber.Ctx) dtstate.Reason {
	conn, ok := c.RequestCtx().Conn().(*callerConn)
	if !ok {
		conn = &callerConn{Conn: c.RequestCtx().Conn()}
	}
	if stream := c.RequestCtx().RequestBodyStream(); stream != nil {
		conn.holder.SetStage(dtintake.StageBody, time.Now())
		body, err := readBody(stream, c.RequestCtx().Request.Header.ContentLength(), g.maxBodyBytes(), conn.holder)
		if reason := refusalOf(err); reason != dtstate.ReasonNone {
			conn.refuse(c)
			return reason
		}
		c.Locals(bodyKey{}, body)
	}
	conn.isRunning = true
	conn.holder.SetStage(dtintake.StageRunning, time.Now())
	return dtstate.ReasonNone
}

func (g *Gateway) maxBodyBytes() int {
	return cmp.Or(g.settings.MaxBodyBytes, dtconfig.DefaultMaxBodyBytes)
}

// errBodyTooLarge is returned for a body over the limit.
var errBodyTooLarge = errors.New("request body too large")

// readBody reads a body of at most maxBytes whose length is announced, or negative if it is not.
func readBody(r io.Reader, length, maxBytes int, holder *dtbudget.Holder) ([]byte, error) {
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	b := dtbudget.BodyBuffer{MaxBytes: length, Holder: holder}
	if length < 0 {
		b.MaxBytes = maxBytes
	}
	err := b.Fill(r)
	if err == nil && length < 0 {
		err = awaitEnd(r)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(b.Bytes) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes, nil
}

// awaitEnd returns io.EOF if a body has ended, and errBodyTooLarge if there is one more byte.
func awaitEnd(r io.Reader) error {
	var next [1]byte
	n, err := io.ReadFull(r, next[:])
	if n > 0 {
		return errBodyTooLarge
	}
	return err
}

// refusalOf returns why a request whose body could not be read is refused.
func refusalOf(err error) dtstate.Reason {
	switch {
	case err == nil:
		return dtstate.ReasonNone
	case errors.Is(err, dtbudget.ErrNoRoom):
		return dtstate.ReasonOverload
	case errors.Is(err, errBodyTooLarge):
		return dtstate.ReasonTooLarge
	}
	return dtstate.ReasonBadRequest
}
