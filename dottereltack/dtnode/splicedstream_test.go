package dtnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamHoldsPartsOfAnotherResponse has a server stop in the middle of a stream and send something else in its place:
// callers must get the events before it only, and those of a server that goes on with the stream.
func TestStreamHoldsPartsOfAnotherResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 99\r\n\r\n"
	for name, rest := range map[string]string{
		"a response":                          head + event(1) + event(2) + event(3),
		"a response after a part of an event": "id: 3\ndata: " + head + event(7),
		"a text":                              "sorry\n\n",
		"the same events again":               event(1) + event(2) + event(3),
		"the last event again":                event(2) + event(3),
	} {
		for _, path := range []string{"/stream/x", "/live/x"} {
			for _, resumed := range []bool{false, true} {
				if resumed && path == "/live/x" {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, resumed %v", name, path, resumed), func(t *testing.T) {
					var count atomic.Int32
					respond := func(id string, _ *http.Request, c net.Conn) {
						text := event(1) + event(2) + rest
						if count.Add(1) > 1 {
							text = event(3)
						}
						_, _ = io.WriteString(c, streamHead(id)+chunk(text)+"0\r\n\r\n")
					}
					n := newNode(t, newServer(t, respond), newServer(t, respond))
					c := n.dial()
					before := event(1)
					if resumed {
						c.send(path, "q", "", "X-Last: 1\r\n")
						before = ""
					} else {
						c.send(path, "q", "")
					}
					resp, err := c.readResponse()
					if path == "/live/x" {
						n.Expect(err).To(HaveOccurred(), "the stream does not look complete")
						n.Expect(resp.body).To(Equal(event(1) + event(2)))
						return
					}
					n.Expect(err).NotTo(HaveOccurred())
					n.Expect(resp.body).To(Equal(before + event(2) + event(3)))
				})
			}
		}
	}
}
