package dtrelay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// refusalDialect states nothing but when to come back.
type refusalDialect struct{ Dialect }

func (refusalDialect) ParseRequest(*RequestHead) RequestInfo { return RequestInfo{ID: "r"} }

func (refusalDialect) RefusalFields(string, time.Duration) []HeaderField {
	return []HeaderField{{Name: "Retry-After", Value: "1"}}
}

// noEvents takes no event: each request that has arrived is refused.
type noEvents struct{}

func (noEvents) Offer(dtdispatch.Event) bool { return false }

func (noEvents) Post(dtdispatch.Event) {}

// newSmallRelay returns a relay with a budget of 1 MiB and four places.
func newSmallRelay(t *testing.T) (*Relay, *dtbudget.Budget) {
	t.Helper()
	budget := dtbudget.New(dtintake.Limits{Bytes: 1 << 20, MaxConns: 4})
	relay, err := New("127.0.0.1:0", refusalDialect{}, noEvents{}, WithBudget(budget))
	if err != nil {
		t.Fatal(err)
	}
	relay.Start()
	t.Cleanup(relay.Close)
	return relay, budget
}

// TestRefusalOfABodyIsRead guards against a caller whose connection is reset before it has read that its request has not run
// and when to come back: it is still sending when the room for its body ends.
func TestRefusalOfABodyIsRead(t *testing.T) {
	relay, budget := newSmallRelay(t)
	for range 5 {
		g := NewWithT(t)
		resp, err := http.Post("http://"+relay.Address()+"/a", "", bytes.NewReader(make([]byte, 3<<20)))
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	}
	NewWithT(t).Eventually(budget.Usage, "5s").Should(Equal(dtbudget.Usage{}))
}

// TestAnnouncedLengthTakesNoMemory guards against a caller that takes memory by announcing a body and sending none of it.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	g := NewWithT(t)
	relay, budget := newSmallRelay(t)
	c, err := net.Dial("tcp", relay.Address())
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", 3<<20)
	_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(budget.Usage, "100ms").Should(HaveField("Bytes", BeNumerically("<", 2*dtintake.ConnBytes)))
	_ = c.Close()
	g.Eventually(budget.Usage, "5s").Should(Equal(dtbudget.Usage{}), "nothing is counted once it has left")
}

// TestIdleConnectionHoldsNoBody guards against a connection that holds the body of its last request while it is idle.
func TestIdleConnectionHoldsNoBody(t *testing.T) {
	g := NewWithT(t)
	relay, budget := newSmallRelay(t)
	c, err := net.Dial("tcp", relay.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	for range 3 {
		_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100<<10, make([]byte, 100<<10))
		line := make([]byte, len("HTTP/1.1 503"))
		_, err = io.ReadFull(c, line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(line)).To(Equal("HTTP/1.1 503"), "the answer of the reducer's full queue")
		g.Eventually(budget.Usage, "5s").Should(Equal(dtbudget.Usage{Bytes: dtintake.ConnBytes, Conns: 1, ReceiveBytes: dtintake.BodyReceiveBytes}))
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = io.Copy(io.Discard, c)
		_ = c.SetReadDeadline(time.Time{})
	}
}
