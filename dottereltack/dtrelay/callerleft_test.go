package dtrelay

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// waitingReducer has requests wait and, once their callers have left, ends them.
type waitingReducer struct {
	relay   *Relay
	arrived chan dtdispatch.RequestNumber
	left    chan dtdispatch.RequestNumber
}

func (q *waitingReducer) Offer(ev dtdispatch.Event) bool {
	q.Post(ev)
	return true
}

func (q *waitingReducer) Post(ev dtdispatch.Event) {
	switch ev := ev.(type) {
	case dtdispatch.RequestArrived:
		q.arrived <- ev.Number
	case dtdispatch.CallerLeft:
		q.left <- ev.Number
		q.relay.Deliver(ev.Number, dtdispatch.AbortResponse(ev))
	}
}

// TestCallerOfAWaitingRequestLeaves guards against the departure of a caller going unnoticed while its request waits for its
// turn, which has no attempt that could report it, and against departures reported after the response.
func TestCallerOfAWaitingRequestLeaves(t *testing.T) {
	g := NewWithT(t)
	q := &waitingReducer{arrived: make(chan dtdispatch.RequestNumber, 4), left: make(chan dtdispatch.RequestNumber, 4)}
	relay, err := New("127.0.0.1:0", tunnelDialect{}, q)
	g.Expect(err).NotTo(HaveOccurred())
	defer relay.Close()
	q.relay = relay
	relay.Start()
	send := func() (net.Conn, dtdispatch.RequestNumber) {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", relay.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
		g.Expect(err).NotTo(HaveOccurred())
		return c, <-q.arrived
	}
	c, number := send()
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(q.left, 10*time.Second).Should(Receive(Equal(number)))
	c, number = send()
	relay.Deliver(number, dtdispatch.Refuse{Number: number, Status: 503})
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Close()).To(Succeed())
	relay.Close()
	g.Expect(q.left).To(BeEmpty())
}

// TestRequestIsSentBeforeTheEndOfItsCallerIsSeen guards against a router that has stood still, or is short of processor time, and
// sends a request although the end of its caller's connection has arrived.
func TestRequestIsSentBeforeTheEndOfItsCallerIsSeen(t *testing.T) {
	g := NewWithT(t)
	relay, err := New("127.0.0.1:0", tunnelDialect{}, &waitingReducer{})
	g.Expect(err).NotTo(HaveOccurred())
	defer relay.Close()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	received := make(chan int, 4)
	go func() {
		for c, acceptErr := server.Accept(); acceptErr == nil; c, acceptErr = server.Accept() {
			n, _ := c.Read(make([]byte, 1<<10))
			received <- n
		}
	}()
	peer, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", relay.Address())
	g.Expect(err).NotTo(HaveOccurred())
	own, err := relay.listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = own.Close() }()
	x := relay.newExchange(newCallerConn(own), &RequestHead{Method: "GET", Target: "/a", Host: "h", ReadAt: time.Now()}, nil)
	x.ctx = t.Context() // Nothing watches the caller.
	g.Expect(peer.Close()).To(Succeed())
	g.Eventually(func() bool { return dtsocket.HasPeerClosed(own) }, "5s").Should(BeTrue())
	deadline := time.Now().Add(500 * time.Millisecond)
	result := x.runAttempt(&dtdispatch.SendRequest{
		Number: x.number, Attempt: 1, Server: "s", Address: server.Addr().String(), Deadline: deadline, HeaderDeadline: deadline, ConnectTimeout: time.Second,
	})
	select {
	case n := <-received:
		g.Expect(n).To(BeZero(), "bytes sent to the server")
	case <-time.After(50 * time.Millisecond):
	}
	g.Expect(result.Outcome).To(Equal(dtdispatch.OutcomeCallerGone))
	g.Expect(result.Detail).To(Equal(errCallerClosed.Error()))
}
