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

// TestRelaySendsARequestAgainOnItsOwn guards against repeats that the retry budget does not count: servers close kept
// connections when the next request arrives, and one refuses connections.
func TestRelaySendsARequestAgainOnItsOwn(t *testing.T) {
	respond := func() func(string, *http.Request, net.Conn) {
		var mu sync.Mutex
		used := map[net.Conn]bool{}
		return func(id string, _ *http.Request, c net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			if used[c] {
				_ = c.Close()
				return
			}
			used[c] = true
			_, _ = io.WriteString(c, okResponse(id, "x"))
		}
	}
	servers := []*simulatedServer{newServer(t, respond()), newServer(t, respond()), newServer(t, respond())}
	_ = servers[2].listener.Close()
	logs := &logBuffer{}
	n := newLoggingNode(t, logs, servers...)
	const requests = 20
	c := n.dial()
	for i := range requests {
		c.send("/read/x", fmt.Sprint("q", i), "")
		_, err := c.readResponse()
		n.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Millisecond)
	}
	arrivals := len(servers[0].requests()) + len(servers[1].requests())
	n.Expect(arrivals).To(BeNumerically(">", requests))
	n.Eventually(func() int { return logs.count("step=retry ") }).Should(Equal(arrivals - requests))
}
