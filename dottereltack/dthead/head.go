package dthead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// UnknownLength is the Head.Length of a response without Content-Length.
const UnknownLength = -1

// Errors of a head that can't be read.
var (
	// ErrMalformed is the cause of all errors of a head that is not as HTTP/1 defines it.
	ErrMalformed = errors.New("malformed response head")
	// ErrTooLarge is returned for a head with more bytes than the reader accepts.
	ErrTooLarge = errors.New("response head too large")
)

// Head is the status line and the header of a response.
type Head struct {
	Status    int
	IsHTTP10  bool
	Header    http.Header // With canonical names.
	Length    int64       // Value of Content-Length in bytes, or UnknownLength.
	IsChunked bool        // The body has chunked transfer coding, which overrides Length.
	Size      int         // Of the head in bytes.
}

// AllowsBody reports whether a response to a request with method may have a body.
func (h *Head) AllowsBody(method string) bool {
	return method != http.MethodHead && h.Status >= http.StatusOK && h.Status != http.StatusNoContent && h.Status != http.StatusNotModified
}

// ClosesConnection reports whether the server will close the connection after the response.
func (h *Head) ClosesConnection() bool {
	connection := strings.Join(h.Header["Connection"], ",")
	return HasOption(connection, "close") || h.IsHTTP10 && !HasOption(connection, "keep-alive")
}

// Read reads a head with its blank line, of maxBytes at most. It returns an error that wraps ErrMalformed if the head is malformed, and
// io.ErrUnexpectedEOF if r ends within it.
func Read(r *bufio.Reader, maxBytes int) (*Head, error) {
	p := newParser()
	for {
		line, err := readLine(r, maxBytes-p.head.Size)
		if err != nil {
			return nil, p.endError(line, err)
		}
		isEnd, err := p.parseLine(line)
		if err != nil {
			return nil, err
		}
		if isEnd {
			return &p.head, nil
		}
	}
}

// ReadTrailer reads and drops the trailer section of a chunked body, of maxBytes at most. Its errors are those of Read. Like the lines of
// chunks, those of a trailer end in CR LF.
func ReadTrailer(r *bufio.Reader, maxBytes int) error {
	for {
		line, err := readLine(r, maxBytes)
		if err != nil {
			return unexpectedEOF(err)
		}
		maxBytes -= len(line)
		line, isWhole := bytes.CutSuffix(line, []byte("\r\n"))
		switch {
		case !isWhole:
			return malformed("line end", string(line))
		case len(line) == 0:
			return nil
		}
		if _, _, err := parseField(string(line)); err != nil {
			return err
		}
	}
}

// readLine reads a line with its line end, valid until the next read. With an error it returns what has come of the line.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxBytes {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if len(line) > maxBytes {
		return nil, ErrTooLarge
	}
	return line, err
}

// trimLineEnd removes CR LF or, as RFC 9112, section 2.2, allows, LF alone.
func trimLineEnd(line []byte) []byte {
	n := len(line) - 1
	if n > 0 && line[n-1] == '\r' {
		n--
	}
	return line[:n]
}

// unexpectedEOF returns err, or io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsInterim reports whether a status is one of an informational (1xx) response, which another one follows. After 101, which no request
// asks for, the connection speaks another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a status is one of a response that answers a request.
func IsFinal(status int) bool {
	const end = 600
	return status >= http.StatusOK && status < end
}
