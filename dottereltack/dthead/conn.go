package dthead

import (
	"bytes"
	"net"
	"strconv"
	"time"
)

const (
	dialTimeout      = 3 * time.Second
	maxConnHeadBytes = 64 << 10
)

// Conn is a client's connection that checks the heads of responses ahead of an HTTP library whose parser is more lenient. The client
// sends a request after it has read the response to the one before. Lines end in CR LF alone, so that both find the same lines.
type Conn struct {
	net.Conn
	parser *parser // Of the head that is awaited, or nil.
	line   []byte  // What has been read of its current line.
	err    error   // Of a head, or nil.
}

// NewConn returns a connection that checks what is read from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial opens a TCP connection that checks heads.
func Dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	c.awaitHead()
	return c.Conn.Write(b)
}

func (c *Conn) awaitHead() { c.parser, c.line = newParser(), c.line[:0] }

// Read implements io.Reader. It returns an error like that of Read for a malformed head, of whose last bytes it leaves one: libraries
// take an error before the first byte for the end of the connection.
func (c *Conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if c.err = c.check(b[:n]); c.err != nil {
		n, err = 1, nil
	}
	return n, err
}

// check reads the lines of the heads that b holds, up to the first byte of the body.
func (c *Conn) check(b []byte) error {
	for c.parser != nil && len(b) > 0 {
		n := bytes.IndexByte(b, '\n') + 1
		if n == 0 {
			n = len(b)
		}
		c.line = append(c.line, b[:n]...)
		b = b[n:]
		if c.parser.head.Size+len(c.line) > maxConnHeadBytes {
			return ErrTooLarge
		}
		if c.line[len(c.line)-1] != '\n' {
			return nil
		}
		if err := c.checkLine(); err != nil {
			return err
		}
	}
	return nil
}

// checkLine reads the line that has ended. After the head of a final response, nothing is awaited until the next request.
func (c *Conn) checkLine() error {
	if !bytes.HasSuffix(c.line, []byte("\r\n")) {
		return malformed("line end", string(c.line))
	}
	isEnd, err := c.parser.parseLine(c.line)
	c.line = c.line[:0]
	status := c.parser.head.Status
	switch {
	case err != nil:
		return err
	case !IsInterim(status) && !IsFinal(status):
		return malformed("status", strconv.Itoa(status))
	case isEnd && IsInterim(status):
		c.awaitHead()
	case isEnd:
		c.parser = nil
	}
	return nil
}
