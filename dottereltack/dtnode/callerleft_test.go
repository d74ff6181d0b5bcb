package dtnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxWorkAfterLeave is how long a server may work for a caller that has left.
const maxWorkAfterLeave = 500 * time.Millisecond

// TestServerWorksOnForACallerWithUnreadBytes guards against the end of a caller's connection going unnoticed behind bytes
// that follow the request.
func TestServerWorksOnForACallerWithUnreadBytes(t *testing.T) {
	const next = "GET /read/next HTTP/1.1\r\nHost: h\r\nX-Id: next\r\n\r\n"
	for name, unread := range map[string]string{
		"line end": "\r\n", "next request": next, "more than the buffer": strings.Repeat(next, 512),
	} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			for end, leave := range map[string]func(*net.TCPConn) error{
				"close": (*net.TCPConn).Close,
				"reset": func(c *net.TCPConn) error {
					_ = c.SetLinger(0)
					return c.Close()
				},
			} {
				t.Run(name+path+"/"+end, func(t *testing.T) {
					t.Parallel()
					working, endedAt := make(chan struct{}, 1), make(chan time.Time, 1)
					n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
						if path == "/stream/x" {
							_, _ = io.WriteString(c, streamHead(id)+chunk(event(1)))
						}
						working <- struct{}{}
						_, _ = c.Read(make([]byte, 1))
						endedAt <- time.Now()
					}))
					c := n.dial()
					c.send(path, "q", "")
					_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // The router need not take them all.
					_, _ = io.WriteString(c, unread)
					n.Eventually(working, "2s").Should(Receive())
					tcp, _ := c.Conn.(*net.TCPConn)
					leftAt := time.Now()
					n.Expect(leave(tcp)).To(Succeed())
					var noticedAt time.Time
					n.Eventually(endedAt, "1500ms").Should(Receive(&noticedAt))
					n.Expect(noticedAt.Sub(leftAt)).To(BeNumerically("<", maxWorkAfterLeave))
				})
			}
		}
	}
}

// TestPipelinedRequestsAreServed guards against a request being lost that has arrived while the one before was served.
func TestPipelinedRequestsAreServed(t *testing.T) {
	const count = 20
	n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, okResponse(id, id))
	}))
	c := n.dial()
	for i := range count {
		c.send("/read/x", fmt.Sprint("q", i), "body")
		time.Sleep(5 * time.Millisecond)
	}
	for i := range count {
		resp, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		n.Expect(resp.body).To(Equal(fmt.Sprint("q", i)))
	}
}

// TestServerGetsTheRestOfARequestWhoseCallerHasLeft guards against a server that goes on reading a request from the buffers of
// the router's kernel.
func TestServerGetsTheRestOfARequestWhoseCallerHasLeft(t *testing.T) {
	const readBytes, readInterval = 64 << 10, 30 * time.Millisecond
	working, leave, endedAt := make(chan struct{}, 1), make(chan struct{}), make(chan time.Time, 1)
	n := newNode(t, startServer(t, &simulatedServer{isEarly: true}, func(_ string, req *http.Request, _ net.Conn) {
		working <- struct{}{}
		<-leave
		buffer, err := make([]byte, readBytes), error(nil)
		for err == nil {
			time.Sleep(readInterval)
			_, err = req.Body.Read(buffer)
		}
		endedAt <- time.Now()
	}))
	c := n.dial()
	c.send("/once/x", "q", strings.Repeat("b", 16<<20))
	n.Eventually(working, "2s").Should(Receive())
	time.Sleep(200 * time.Millisecond) // Until the buffers are full.
	leftAt := time.Now()
	n.Expect(c.Close()).To(Succeed())
	close(leave)
	var noticedAt time.Time
	n.Eventually(endedAt, "10s").Should(Receive(&noticedAt))
	n.Expect(noticedAt.Sub(leftAt)).To(BeNumerically("<", maxWorkAfterLeave))
}

// TestServerWorksOnForACallerThatHasLeft guards against a departure that goes unnoticed, or is not passed on to the server, in one
// of the states of a request.
func TestServerWorksOnForACallerThatHasLeft(t *testing.T) {
	const readable = "/read/x"
	silent := func(string, net.Conn) {}
	for name, tc := range map[string]struct {
		path    string
		prepare func(n *testNode, c *caller)
		respond func(id string, c net.Conn) // Before the server waits.
		leave   func(c *net.TCPConn) error
	}{
		"after an earlier response": {path: readable, prepare: func(n *testNode, c *caller) {
			for i := range 3 {
				c.send("/once/x", fmt.Sprint("earlier", i), "")
				_, err := c.readResponse()
				n.Expect(err).NotTo(HaveOccurred())
			}
		}, respond: silent},
		"half close": {path: readable, respond: silent, leave: (*net.TCPConn).CloseWrite},
		"half of the head": {path: readable, respond: func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n")
		}},
		"half of the body": {path: readable, respond: func(id string, c net.Conn) {
			_, _ = io.WriteString(c, okResponse(id, "whole")[:len(okResponse(id, "whole"))-1])
		}},
		"interim response": {path: readable, respond: func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}},
		"stream without an event": {path: "/stream/x", respond: func(id string, c net.Conn) {
			_, _ = io.WriteString(c, streamHead(id))
		}},
		"stream in an event": {path: "/live/x", respond: func(id string, c net.Conn) {
			_, _ = io.WriteString(c, streamHead(id)+chunk(event(1)+"id: 2\n"))
		}},
		"stream that its caller does not read": {path: "/live/x", respond: func(id string, c net.Conn) {
			_, _ = io.WriteString(c, streamHead(id))
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			for i, err := 1, error(nil); err == nil; i++ {
				_, err = io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("d", 16<<10))))
			}
		}},
		"router that is stopping": {path: readable, prepare: func(n *testNode, _ *caller) {
			time.AfterFunc(100*time.Millisecond, func() { n.Stop() })
		}, respond: func(string, net.Conn) { time.Sleep(200 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			working, endedAt := make(chan struct{}, 1), make(chan time.Time, 1)
			n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
				if id != "q" {
					_, _ = io.WriteString(c, okResponse(id, id))
					return
				}
				tc.respond(id, c)
				working <- struct{}{}
				_, _ = c.Read(make([]byte, 1))
				endedAt <- time.Now()
			}))
			c := n.dial()
			if tc.prepare != nil {
				tc.prepare(n, c)
			}
			c.send(tc.path, "q", "body")
			n.Eventually(working, "2s").Should(Receive())
			leave, leftAt := (*net.TCPConn).Close, time.Now()
			if tc.leave != nil {
				leave = tc.leave
			}
			tcp, _ := c.Conn.(*net.TCPConn)
			n.Expect(leave(tcp)).To(Succeed())
			var noticedAt time.Time
			n.Eventually(endedAt, "1500ms").Should(Receive(&noticedAt))
			n.Expect(noticedAt.Sub(leftAt)).To(BeNumerically("<", maxWorkAfterLeave))
		})
	}
}
