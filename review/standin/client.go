package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names of the deployment that the cases use.
const (
	clientHost = "ficu95.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
)

// NewID returns the ID of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a client has got.
type Answer struct {
	Status   int // Zero if the connection ended before a head.
	Header   http.Header
	Body     string
	Complete bool // The body has ended as its framing says.
	Close    bool // The connection is closed after the answer.
	Err      error
	Took     time.Duration
}

// Ask sends a request on a connection of its own; each line that arrives is passed to onLine unless it is nil. It
// gives up after limit, and after maxGap without a byte unless that is zero.
func Ask(address, method, path string, fields map[string]string, body string, limit, maxGap time.Duration, onLine func(line string)) *Answer {
	start := time.Now()
	a := &Answer{}
	defer func() { a.Took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(limit))
	if _, err := io.WriteString(c, RequestText(method, path, fields, body)); err != nil {
		a.Err = err
		return a
	}
	ReadAnswer(a, bufio.NewReader(&gapReader{Conn: c, end: start.Add(limit), maxGap: maxGap}), method, onLine)
	return a
}

// gapReader gives up when nothing arrives for maxGap.
type gapReader struct {
	net.Conn
	end    time.Time
	maxGap time.Duration
}

// Read implements io.Reader.
func (r *gapReader) Read(p []byte) (int, error) {
	if r.maxGap > 0 {
		deadline := time.Now().Add(r.maxGap)
		if deadline.After(r.end) {
			deadline = r.end
		}
		_ = r.SetReadDeadline(deadline)
	}
	return r.Conn.Read(p)
}

// RequestText returns the bytes of a request.
func RequestText(method, path string, fields map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", method, path, clientHost, apiKey)
	for name, value := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}

// ReadAnswer reads one answer.
func ReadAnswer(a *Answer, r *bufio.Reader, method string, onLine func(line string)) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	defer resp.Body.Close()
	a.Status, a.Header, a.Close = resp.StatusCode, resp.Header, resp.Close
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		a.Body += line
		if onLine != nil && line != "" {
			onLine(strings.TrimRight(line, "\r\n"))
		}
		if err == io.EOF {
			a.Complete = true
			return
		}
		if err != nil {
			a.Err = err
			return
		}
	}
}

// streamFields returns the header fields of a request for a stream whose last prompt part is its own.
func streamFields(id, session string) map[string]string {
	return map[string]string{
		"X-Attempt-Id": id, "X-Model": "m", "X-Token-Usage": "1460,80", "X-Deadline-Ms": "15000",
		"X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410," + session + ":250",
	}
}
