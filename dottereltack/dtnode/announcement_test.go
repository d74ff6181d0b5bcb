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

// announce returns a response with a further header field.
func announce(response, field string) string {
	return strings.Replace(response, "\r\n", "\r\n"+field+"\r\n", 1)
}

// TestServerAnnouncesItsLeaving covers every kind of response that can announce the leaving of a
// server, over real connections.
func TestServerAnnouncesItsLeaving(t *testing.T) {
	const leaving = "X-Leaving: 1"
	for name, tc := range map[string]struct {
		path     string
		response func(id string) string
	}{
		"a response": {"/once/x", func(id string) string { return announce(okResponse(id, "ok"), leaving) }},
		"a refusal":  {"/once/x", func(id string) string { return announce(refusalOf(id), leaving) }},
		"an error": {"/once/x", func(id string) string {
			return announce("HTTP/1.1 500 Bad\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n", leaving)
		}},
		"the head of a stream":  {"/live/x", func(id string) string { return announce(streamHead(id), leaving) + chunk("id: 1\n\n") + "0\r\n\r\n" }},
		"a response to another": {"/once/x", func(id string) string { return okResponse(id, "ok") }},
	} {
		t.Run(name, func(t *testing.T) {
			leaver := newServer(t, func(id string, _ *http.Request, c net.Conn) {
				if name == "a response to another" {
					_, _ = io.WriteString(c, announce(okResponse("other", "ok"), leaving))
				}
				_, _ = io.WriteString(c, tc.response(id))
			})
			stayer := newServer(t, func(id string, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, okResponse(id, "ok")) })
			n := newNode(t, leaver, stayer)
			c := n.dial()
			for i := range 24 {
				path := "/once/x"
				if len(leaver.requests()) == 0 {
					path = tc.path
				}
				c.send(path, fmt.Sprint("q", i), "")
				_, err := c.readResponse()
				n.Expect(err).NotTo(HaveOccurred())
			}
			if name == "a response to another" {
				n.Expect(len(leaver.requests())).To(BeNumerically(">", 1), "what belongs to no request announces nothing")
				return
			}
			n.Expect(leaver.requests()).To(HaveLen(1))
		})
	}
}

// TestServerAsksForAPause checks over real connections that a server gets no request during its pause,
// and that the log says why a request was refused.
func TestServerAsksForAPause(t *testing.T) {
	logs := &logBuffer{}
	server := newServer(t, func(id string, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, announce(refusalOf(id), "X-Pause: 400ms"))
	})
	n := newLoggingNode(t, logs, server)
	c := n.dial()
	start := time.Now()
	for i := 0; time.Since(start) < 350*time.Millisecond; i++ {
		c.send("/once/x", fmt.Sprint("q", i), "")
		resp, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		n.Expect(resp.status).To(Equal(503))
	}
	n.Expect(server.requests()).To(HaveLen(1))
	n.Eventually(logs.cause("q3"), "2s").Should(ContainSubstring("asked this router for a pause"))
	time.Sleep(100 * time.Millisecond)
	c.send("/once/x", "after", "")
	_, err := c.readResponse()
	n.Expect(err).NotTo(HaveOccurred())
	n.Expect(server.requests()).To(HaveLen(2))
}
