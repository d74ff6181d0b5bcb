package dtbudget_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// closings collects what an observer is told.
type closings []dtbudget.Closed

func (c *closings) ObserveClosing(closed dtbudget.Closed) { *c = append(*c, closed) }

// openPipe opens a connection of a budget, and returns the caller's side too.
func openPipe(t *testing.T, b *dtbudget.Budget, now time.Time) (holder *dtbudget.Holder, caller net.Conn, ok bool) {
	t.Helper()
	own, caller := net.Pipe()
	t.Cleanup(func() { _, _ = own.Close(), caller.Close() })
	holder, ok = b.Open(own, now)
	return holder, caller, ok
}

// TestStalledConnectionIsClosed guards against a connection that the ledger counts as closed and that stays open, and against
// closings that nobody is told of.
func TestStalledConnectionIsClosed(t *testing.T) {
	g := NewWithT(t)
	var seen closings
	now := time.Unix(1_000, 0)
	b := dtbudget.New(dtintake.Limits{Bytes: 8 << 20, MaxConns: 2}, dtbudget.WithObserver(&seen))
	stalled, caller, _ := openPipe(t, b, now)
	stalled.SetStage(dtintake.StageBody, now)
	stalled.SetRequest(func() string { return "r-1" })
	g.Expect(stalled.Grow(4<<20, now)).To(BeTrue())
	now = now.Add(time.Second)
	next, _, ok := openPipe(t, b, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Grow(2<<20, now)).To(BeTrue())
	_, err := caller.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(stalled.Grow(1, now)).To(BeFalse())
	_, _, _ = openPipe(t, b, now)
	_, _, ok = openPipe(t, b, now)
	g.Expect(ok).To(BeFalse())
	g.Expect(seen).To(HaveLen(3))
	g.Expect([]dtintake.Reason{seen[0].Reason, seen[1].Reason, seen[2].Reason}).To(Equal([]dtintake.Reason{dtintake.ReasonForMemory, dtintake.ReasonNoMemory, dtintake.ReasonNoPlace}))
	g.Expect([]string{seen[0].Request, seen[1].Request, seen[2].Request}).To(Equal([]string{"r-1", "r-1", ""}))
	stalled.Leave()
	g.Expect(b.Usage()).To(Equal(dtbudget.Usage{Bytes: 2<<20 + 2*dtintake.ConnBytes, Conns: 2, ReceiveBytes: 2 * dtintake.WideReceiveBytes}))
}

// TestIdleConnectionServesARequestThatHasBegun guards against a request that is cut off since its connection was idle when its
// place was given away.
func TestIdleConnectionServesARequestThatHasBegun(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	b := dtbudget.New(dtintake.Limits{Bytes: 8 << 20, MaxConns: 1})
	idle, caller, _ := openPipe(t, b, now)
	now = now.Add(time.Second)
	_, _, ok := openPipe(t, b, now)
	g.Expect(ok).To(BeTrue())
	idle.SetStage(dtintake.StageHead, now)
	g.Expect(idle.Grow(1<<10, now)).To(BeTrue())
	g.Expect(caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err := caller.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the connection is open")
	g.Expect(b.Usage().Conns).To(Equal(2))
}
