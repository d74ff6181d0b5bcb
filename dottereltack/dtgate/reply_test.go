package dtgate

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// TestResponseIsPartOfTheBudget guards against responses that take more memory together than the process has, and against one that is
// counted on after its caller has it.
func TestResponseIsPartOfTheBudget(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	budget := dtbudget.New(dtintake.Limits{Bytes: 4 << 20, MaxConns: 4})
	own, caller := net.Pipe()
	t.Cleanup(func() { _, _ = own.Close(), caller.Close() })
	holder, ok := budget.Open(own, now)
	g.Expect(ok).To(BeTrue())
	holder.SetStage(dtintake.StageRunning, now)
	x := &exchange{holder: holder}
	calm := budget.Usage().Bytes
	g.Expect(x.holdReply(512 << 10)).To(BeTrue())
	g.Expect(x.holdReply(1 << 20)).To(BeTrue())
	g.Expect(budget.Usage().Bytes).To(Equal(calm + replyCopies<<20))
	g.Expect(x.holdReply(2 << 20)).To(BeFalse())
	g.Expect(budget.Usage().Bytes).To(Equal(calm + replyCopies<<20))
	holder.SetStage(dtintake.StageIdle, now)
	g.Expect(budget.Usage().Bytes).To(Equal(calm))
}

// TestRestOfARefusedBodyIsDropped guards against a connection that is reset, so that its caller loses the refusal, as the caller is
// still sending when it is closed.
func TestRestOfARefusedBodyIsDropped(t *testing.T) {
	g := NewWithT(t)
	own, caller := net.Pipe()
	c := &callerConn{Conn: own, isRefused: true}
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	_, err := caller.Write(make([]byte, 300<<10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(caller.Close()).To(Succeed())
	g.Expect(<-closed).To(Succeed())
}
