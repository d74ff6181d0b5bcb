package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is a request that a worker has received.
type Call struct {
	Worker  *Worker
	Conn    net.Conn
	Request *http.Request
	ID      string // Of the client attempt.
	Body    []byte
	Gone    chan struct{} // Closed once the connection has been closed by the router.
}

// Worker stands in for a worker of a service, as PROTOCOL.md describes it. A behaviour answers its calls; it
// reports whether the connection is kept.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Version  string
	Slots    int
	ColdMs   int
	Behavior func(c *Call) bool

	fleet    *Fleet
	listener net.Listener
	born     int64
	mu       sync.Mutex
	seq      int
	state    string
	conns    map[net.Conn]struct{}
	down     bool
}

// StartWorker starts a worker at ip and writes its entry.
func (f *Fleet) StartWorker(ip string, w *Worker) error {
	ln, err := listen(ip)
	if err != nil {
		return err
	}
	w.fleet, w.listener, w.born, w.state, w.conns = f, ln, time.Now().UnixMilli(), "ready", map[net.Conn]struct{}{}
	w.Register()
	go w.acceptLoop(ln)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			w.mu.Lock()
			down := w.down
			w.mu.Unlock()
			if !down {
				w.Register()
			}
		}
	}()
	return nil
}

// Address returns the address of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Register writes the worker's entry.
func (w *Worker) Register() {
	w.mu.Lock()
	w.seq++
	cold := max(int64(w.ColdMs)-(time.Now().UnixMilli()-w.born), 0)
	entry := map[string]any{
		"service": w.Service, "address": w.Address(), "zone": w.Zone, "version": w.Version, "slots": w.Slots, "state": w.state,
		"coldLeftMs": cold, "seq": w.seq, "born": w.born, "phase": "unified", "models": []any{},
	}
	w.mu.Unlock()
	w.fleet.Store.Put("servers/"+w.ID, entry)
}

// Crash resets all connections and closes the listener; the entry stays until it lapses.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *Worker) acceptLoop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.serve(c)
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

func (w *Worker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := &Call{Worker: w, Conn: c, Request: request, ID: request.Header.Get("X-Attempt-Id"), Body: body, Gone: make(chan struct{})}
		if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
			call.Refuse(http.StatusMisdirectedRequest, 0)
			continue
		}
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := r.Peek(1); err != nil {
				close(call.Gone)
			}
		}()
		keep := w.Behavior(call)
		if !keep {
			return
		}
		<-watched
	}
}

// IsGone reports whether the router has closed the connection.
func (c *Call) IsGone() bool {
	select {
	case <-c.Gone:
		return true
	default:
		return false
	}
}

// Head returns the head of a response without its framing.
func (c *Call) Head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nX-Server-Load: 1,0,%d\r\n",
		status, http.StatusText(status), c.ID, c.Worker.ID, c.ID, c.Worker.Slots)
}

// Refuse answers that the request was not run.
func (c *Call) Refuse(status int, retryAfter float64) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n", status, http.StatusText(status), c.ID)
	if retryAfter > 0 {
		head += "Retry-After: " + strconv.FormatFloat(retryAfter, 'f', -1, 64) + "\r\n"
	}
	_, _ = io.WriteString(c.Conn, head+"Content-Length: 0\r\n\r\n")
}

// Respond answers with a complete body.
func (c *Call) Respond(status int, body string) {
	_, _ = io.WriteString(c.Conn, c.Head(status)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// StartStream sends the head of a stream of events.
func (c *Call) StartStream() error {
	_, err := io.WriteString(c.Conn, c.Head(http.StatusOK)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err
}

// Chunk sends a part of the body.
func (c *Call) Chunk(text string) error {
	_, err := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// Event sends an event.
func (c *Call) Event(id int, data string) error {
	return c.Chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data))
}

// EndStream ends the body.
func (c *Call) EndStream() error {
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err
}

// ResumeAfter returns the ID of the event after which the stream is to go on, or zero.
func (c *Call) ResumeAfter() int {
	n, _ := strconv.Atoi(c.Request.Header.Get("Last-Event-Id"))
	return n
}

// Restart crashes the worker, which is back after a while at its address and under its ID. It returns false if the
// worker is down.
func (w *Worker) Restart(after time.Duration) bool {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return false
	}
	w.down = true
	w.mu.Unlock()
	address := w.Address()
	w.Crash()
	go func() {
		time.Sleep(after)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			w.fleet.Record.Add("worker %s could not come back: %v", w.ID, err)
			return
		}
		w.mu.Lock()
		w.listener, w.born, w.seq, w.down = ln, time.Now().UnixMilli(), 0, false
		w.mu.Unlock()
		w.Register()
		w.acceptLoop(ln)
	}()
	return true
}

// Connections returns the number of open connections.
func (w *Worker) Connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}
