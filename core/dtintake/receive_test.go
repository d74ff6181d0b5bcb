package dtintake

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReceiveBuffersOfACrowd guards against a kernel that holds more for the process than its memory allows: a crowd takes all
// wide buffers, and goes on connecting.
func TestReceiveBuffersOfACrowd(t *testing.T) {
	g := NewWithT(t)
	p := ReceivePool{Limit: 4 << 20}
	g.Expect(p.Take()).To(Equal(int64(WideReceiveBytes)), "a connection in calm")
	taken := 1
	for !p.IsFull() {
		p.Take()
		taken++
	}
	g.Expect(p.Used).To(BeNumerically("<=", p.Limit))
	g.Expect(taken).To(BeNumerically(">", 4<<20/2/NarrowReceiveBytes), "the other half serves many")
	g.Expect(p.Widen(NarrowReceiveBytes)).To(Equal(int64(NarrowReceiveBytes)))
}

// TestLargeBodyInCalmHasAWideBuffer guards against a large body of a distant caller that arrives too slowly, as the kernel lets it
// send little at a time.
func TestLargeBodyInCalmHasAWideBuffer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	l := NewLedger(LimitsFor(160<<20, 4_100))
	id, d := l.Open(now)
	g.Expect(d.ReceiveBytes).To(Equal(int64(WideReceiveBytes)))
	g.Expect(l.Widen(id)).To(Equal(int64(BodyReceiveBytes)))
	l.Leave(id)
	g.Expect(l.Receive.Used).To(BeZero())
}

// TestConnectionWithoutAReceiveBuffer guards against more connections than the receive buffers suffice for, and against buffers of
// connections that are closed for others and still count.
func TestConnectionWithoutAReceiveBuffer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	l := NewLedger(Limits{Bytes: 8 << 20, MaxConns: 100, CallerReceiveBytes: 4 * NarrowReceiveBytes})
	for range 4 {
		_, d := l.Open(now)
		g.Expect(d.Granted).To(BeTrue())
	}
	_, d := l.Open(now)
	g.Expect(d.Granted).To(BeFalse())
	g.Expect(d.Refused.Reason).To(Equal(ReasonNoReceiveBuffer))
	now = now.Add(StallTime)
	_, d = l.Open(now)
	g.Expect(d.Granted).To(BeTrue(), "an idle connection gives way")
	g.Expect(d.Close).To(HaveLen(1))
	g.Expect(d.Close[0].Reason).To(Equal(ReasonForReceiveBuffer))
	g.Expect(l.Receive.Used).To(Equal(l.Receive.Limit))
}

// TestReceiveBuffersAddUp checks that random sequences of calls leave nothing counted once all connections are gone.
func TestReceiveBuffersAddUp(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Reproducible from the seed.
		l := NewLedger(Limits{Bytes: 4 << 20, MaxConns: 40, CallerReceiveBytes: 1 << 20})
		now := time.Unix(1_000, 0)
		for range 2_000 {
			now = now.Add(time.Duration(random.Int64N(int64(StallTime))))
			id := HolderID(random.Uint64N(uint64(l.last) + 1))
			switch random.IntN(5) {
			case 0, 1:
				_, _ = l.Open(now)
			case 2:
				l.Widen(id)
			case 3:
				l.SetStage(id, Stage(random.IntN(4)), now)
			case 4:
				l.Leave(id)
			}
			if l.Receive.Used < 0 || l.Receive.Used > l.Receive.Limit+int64(l.Closing+l.Conns)*WideReceiveBytes {
				t.Fatalf("seed %d: %d bytes of %d", seed, l.Receive.Used, l.Receive.Limit)
			}
		}
		for id := range l.Holders {
			l.Leave(id)
		}
		NewWithT(t).Expect(l.Receive.Used).To(BeZero(), "seed %d", seed)
	}
}
