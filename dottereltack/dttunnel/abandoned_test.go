package dttunnel

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// TestServerGetsTheRestOfAnAbandonedRequest guards against a server that goes on reading a request from the buffers of the
// routers after the one that has sent it has closed the tunnel, and against one that does not read and is not told.
func TestServerGetsTheRestOfAnAbandonedRequest(t *testing.T) {
	const readBytes, readInterval = 64 << 10, 30 * time.Millisecond
	for name, isReading := range map[string]bool{"slow": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			r, c, server := openTunnel(t)
			r.Expect(server.SetReadBuffer(256 << 10)).To(Succeed())
			r.Expect(c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
			_, err := c.Write(make([]byte, 32<<20))
			r.Expect(err).To(HaveOccurred(), "the buffers are full")
			leftAt := time.Now()
			dtsocket.ResetIfUnacknowledged(c.Conn)
			r.Expect(c.Close()).To(Succeed())
			if !isReading {
				r.Eventually(func() bool { return dtsocket.HasPeerClosed(server) }, "500ms", "10ms").Should(BeTrue())
				return
			}
			buffer, readErr := make([]byte, readBytes), error(nil)
			for readErr == nil {
				time.Sleep(readInterval)
				_, readErr = io.ReadFull(server, buffer)
			}
			r.Expect(time.Since(leftAt)).To(BeNumerically("<", 500*time.Millisecond))
			r.Eventually(r.server.Open, "500ms").Should(BeZero())
		})
	}
}
