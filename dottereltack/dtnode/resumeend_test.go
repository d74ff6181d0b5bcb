package dtnode_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamTakenUpAfterItsLastEventIsRefused covers callers that have lost only the end of a stream: the server that they
// reach has no event for them, and says so with an empty response of its own.
func TestStreamTakenUpAfterItsLastEventIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"nothing":                 {"", 200},
		"the events before":       {chunk(event(1) + event(2)), 200},
		"fewer events":            {chunk(event(1)), 502},
		"an event without an ID":  {chunk("data: x\n\n"), 502},
		"text that is not events": {chunk("oops\n\n"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, streamHead(id)+tc.text+"0\r\n\r\n")
			}))
			c := n.dial()
			c.send("/stream/x", "q", "", "X-Last: 2\r\n")
			resp, err := c.readResponse()
			n.Expect(err).NotTo(HaveOccurred())
			n.Expect(resp.status).To(Equal(tc.status))
			n.Expect(resp.body).To(BeEmpty())
		})
	}
}
