package dttunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// What a server sends travels in parts, each after its length.
const (
	lengthBytes     = 2
	maxPartBytes    = 4 << 10
	endMark         = 0      // In place of a length: the server has closed its side in an orderly way.
	lostMark        = 0xffff // In place of a length: the connection to the server has failed. After endMark: the server has not taken the request.
	stoppingMark    = 0xfffe // In place of a length: the router is about to stop, and the tunnel is not to be used again. Parts may follow.
	readBufferBytes = lengthBytes + maxPartBytes
)

// Errors of a tunnel.
var (
	// ErrTunnelLost is returned if a tunnel has broken without a word of the server.
	ErrTunnelLost = fmt.Errorf("tunnel lost: %w", io.ErrUnexpectedEOF)
	// ErrServerLost is returned if the connection of the other router to the server has failed.
	ErrServerLost = fmt.Errorf("connection between the other router and the server lost: %w", syscall.ECONNRESET)
	errPartSize   = errors.New("part of a tunnel too large")
)

// Conn is a connection to a server by way of another router.
type Conn struct {
	net.Conn
	Via       string        // Name of the other router.
	reader    *bufio.Reader // Of the parts.
	remaining int           // Bytes of the current part that have not been read.
	end       error         // What Read returns once the server's side has ended, or nil.
	stopping  bool          // The other router is about to stop.
}

// newConn returns the connection to a server that has been opened over c; r holds what has been read of c.
func newConn(c net.Conn, r *bufio.Reader, via string) *Conn {
	return &Conn{Conn: c, Via: via, reader: r}
}

// Read implements io.Reader. It returns io.EOF only if the server has closed its side, and goes on after a timeout.
func (c *Conn) Read(p []byte) (int, error) {
	for c.remaining == 0 && c.end == nil {
		if err := c.readLength(); err != nil {
			return 0, c.fail(err)
		}
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err != nil {
		err = c.fail(err)
	}
	return n, err
}

// readLength reads the length of the next part, or the mark in place of one.
func (c *Conn) readLength() error {
	header, err := c.reader.Peek(lengthBytes)
	if err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(header)
	_, _ = c.reader.Discard(lengthBytes)
	switch {
	case n == endMark:
		c.end = io.EOF
	case n == lostMark:
		c.end = ErrServerLost
	case n == stoppingMark:
		c.stopping = true
		return nil
	case n > maxPartBytes:
		return errPartSize
	}
	c.remaining = int(n)
	return nil
}

// fail returns the error for a failed read of the link between the routers.
func (c *Conn) fail(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return err
	}
	c.end = fmt.Errorf("%w (%w)", ErrTunnelLost, withoutEOF(err))
	return c.end
}

// withoutEOF returns err, which must not look like the end of what the server has sent.
func withoutEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		err = fmt.Errorf("%w (%w)", ErrTunnelLost, err)
	}
	return n, err
}

// ConfirmTaken reports, once the server has closed its side, whether it has acknowledged all that was written. Only the other
// router knows: it may have more to send to the server after the end, which then fails. It sends lostMark if so, and ends its side.
// Nothing can be written afterwards. A router of an earlier build ends its side without having looked, for which this is true.
func (c *Conn) ConfirmTaken(deadline time.Time) bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !errors.Is(c.end, io.EOF) || dtsocket.Unacknowledged(c.Conn) > 0 || half.CloseWrite() != nil {
		return false
	}
	_ = c.SetReadDeadline(deadline)
	_, err := c.reader.ReadByte()
	return errors.Is(err, io.EOF)
}

// Err returns why what the server sends has ended, or nil. A parser that has read half a line may say so in place of it.
func (c *Conn) Err() error { return c.end }

// HasServerClosed reports whether the server has ended its side of a tunnel on which nothing is awaited, as opposed to a
// tunnel that has broken.
func (c *Conn) HasServerClosed() bool {
	if c.end != nil || c.remaining > 0 {
		return errors.Is(c.end, io.EOF) || errors.Is(c.end, ErrServerLost)
	}
	mark := make([]byte, lengthBytes)
	buffered, _ := c.reader.Peek(min(lengthBytes, c.reader.Buffered()))
	n := copy(mark, buffered)
	if n += dtsocket.Peek(c.Conn, mark[n:]); n < lengthBytes {
		return false
	}
	length := binary.BigEndian.Uint16(mark)
	return length == endMark || length == lostMark
}

// IsIdle reports whether the tunnel may be used again: it is open, is to stay so, and the server has sent nothing that has not been read.
func (c *Conn) IsIdle() bool {
	return !c.stopping && c.end == nil && c.remaining == 0 && c.reader.Buffered() == 0 && dtsocket.IsIdle(c.Conn)
}
