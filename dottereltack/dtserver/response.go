package dtserver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// Limits of responses.
const (
	maxResponseBytes = 16 << 20 // Of the body that ReadBody returns.
	maxLineBytes     = 1 << 20  // Of a line that ReadLine returns.
	maxTrailerBytes  = 4 << 10  // Of a chunked body; it is dropped.
	maxReportBytes   = 1 << 20  // Of the body of a response to a probe or command.
)

// Special values of Response.contentLength.
const (
	lengthChunked  = -1
	lengthIdentity = -2 // The body ends when the connection is closed.
)

// Errors of responses that are cut or exceed a limit.
var (
	errRequestNotRead   = errors.New("server has ended a response with its connection before it has read the request")
	errResponseTooLarge = errors.New("response body too large")
	errNoRoom           = errors.New("no room for the response body")
	errLineTooLong      = errors.New("line too long")
)

// Response is the response of a backend server whose body is still being read; it is not safe
// for concurrent use.
type Response struct {
	Status        int
	ContentType   string
	client        *Client
	address       string
	conn          *serverConn
	head          *dthead.Head
	contentLength int  // Length of the body, lengthChunked or lengthIdentity.
	remaining     int  // Unread bytes of the body or of the current chunk.
	started       bool // The first read has set remaining.
	eof           bool // The body has been read completely.
	reusable      bool // The connection may serve another request after the body.
	lineReader    *bufio.Reader
}

// newResponse returns a response whose head has been read from cn.
func newResponse(c *Client, address string, cn *serverConn, head *dthead.Head) *Response {
	r := &Response{
		Status: head.Status, ContentType: head.Header.Get("Content-Type"), client: c, address: address, conn: cn, head: head, contentLength: int(head.Length),
	}
	switch {
	case !head.AllowsBody(http.MethodPost):
		r.contentLength = 0
	case head.IsChunked:
		r.contentLength = lengthChunked
	case head.Length == dthead.UnknownLength:
		r.contentLength = lengthIdentity
	}
	return r
}

// ReadBody reads the rest of the body; a truncated body or one of more than maxResponseBytes
// is an error, and so is one whose next size in bytes hold does not grant. One with neither a
// length nor chunks counts as truncated unless it is a whole JSON object or array, since its
// connection ends in the same way when the server is killed, or if the server has not got all
// of the request, which it may only have begun to answer.
func (r *Response) ReadBody(hold func(size int64) bool) ([]byte, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	body, err := r.readAll(maxResponseBytes, hold)
	if err != nil {
		return nil, wrapError(err, "read", r.address)
	}
	switch {
	case r.contentLength != lengthIdentity:
	case dtsocket.Unacknowledged(r.conn.Conn) > 0:
		return nil, wrapError(errRequestNotRead, "read", r.address)
	case !isWholeValue(body):
		return nil, wrapError(io.ErrUnexpectedEOF, "read", r.address)
	}
	return body, nil
}

// readAll reads the rest of the body, of maxBytes at most, into a buffer that doubles as hold grants it.
func (r *Response) readAll(maxBytes int, hold func(size int64) bool) ([]byte, error) {
	body := make([]byte, 0, readBufferBytes)
	for len(body) <= maxBytes {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBytes+1) // One byte more shows that a body is too large.
			if !hold(int64(size)) {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errResponseTooLarge
}

// isWholeValue reports whether a body is a JSON object or array, no part of which is valid by itself.
func isWholeValue(body []byte) bool {
	body = bytes.TrimLeft(body, " \t\r\n")
	return len(body) > 0 && (body[0] == '{' || body[0] == '[') && json.Valid(body)
}

// ReadLine returns the next line of the body with its line feed, valid until the next call; it
// returns io.EOF only at the end of a complete body.
func (r *Response) ReadLine() ([]byte, error) {
	if r.lineReader == nil {
		r.lineReader = bufio.NewReaderSize(r, readBufferBytes)
	}
	if r.lineReader.Buffered() == 0 {
		_ = r.conn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
	}
	line, err := r.lineReader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := slices.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = r.lineReader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// Read implements io.Reader for the body.
func (r *Response) Read(p []byte) (int, error) {
	if r.eof {
		return 0, io.EOF
	}
	if !r.started {
		r.started = true
		r.remaining = max(r.contentLength, 0)
	}
	switch {
	case r.contentLength == lengthIdentity:
		return r.conn.reader.Read(p)
	case r.contentLength == lengthChunked && r.remaining == 0:
		if err := r.readChunkSize(); err != nil {
			return 0, err
		}
	}
	if r.remaining == 0 {
		r.eof = true
		return 0, io.EOF
	}
	n, err := r.conn.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if r.remaining == 0 && r.contentLength == lengthChunked && err == nil {
		err = r.readChunkEnd()
	}
	return n, err
}

// readChunkSize reads the size of the next chunk; size zero ends the body.
func (r *Response) readChunkSize() error {
	line, err := r.conn.reader.ReadSlice('\n')
	if err != nil {
		return asUnexpectedEOF(err)
	}
	const hexadecimal, bits = 16, 31
	size, err := strconv.ParseUint(string(bytes.TrimRight(line, "\r\n")), hexadecimal, bits)
	if err != nil {
		return errMalformedChunk
	}
	r.remaining = int(size)
	if size == 0 {
		return dthead.ReadTrailer(r.conn.reader, maxTrailerBytes)
	}
	return nil
}

// readChunkEnd reads the line end after the data of a chunk.
func (r *Response) readChunkEnd() error {
	line, err := r.conn.reader.ReadSlice('\n')
	if err != nil {
		return asUnexpectedEOF(err)
	}
	if len(bytes.TrimRight(line, "\r\n")) != 0 {
		return errMalformedChunk
	}
	return nil
}

// asUnexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Release returns the connection to the pool if the body was read completely, or else
// closes it.
func (r *Response) Release() {
	if r.reusable && r.eof && r.contentLength != lengthIdentity && r.conn.reader.Buffered() == 0 {
		r.client.pool.put(r.address, r.conn, time.Now())
		return
	}
	_ = r.conn.Close()
}

// Abort closes the connection without reading the rest of the body.
func (r *Response) Abort() { _ = r.conn.Close() }

// DiscardRest reads what is left after the end marker of a streamed response, up to a small
// limit, so that the connection can be reused.
func (r *Response) DiscardRest() {
	const maxBytes = 1 << 10
	_ = r.conn.SetReadDeadline(time.Now().Add(writeTimeout))
	var src io.Reader = r
	if r.lineReader != nil {
		src = r.lineReader
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(src, maxBytes))
}

// IsTimeout reports whether a read error is a timeout.
func IsTimeout(err error) bool { return isTimeout(err) }
