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
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// Timeouts and limits of a caller's connection.
const (
	callerBufferBytes  = 16 << 10
	maxKeptBufferBytes = 64 << 10        // A larger write buffer is dropped after a response.
	callerWriteTimeout = 5 * time.Second // A caller that reads nothing for this long is disconnected.
	bodyReadTimeout    = 10 * time.Second
)

// callerConn is a buffered connection of a caller.
type callerConn struct {
	net.Conn
	reader    *bufio.Reader
	out       bytes.Buffer
	holder    *dtbudget.Holder // What the connection holds; nil if that is not counted.
	requestID func(*RequestHead) string
	busy      bool      // A request is in flight. Guarded by Relay.mu, like idleSince.
	idleSince time.Time // When the connection was accepted or busy last changed.
}

func newCallerConn(c net.Conn) *callerConn {
	return &callerConn{Conn: c, reader: bufio.NewReaderSize(c, callerBufferBytes), idleSince: time.Now()}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// fails or none arrives in time.
func (c *callerConn) awaitRequest(l *dtdispatch.Limits, first bool) bool {
	timeout := l.IdleTimeout
	if first {
		timeout = max(l.HeaderTimeout, l.IdleTimeout)
	}
	if c.reader.Buffered() == 0 {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
	}
	_, err := c.reader.Peek(1)
	if err == nil {
		c.holder.SetStage(dtintake.StageHead, time.Now())
	}
	return err == nil
}

// readRequest reads a request with its body. If the request is to be rejected, it returns
// the status of the response, and the head if it has one; if the connection has ended, the status is zero and the body nil.
func (c *callerConn) readRequest(l *dtdispatch.Limits) (*RequestHead, []byte, int) {
	_ = c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	h, err := readRequestHead(c.reader, l.MaxHeaderBytes)
	if err != nil {
		return nil, nil, errorStatus(err)
	}
	h.ReadAt = time.Now()
	if !c.holder.Grow(h.size(), h.ReadAt) {
		return h, nil, statusOverloaded
	}
	if h.Length == 0 {
		c.holder.SetStage(dtintake.StageRunning, time.Now())
		return h, nil, 0
	}
	c.holder.SetStage(dtintake.StageBody, time.Now())
	c.holder.SetRequest(func() string { return c.requestID(h) })
	if h.ExpectContinue && c.reader.Buffered() == 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, 0
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := readBody(c.reader, h, l.MaxBodyBytes, c.holder)
	if err != nil {
		if status := errorStatus(err); status != 0 {
			return h, nil, status
		}
		return nil, nil, 0
	}
	c.holder.SetStage(dtintake.StageRunning, time.Now())
	return h, body, 0
}

// errorStatus returns the status to send for a request that can't be read, or zero if the
// connection has failed.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, dtbudget.ErrNoRoom):
		return statusOverloaded
	case errors.Is(err, errUnsupportedCoding):
		return http.StatusNotImplemented
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, errMalformedHead):
		return http.StatusBadRequest
	}
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return 0
	}
	return http.StatusBadRequest
}

// reject responds to a request that can't be read and ends the connection.
func (c *callerConn) reject(status int, fields []HeaderField) {
	_ = c.writeResponse(status, append(fields, HeaderField{Name: "Connection", Value: "close"}), nil)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	const timeout, maxBytes = 200 * time.Millisecond, 256 << 10
	c.holder.Discard(c.Conn, timeout, maxBytes)
}

func (c *callerConn) writeResponse(status int, fields []HeaderField, body []byte) error {
	c.startHead(status, fields)
	c.addField("Content-Length", strconv.Itoa(len(body)))
	c.out.WriteString("\r\n")
	if len(body) <= callerBufferBytes {
		c.out.Write(body)
		return c.flush()
	}
	if err := c.flush(); err != nil { // A copy of a large body would take its memory twice.
		return err
	}
	_, err := c.Write(body)
	return err
}

// startHead adds the status line and header fields of a response to the buffer.
func (c *callerConn) startHead(status int, fields []HeaderField) {
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

func (c *callerConn) addField(name, value string) {
	c.out.WriteString(name)
	c.out.WriteString(": ")
	c.out.WriteString(value)
	c.out.WriteString("\r\n")
}

// setResetOnClose sets whether the connection is reset when it is closed, also by the kernel at the end of the process.
func (c *callerConn) setResetOnClose(reset bool) {
	const discardUnsent, sendUnsent = 0, -1
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(discardUnsent)
	} else if ok {
		_ = tcp.SetLinger(sendUnsent)
	}
}

// addChunk adds a chunk of the body to the buffer. An empty chunk ends the body.
func (c *callerConn) addChunk(b []byte) {
	const hexadecimal = 16
	c.out.WriteString(strconv.FormatInt(int64(len(b)), hexadecimal))
	c.out.WriteString("\r\n")
	c.out.Write(b)
	c.out.WriteString("\r\n")
}

func (c *callerConn) flush() error {
	_ = c.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := c.Write(c.out.Bytes())
	c.out.Reset()
	if c.out.Cap() > maxKeptBufferBytes {
		c.out = bytes.Buffer{}
	}
	return err
}
