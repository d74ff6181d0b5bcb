package dtnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refusalOf returns the refusal of a request that has not run; without an ID it names no request.
func refusalOf(id string) string {
	head := "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// repeatingServer refuses the first request of each connection, runs the others, and writes the
// refusal once more at a given moment.
type repeatingServer struct {
	mu  sync.Mutex
	ran map[string]int // By request ID.
}

func (s *repeatingServer) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func (s *repeatingServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// respondWith returns the responses to the requests of a connection: a refusal to the first, and what
// repeat returns, followed by the response, to the others.
func (s *repeatingServer) respondWith(repeat func(refusedID, id string) string) func(string, *http.Request, net.Conn) {
	refused := map[net.Conn]string{}
	var mu sync.Mutex
	return func(id string, _ *http.Request, c net.Conn) {
		mu.Lock()
		first, isKept := refused[c]
		if !isKept {
			refused[c] = id
		}
		mu.Unlock()
		if !isKept {
			_, _ = io.WriteString(c, refusalOf(id))
			return
		}
		s.run(id)
		_, _ = io.WriteString(c, repeat(first, id))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, okResponse(id, "mine "+id))
	}
}

// TestRepeatedRefusal guards against a server that writes an earlier refusal once more on a kept
// connection. If it counts for the next request, that request runs although its caller is told that it
// has not, or runs at another server too.
func TestRepeatedRefusal(t *testing.T) {
	for name, repeat := range map[string]func(refusedID, id string) string{
		"with its request ID": func(refusedID, _ string) string { return refusalOf(refusedID) },
		"without an ID":       func(_, _ string) string { return refusalOf("") },
		"twice":               func(refusedID, _ string) string { return refusalOf(refusedID) + refusalOf(refusedID) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &repeatingServer{ran: map[string]int{}}
			n := newNode(t, newServer(t, s.respondWith(repeat)), newServer(t, s.respondWith(repeat)))
			c := n.dial()
			for i := range 12 {
				id := fmt.Sprint("q", i)
				c.send("/once/x", id, "")
				resp, err := c.readResponse()
				n.Expect(err).NotTo(HaveOccurred())
				n.Expect(s.runs(id)).To(BeNumerically("<=", 1), "runs of %s", id)
				if resp.status == 503 {
					n.Expect(s.runs(id)).To(BeZero(), "%s was refused as not run", id)
				}
				if resp.status == 200 {
					n.Expect(resp.body).To(Equal("mine " + id))
				}
			}
		})
	}
}

// TestRepeatedResponseToTheSameID guards against a late copy of a response that counts for a later
// request with the same ID, which a caller has sent again.
func TestRepeatedResponseToTheSameID(t *testing.T) {
	s := &repeatingServer{ran: map[string]int{}}
	respond := func(id string, _ *http.Request, c net.Conn) {
		s.run(id)
		_, _ = io.WriteString(c, okResponse(id, fmt.Sprint("run ", s.runs(id))))
	}
	connections := sync.Map{}
	server := newServer(t, func(id string, req *http.Request, c net.Conn) {
		previous, isKept := connections.Swap(c, id)
		if isKept && previous == id {
			_, _ = io.WriteString(c, okResponse(id, "late copy"))
		}
		respond(id, req, c)
	})
	n := newNode(t, server)
	c := n.dial()
	for i := range 4 {
		c.send("/read/x", "same", "")
		resp, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		n.Expect(resp.body).To(Equal(fmt.Sprint("run ", i+1)))
	}
}

// TestRequestWithoutID guards against a late response without an ID that counts for a request
// without one, since both lack what would tell them apart.
func TestRequestWithoutID(t *testing.T) {
	connections := sync.Map{}
	n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
		if _, isKept := connections.Swap(c, true); isKept {
			_, _ = io.WriteString(c, okResponse("", "late"))
		}
		_, _ = io.WriteString(c, okResponse(id, "mine"))
	}))
	c := n.dial()
	for i := range 4 {
		id := []string{"q", ""}[i%2]
		c.send("/read/x", id, "")
		resp, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		n.Expect(resp.body).To(Equal("mine"))
	}
}

// TestConnectionOutOfOrderIsNotUsedAgain guards against further late responses on a connection on which
// one has arrived.
func TestConnectionOutOfOrderIsNotUsedAgain(t *testing.T) {
	connections := sync.Map{}
	n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
		connections.Store(c, true)
		_, _ = io.WriteString(c, refusalOf("earlier")+okResponse(id, "mine"))
	}))
	c := n.dial()
	const requests = 4
	for i := range requests {
		c.send("/once/x", fmt.Sprint("q", i), "")
		resp, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		n.Expect(resp.body).To(Equal("mine"))
	}
	used := 0
	connections.Range(func(_, _ any) bool { used++; return true })
	n.Expect(used).To(Equal(requests))
}
