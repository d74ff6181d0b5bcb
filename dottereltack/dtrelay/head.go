package dtrelay

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack/dthead"
)

// Errors of a caller's request.
var (
	errHeadTooLarge      = errors.New("request head too large")
	errBodyTooLarge      = errors.New("request body too large")
	errMalformedHead     = errors.New("malformed request head")
	errUnsupportedCoding = errors.New("unsupported transfer coding")
)

// chunkedLength is the RequestHead.Length of a body with chunked transfer coding.
const chunkedLength = -1

// HeaderField is one field line of a request or response header.
type HeaderField struct {
	Name  string
	Value string
}

// RequestHead is the request line and the header of a caller's request.
type RequestHead struct {
	Method         string
	Target         string // Path and query as sent.
	Path           string // Target without its query.
	Host           string
	Fields         []HeaderField // End-to-end header fields, without Host, Expect and framing fields.
	Length         int           // Length of the body in bytes, or chunkedLength.
	ReadAt         time.Time     // When the head had been read.
	Close          bool          // The connection is to be closed after the response.
	IsHTTP10       bool          // The caller can't read a chunked body.
	ExpectContinue bool          // The caller waits for status 100 before it sends the body.
}

// Get returns the value of the first header field with that name, or "".
func (h *RequestHead) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// size returns the memory that the head takes, in bytes.
func (h *RequestHead) size() int64 {
	const fieldBytes = 32 // Two string headers.
	n := len(h.Method) + 2*len(h.Target) + len(h.Host)
	for i := range h.Fields {
		n += len(h.Fields[i].Name) + len(h.Fields[i].Value) + fieldBytes
	}
	return int64(n)
}

// readRequestHead reads the head of a request. To prevent request smuggling, it accepts
// only what every recipient parses the same way: no bare line feeds, no folded lines and
// only one framing of the body.
func readRequestHead(r *bufio.Reader, maxBytes int) (*RequestHead, error) {
	h := &RequestHead{}
	line, remaining, err := readLine(r, maxBytes)
	if err != nil {
		return nil, err
	}
	if err := h.parseRequestLine(line); err != nil {
		return nil, err
	}
	f := framing{length: -1}
	for {
		line, remaining, err = readLine(r, remaining)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		if err := h.parseField(line, &f); err != nil {
			return nil, err
		}
	}
	return h, h.setBodyLength(&f)
}

// readLine reads one line that ends in CR LF. It returns the line without the line end
// and the remaining limit.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, int, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > maxBytes:
		return nil, 0, errHeadTooLarge
	case err != nil:
		return nil, 0, err
	}
	n := len(line)
	if n < len("\r\n") || line[n-2] != '\r' || bytes.IndexByte(line[:n-2], '\r') >= 0 {
		return nil, 0, errMalformedHead
	}
	return line[:n-2], maxBytes - n, nil
}

func (h *RequestHead) parseRequestLine(line []byte) error {
	parts := strings.Split(string(line), " ")
	const partCount = 3
	if len(parts) != partCount || !dthead.IsToken(parts[0]) || !isTarget(parts[1]) {
		return errMalformedHead
	}
	h.Method, h.Target = parts[0], parts[1]
	h.Path, _, _ = strings.Cut(h.Target, "?")
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.Close, h.IsHTTP10 = true, true
	default:
		return errMalformedHead
	}
	return nil
}

// isTarget reports whether s is a request target in origin form.
func isTarget(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// framing collects the header fields that determine the length of the body, and counts the
// fields that must be unique.
type framing struct {
	length      int // Value of Content-Length.
	lengthCount int
	codingCount int
	hostCount   int
}

func (h *RequestHead) parseField(line []byte, f *framing) error {
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || !dthead.IsToken(name) || !dthead.IsFieldValue(value) {
		return errMalformedHead
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(name) {
	case "content-length":
		return f.parseLength(value)
	case "transfer-encoding":
		f.codingCount++
		if !strings.EqualFold(value, "chunked") {
			return errUnsupportedCoding
		}
	case "host":
		f.hostCount++
		h.Host = value
	case "connection":
		h.Close = h.Close || dthead.HasOption(value, "close")
	case "expect":
		h.ExpectContinue = strings.EqualFold(value, "100-continue")
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade", "proxy-authorization":
	default:
		h.Fields = append(h.Fields, HeaderField{Name: name, Value: value})
	}
	return nil
}

// parseLength parses Content-Length. Only a single plain decimal number is accepted.
func (f *framing) parseLength(value string) error {
	f.lengthCount++
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil || f.lengthCount > 1 || value[0] == '+' {
		return errMalformedHead
	}
	f.length = int(n)
	return nil
}

// setBodyLength checks the framing of the body and sets its length.
func (h *RequestHead) setBodyLength(f *framing) error {
	switch {
	case f.hostCount != 1, f.codingCount > 1, f.codingCount == 1 && f.lengthCount > 0:
		return errMalformedHead
	case f.codingCount == 1:
		h.Length = chunkedLength
	case f.lengthCount == 1:
		h.Length = f.length
	}
	return nil
}

// readTrailer reads the trailer fields, which are not forwarded.
func readTrailer(r *bufio.Reader, maxBytes int) error {
	for {
		line, remaining, err := readLine(r, maxBytes)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		maxBytes = remaining
	}
}
