package dtrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Bounds of a caller's connection.
const (
	callerBuffer = 16 << 10
	writeWithin  = 5 * time.Second // A caller that reads nothing for that long is disconnected.
	bodyWithin   = 10 * time.Second
)

// callerConn is the connection of one caller.
type callerConn struct {
	net.Conn
	r    *bufio.Reader
	out  bytes.Buffer
	busy bool      // Guarded by the relay's mutex, like idle.
	idle time.Time // Since when no request is waiting.
}

// newCallerConn returns a caller's connection.
func newCallerConn(c net.Conn) *callerConn {
	return &callerConn{Conn: c, r: bufio.NewReaderSize(c, callerBuffer), idle: time.Now()}
}

// awaitRequest waits for the first byte of a request.
func (c *callerConn) awaitRequest(l *dtdispatch.Limits, first bool) bool {
	within := l.IdleTimeout
	if first {
		within = max(l.HeaderTimeout, l.IdleTimeout)
	}
	if c.r.Buffered() == 0 {
		_ = c.SetReadDeadline(time.Now().Add(within))
	}
	_, err := c.r.Peek(1)
	return err == nil
}

// readRequest reads a whole request; a status other than zero says why it is not
// taken, and no head that the connection has ended.
func (c *callerConn) readRequest(l *dtdispatch.Limits) (*Head, []byte, int) {
	_ = c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	h, err := readHead(c.r, l.MaxHeaderBytes)
	if err != nil {
		return nil, nil, statusOf(err)
	}
	if h.Length == 0 {
		return h, nil, 0
	}
	if h.Expect && c.r.Buffered() == 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, 0
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyWithin))
	body, err := readBody(c.r, h, l.MaxBodyBytes)
	if err != nil {
		return nil, nil, statusOf(err)
	}
	return h, body, 0
}

// statusOf returns the status that a caller gets for a request that can't be read, or
// zero when nobody waits for one.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errCoding):
		return http.StatusNotImplemented
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, errHead):
		return http.StatusBadRequest
	}
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return 0
	}
	return http.StatusBadRequest
}

// reject answers what can't be read as a request; the connection ends with it.
func (c *callerConn) reject(status int) {
	_ = c.writeAnswer(status, []Field{{Name: "Connection", Value: "close"}}, nil)
	c.drain()
}

// drain reads on briefly, since closing with unread bytes would reset the
// connection before the caller has read its answer.
func (c *callerConn) drain() {
	const within, most = 200 * time.Millisecond, 256 << 10
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, _ = io.CopyN(io.Discard, c.r, most)
}

// writeAnswer writes a whole answer.
func (c *callerConn) writeAnswer(status int, fields []Field, body []byte) error {
	c.startHead(status, fields)
	c.addField("Content-Length", strconv.Itoa(len(body)))
	c.out.WriteString("\r\n")
	c.out.Write(body)
	return c.flush()
}

// startHead begins an answer's head in the buffer.
func (c *callerConn) startHead(status int, fields []Field) {
	c.out.Reset()
	c.out.WriteString("HTTP/1.1 ")
	c.out.WriteString(strconv.Itoa(status))
	c.out.WriteByte(' ')
	c.out.WriteString(http.StatusText(status))
	c.out.WriteString("\r\n")
	for i := range fields {
		c.addField(fields[i].Name, fields[i].Value)
	}
}

// addField adds one field to the head in the buffer.
func (c *callerConn) addField(name, value string) {
	c.out.WriteString(name)
	c.out.WriteString(": ")
	c.out.WriteString(value)
	c.out.WriteString("\r\n")
}

// addChunk adds one chunk of a body to the buffer; an empty one ends the body.
func (c *callerConn) addChunk(b []byte) {
	const hexadecimal = 16
	c.out.WriteString(strconv.FormatInt(int64(len(b)), hexadecimal))
	c.out.WriteString("\r\n")
	c.out.Write(b)
	c.out.WriteString("\r\n")
}

// flush sends the buffer.
func (c *callerConn) flush() error {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := c.Write(c.out.Bytes())
	c.out.Reset()
	return err
}
