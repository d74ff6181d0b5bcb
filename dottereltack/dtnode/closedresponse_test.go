package dtnode_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// TestResponseOfAKilledServerLooksComplete has a server that is killed after a whole event, or within a body, of a response
// that ends with its connection: the kernel closes both in the same way as at the end of a complete response, and may accept
// connections for a while.
func TestResponseOfAKilledServerLooksComplete(t *testing.T) {
	streamOf := func(events string) func(string) string {
		return func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n\r\n" + events
		}
	}
	bodyOf := func(text string) func(string) string {
		return func(id string) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: 1\r\n\r\n" + text }
	}
	for name, tc := range map[string]struct {
		path          string
		isKilled      bool
		first, second func(id string) string
		status        int
		body          string
		isComplete    bool
	}{
		"a resumable stream, killed":                     {"/stream/x", true, streamOf(event(1) + event(2)), streamOf(event(3)), 200, event(1) + event(2) + event(3), true},
		"a resumable stream before its events, killed":   {"/stream/x", true, streamOf(""), streamOf(event(1)), 200, event(1), true},
		"a resumable stream":                             {"/stream/x", false, streamOf(event(1) + event(2)), streamOf(event(3)), 200, event(1) + event(2), true},
		"a stream that is not resumable, killed":         {"/live/x", true, streamOf(event(1) + event(2)), nil, 200, event(1) + event(2), false},
		"a stream that is not resumable":                 {"/live/x", false, streamOf(event(1) + event(2)), nil, 200, event(1) + event(2), true},
		"a body of a request that runs once, killed":     {"/once/x", true, bodyOf("half"), nil, 502, "", true},
		"a body of a request that runs once":             {"/once/x", false, bodyOf("whole"), nil, 200, "whole", true},
		"a body of a request that may run twice, killed": {"/read/x", true, bodyOf("half"), bodyOf("whole"), 200, "whole", true},
	} {
		for _, accepts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, accepts %v", name, accepts), func(t *testing.T) {
				var count atomic.Int32
				var servers [2]*simulatedServer
				respond := func(i int) func(string, *http.Request, net.Conn) {
					return func(id string, _ *http.Request, c net.Conn) {
						if count.Add(1) > 1 {
							_, _ = io.WriteString(c, tc.second(id))
							_ = c.Close()
							return
						}
						_, _ = io.WriteString(c, tc.first(id))
						if tc.isKilled && !accepts {
							_ = servers[i].listener.Close()
						}
						servers[i].isKilled.Store(tc.isKilled)
						_ = c.Close()
					}
				}
				servers[0], servers[1] = newServer(t, respond(0)), newServer(t, respond(1))
				n := newNode(t, servers[:]...)
				c := n.dial()
				c.send(tc.path, "q", "")
				resp, err := c.readResponse()
				n.Expect(resp.body).To(Equal(tc.body))
				n.Expect(resp.status).To(Equal(tc.status))
				n.Expect(err == nil).To(Equal(tc.isComplete), "%v", err)
			})
		}
	}
}

// TestEndOfAResponseLeavesNoTrace guards against a response that has ended with its connection and looks complete, or cut,
// without a line in the log that says why.
func TestEndOfAResponseLeavesNoTrace(t *testing.T) {
	logs := &logBuffer{}
	n := newLoggingNode(t, logs, newServer(t, func(id string, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Signed: 1\r\n\r\n"+event(1)+event(2))
		_ = c.Close()
	}))
	c := n.dial()
	c.send("/live/x", "q", "")
	_, err := c.readResponse()
	n.Expect(err).NotTo(HaveOccurred())
	n.Eventually(func() int { return logs.count("step=response_end request=q peer=s0 outcome=proved") }, "1s").Should(Equal(1))
	n.Eventually(func() int { return logs.count("framing=close last_event=2") }, "1s").Should(Equal(2), "in that line, and at the end of the request")
	var metrics bytes.Buffer
	n.Meter.Write(&metrics)
	n.Expect(metrics.String()).To(ContainSubstring(`dottereltack_response_ends_total{outcome="proved"} 1`))
}
