package dtmesh

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// recordingServer keeps the requests for tunnels, and replies with their first byte.
type recordingServer chan TunnelRequest

func (s recordingServer) ServeTunnel(_ context.Context, c net.Conn, r *TunnelRequest) {
	s <- *r
	_, _ = c.Write([]byte{1})
}

// discardedEvents is an event queue of which nothing is read.
type discardedEvents struct{}

func (discardedEvents) Post(dtdispatch.Event) {}

// TestBytesBeforeTheReplyReachAServer guards against a request that runs though the router that has sent it takes it for not sent:
// its bytes come before the tunnel is open.
func TestBytesBeforeTheReplyReachAServer(t *testing.T) {
	g := NewWithT(t)
	served := make(recordingServer, 1)
	m, err := New("r2", "127.0.0.1:0", discardedEvents{}, WithTunnels(served))
	g.Expect(err).NotTo(HaveOccurred())
	m.Start()
	defer m.Close()
	request := TunnelRequest{From: "r1", Server: "s1", Start: 7, Timeout: time.Second}
	c, err := RequestTunnel(t.Context(), m.Address(), 0, &request)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal([]byte{1}))
	g.Expect(<-served).To(Equal(request))

	body, err := msgpack.Marshal(&envelope{TunnelRequest: &request})
	g.Expect(err).NotTo(HaveOccurred())
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	g.Expect(dtwire.WriteFrame(w, body)).To(Succeed())
	g.Expect(w.Flush()).To(Succeed())
	b.WriteString("POST / HTTP/1.1\r\n\r\n")
	early, err := net.Dial("tcp", m.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = early.Close() }()
	_, err = early.Write(b.Bytes())
	g.Expect(err).NotTo(HaveOccurred())
	_ = early.SetReadDeadline(time.Now().Add(time.Second))
	n, _ := early.Read(make([]byte, 1))
	g.Expect(n).To(BeZero())
	g.Expect(served).To(BeEmpty())
}
