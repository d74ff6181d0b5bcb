package dtnode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamToAnHTTP10CallerHoldsChunkSizes covers callers of HTTP/1.0, who can't read chunks: the end of the connection
// ends their stream, so that one that is broken off must be reset.
func TestStreamToAnHTTP10CallerHoldsChunkSizes(t *testing.T) {
	for name, end := range map[string]string{"complete": "0\r\n\r\n", "broken off": ""} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, streamHead(id)+chunk(event(1)+event(2))+end)
				_ = c.Close()
			}))
			c := n.dial()
			_, _ = fmt.Fprint(c, "POST /live/x HTTP/1.0\r\nHost: h\r\nX-Id: q\r\nContent-Length: 0\r\n\r\n")
			text, err := io.ReadAll(c)
			if end == "" {
				n.Expect(err).To(HaveOccurred(), "the stream does not look complete")
				return
			}
			n.Expect(err).NotTo(HaveOccurred())
			head, body, _ := strings.Cut(string(text), "\r\n\r\n")
			n.Expect(head).NotTo(ContainSubstring("Transfer-Encoding"))
			n.Expect(body).To(Equal(event(1) + event(2)))
		})
	}
}
