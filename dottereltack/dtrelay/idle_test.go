package dtrelay

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// idleCaller returns a relay with one connection of a caller that has long been idle, and the caller's
// end of it.
func idleCaller(t *testing.T) (*Relay, *callerConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	c := newCallerConn(accepted)
	c.idleSince = time.Now().Add(-time.Minute)
	return &Relay{callers: map[*callerConn]struct{}{c: {}}}, c, caller
}

// TestIdleConnectionIsClosedWhileARequestArrives guards against a request that is cut off during a
// planned stop, after it has been sent to a server: its first bytes have been read, but the connection
// does not count as busy yet when the idle connections are closed.
func TestIdleConnectionIsClosedWhileARequestArrives(t *testing.T) {
	g := NewWithT(t)
	r, c, caller := idleCaller(t)
	limits := &dtdispatch.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	_, err := io.WriteString(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.awaitRequest(limits, true)).To(BeTrue())
	r.CloseIdleConnections(time.Now())
	r.setBusy(c, true)
	_, err = io.WriteString(caller, "abc")
	g.Expect(err).NotTo(HaveOccurred())
	h, body, status := c.readRequest(limits)
	g.Expect(h).NotTo(BeNil())
	g.Expect(status).To(BeZero())
	g.Expect(string(body)).To(Equal("abc"))
	g.Expect(c.writeResponse(200, nil, []byte("answer"))).To(Succeed())
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	line := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(caller, line)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(line)).To(Equal("HTTP/1.1 200"))
}

func TestIdleConnectionStopsWaiting(t *testing.T) {
	g := NewWithT(t)
	r, c, _ := idleCaller(t)
	waited := make(chan bool, 1)
	go func() { waited <- c.awaitRequest(&dtdispatch.Limits{IdleTimeout: time.Minute}, false) }()
	g.Eventually(func() bool {
		r.CloseIdleConnections(time.Now())
		return len(waited) > 0
	}, "2s").Should(BeTrue())
	g.Expect(<-waited).To(BeFalse())
}
