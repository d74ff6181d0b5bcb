package dtnode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtnode"
	"github.com/dottereltack/dottereltack/dottereltack/dtrelay"
)

// dialect is the simplest one: X-Id names requests, X-Not-Run refuses, X-Signed vouches.
type dialect struct{}

func (dialect) ParseRequest(h *dtrelay.RequestHead) dtrelay.RequestInfo {
	return dtrelay.RequestInfo{ID: h.Get("X-Id"), LastEventID: h.Get("X-Last")}
}

func (dialect) RequestFields(h *dtrelay.RequestHead, send *dtdispatch.SendRequest, _ time.Duration, last string) []dtrelay.HeaderField {
	return append(append([]dtrelay.HeaderField(nil), h.Fields...), dtrelay.HeaderField{Name: "X-To", Value: string(send.Server)}, dtrelay.HeaderField{Name: "X-After", Value: last})
}

func (dialect) ParseResponse(h http.Header) dtrelay.ResponseInfo {
	return dtrelay.ResponseInfo{ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != ""}
}

func (dialect) RefusalFields(id string, after time.Duration) []dtrelay.HeaderField {
	return []dtrelay.HeaderField{{Name: "X-Id", Value: id}, {Name: "Retry-After", Value: fmt.Sprint(after.Seconds())}}
}

func (dialect) Decode([]byte) (*dtdispatch.Config, error) { return nil, nil }

func (dialect) ListServers(time.Duration) {}

func (dialect) ListRouters() {}

func (dialect) WatchAnew() {}

// server is a backend server that a function answers for.
type server struct {
	mu       sync.Mutex
	seen     []string // Method, target, id and last event of each request.
	bodies   []string
	gone     chan string // Ids of requests whose connection ended while they ran.
	address  string
	listener net.Listener
}

// newServer returns a server whose answer function gets each request with its id.
func newServer(t *testing.T, answer func(id string, req *http.Request, c net.Conn)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: ln, address: ln.Addr().String(), gone: make(chan string, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, answer func(id string, req *http.Request, c net.Conn)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.seen = append(s.seen, req.Method+" "+req.RequestURI+" "+id+" "+req.Header.Get("X-After"))
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		answer(id, req, c)
	}
}

// requests returns what has reached the server.
func (s *server) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// ok answers with a signed body.
func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// streamHead begins a signed series of events.
func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// chunk frames a part of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// node is a running router before servers.
type node struct {
	*WithT
	*dtnode.Node
	t *testing.T
}

// newNode returns a running router before servers of one service, in their order.
func newNode(t *testing.T, servers ...*server) *node {
	t.Helper()
	return newLoggingNode(t, io.Discard, servers...)
}

// newLoggingNode returns a running router whose log lines go to w.
func newLoggingNode(t *testing.T, w io.Writer, servers ...*server) *node {
	t.Helper()
	n, err := dtnode.New(dtnode.Settings{
		State: dtdispatch.Settings{RouterName: "r1", Domain: "d", Bounds: dtdispatch.Bounds{
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 800, ShutdownTimeout: 4 * time.Second,
		}},
		Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Output: w,
	}, dialect{}, dialect{}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	n.Start(t.Context(), dialect{})
	route := func(prefix string, change func(*dtdispatch.Route)) dtdispatch.Route {
		r := dtdispatch.Route{
			Host: "h", Prefix: prefix, Timeout: 2 * time.Second, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
			Shares: []dtdispatch.Share{{Service: "a", Weight: 1}},
		}
		change(&r)
		return r
	}
	site := dtdispatch.NewConfig(1, []dtdispatch.Route{
		route("/once/", func(*dtdispatch.Route) {}),
		route("/read/", func(r *dtdispatch.Route) { r.Idempotent = true }),
		route("/stream/", func(r *dtdispatch.Route) { r.Streaming, r.Resumable, r.MaxPause = true, true, 100*time.Millisecond }),
		route("/live/", func(r *dtdispatch.Route) { r.Streaming = true }),
	})
	site.Limits.MaxBodyBytes = 32 << 20
	site.Services["a"] = dtdispatch.Service{Name: "a", MaxConnections: 100}
	var list []dtdispatch.Server
	for i, s := range servers {
		list = append(list, dtdispatch.Server{ID: dtdispatch.ServerID(fmt.Sprintf("s%d", i)), Service: "a", Address: s.address, Domain: "d"})
	}
	n.Loop.Post(dtdispatch.ConfigReceived{Config: site})
	n.Loop.Post(dtdispatch.ServersListed{Servers: list, Revision: 1})
	x := &node{WithT: NewWithT(t), Node: n, t: t}
	x.Eventually(n.Ready).Should(BeTrue())
	return x
}

// caller is the connection of one caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

// call opens a connection.
func (n *node) call() *caller {
	c, err := net.Dial("tcp", n.Relay.Address())
	n.Expect(err).NotTo(HaveOccurred())
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return &caller{Conn: c, r: bufio.NewReader(c)}
}

// send writes a request.
func (c *caller) send(path, id, body string, more ...string) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n", path, id, len(body), strings.Join(more, ""))
	_, _ = io.WriteString(c, head+body)
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	last   bool // The connection ends with it.
	body   string
}

// answer reads one answer to its end; the error tells an answer that is not whole.
func (c *caller) answer() (answer, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, last: resp.Close, body: string(body)}, err
}
