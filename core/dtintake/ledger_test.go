package dtintake

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crowdReplay replays callers against a ledger in virtual time.
type crowdReplay struct {
	*WithT
	ledger *Ledger
	now    time.Time
	gone   map[HolderID]Reason
}

func newCrowdReplay(t *testing.T, l Limits) *crowdReplay {
	t.Helper()
	return &crowdReplay{WithT: NewWithT(t), ledger: NewLedger(l), now: time.Unix(1_000, 0), gone: map[HolderID]Reason{}}
}

// apply has the connections that a decision names leave, and checks the limits.
func (r *crowdReplay) apply(d Decision) bool {
	for _, c := range d.Close {
		r.gone[c.ID] = c.Reason
		r.ledger.Leave(c.ID)
	}
	r.Expect(r.ledger.Used).To(BeNumerically("<=", r.ledger.Limits.Bytes))
	r.Expect(r.ledger.Conns).To(BeNumerically("<=", r.ledger.Limits.MaxConns))
	return d.Granted
}

func (r *crowdReplay) open() (HolderID, bool) {
	id, d := r.ledger.Open(r.now)
	return id, r.apply(d)
}

// send has a body of n bytes arrive in blocks, and reports whether all of it was taken. A refused connection leaves.
func (r *crowdReplay) send(id HolderID, n int64) bool {
	const block = 64 << 10
	r.ledger.SetStage(id, StageBody, r.now)
	for sent := int64(0); sent < n; sent += block {
		size := min(n-sent, block)
		if !r.apply(r.ledger.Take(id, size, r.now)) {
			r.ledger.Leave(id)
			return false
		}
		r.ledger.Progress(id, size, r.now)
	}
	return true
}

// TestCrowdLeavesRoomForOrdinaryCallers guards against a process that is killed for its memory, or refuses all callers,
// while 200 clients hold bodies of 4 MB just short of their end.
func TestCrowdLeavesRoomForOrdinaryCallers(t *testing.T) {
	const crowd, bodyBytes, ordinaryBytes = 200, 4 << 20, 48 << 10
	r := newCrowdReplay(t, LimitsFor(284<<20, 4_100))
	for second := range 25 {
		for range crowd {
			if id, ok := r.open(); ok {
				r.send(id, bodyBytes-1)
			}
		}
		r.now = r.now.Add(time.Second)
		for range 20 {
			id, ok := r.open()
			r.Expect(ok && r.send(id, ordinaryBytes)).To(BeTrue(), "an ordinary request in second %d", second)
			r.ledger.SetStage(id, StageRunning, r.now)
			r.Expect(r.apply(r.ledger.Reserve(1<<20, 1<<20, r.now))).To(BeTrue(), "its response")
			r.ledger.Release(1 << 20)
			r.ledger.Leave(id)
		}
	}
	for id := range r.ledger.Holders {
		r.ledger.Leave(id)
	}
	r.Expect(r.ledger.Used).To(BeZero())
	r.Expect(r.ledger.Conns).To(BeZero())
}

// TestRunningAndRecentRequestsStay guards against an ordinary request that is closed to make room.
func TestRunningAndRecentRequestsStay(t *testing.T) {
	r := newCrowdReplay(t, Limits{Bytes: 8 << 20, MaxConns: 4})
	running, _ := r.open()
	r.Expect(r.send(running, 2<<20)).To(BeTrue())
	r.ledger.SetStage(running, StageRunning, r.now)
	stalled, _ := r.open()
	r.Expect(r.send(stalled, 1<<20)).To(BeTrue())
	r.now = r.now.Add(2 * StallTime)
	recent, _ := r.open()
	r.Expect(r.send(recent, 1<<20)).To(BeTrue())
	asking, _ := r.open()
	r.Expect(r.apply(r.ledger.Take(asking, 6<<20, r.now))).To(BeFalse(), "more than can be freed")
	r.Expect(r.gone).To(BeEmpty(), "none is closed if that does not help")
	r.Expect(r.send(asking, 3*512<<10)).To(BeTrue())
	r.Expect(r.gone).To(Equal(map[HolderID]Reason{stalled: ReasonForMemory}))
}

// TestPlaces checks which connection gives its place to a new one: a head that does not end, then the one that has been idle
// for longest, and none that is about to send a request.
func TestPlaces(t *testing.T) {
	r := newCrowdReplay(t, Limits{Bytes: 8 << 20, MaxConns: 3})
	idle, _ := r.open()
	r.now = r.now.Add(time.Second)
	head, _ := r.open()
	r.ledger.SetStage(head, StageHead, r.now)
	r.now = r.now.Add(StallTime)
	_, _ = r.open()
	_, ok := r.open()
	r.Expect(ok).To(BeTrue())
	r.Expect(r.gone).To(Equal(map[HolderID]Reason{head: ReasonForPlace}))
	_, ok = r.open()
	r.Expect(ok).To(BeTrue())
	r.Expect(r.gone).To(HaveKeyWithValue(idle, ReasonForPlace))
	_, ok = r.open()
	r.Expect(ok).To(BeFalse(), "the others have just connected")
}

// TestSingleBytesAreNoProgress guards against a crowd that keeps its memory by one byte now and then.
func TestSingleBytesAreNoProgress(t *testing.T) {
	r := newCrowdReplay(t, Limits{Bytes: 8 << 20, MaxConns: 4})
	slow, _ := r.open()
	r.Expect(r.send(slow, 4<<20)).To(BeTrue())
	for range 100 {
		r.now = r.now.Add(StallTime / 50)
		r.ledger.Progress(slow, 1, r.now)
	}
	id, _ := r.open()
	r.Expect(r.send(id, 2<<20)).To(BeTrue())
	r.Expect(r.gone).To(HaveKey(slow))
}

// TestRequestOnAnIdleConnectionThatIsClosed guards against a request that is refused since its connection was to be closed
// while it waited: the request had begun to arrive.
func TestRequestOnAnIdleConnectionThatIsClosed(t *testing.T) {
	r := newCrowdReplay(t, Limits{Bytes: 8 << 20, MaxConns: 1})
	idle, _ := r.open()
	r.now = r.now.Add(time.Second)
	_, d := r.ledger.Open(r.now)
	r.Expect(d.Close).To(HaveLen(1))
	r.ledger.SetStage(idle, StageHead, r.now)
	r.Expect(r.ledger.Take(idle, 100, r.now).Granted).To(BeTrue())
	r.ledger.Leave(idle)
	r.Expect(r.ledger.Conns).To(Equal(1))
	r.Expect(r.ledger.Closing).To(BeZero())
	r.Expect(r.ledger.Used).To(Equal(int64(ConnBytes)))
}

// TestLedgerAddsUp checks that random sequences of calls leave nothing counted once all connections are gone.
func TestLedgerAddsUp(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Reproducible from the seed.
		l := NewLedger(Limits{Bytes: 4 << 20, MaxConns: 8})
		now := time.Unix(1_000, 0)
		held := map[HolderID]int64{}
		for range 2_000 {
			now = now.Add(time.Duration(random.Int64N(int64(StallTime))))
			id := HolderID(random.Uint64N(uint64(l.last) + 1))
			switch random.IntN(6) {
			case 0, 1:
				_, _ = l.Open(now)
			case 2:
				if n := random.Int64N(1 << 20); l.Take(id, n, now).Granted {
					held[id] += n
				}
			case 3:
				stage := Stage(random.IntN(4))
				l.SetStage(id, stage, now)
				if stage == StageIdle {
					held[id] = 0
				}
			case 4:
				l.Return(id, held[id]/2)
				held[id] -= held[id] / 2
			case 5:
				l.Leave(id)
			}
			if l.Used < 0 || l.Conns < 0 || l.Closing < 0 || len(l.Holders) != l.Conns+l.Closing {
				t.Fatalf("seed %d: used %d, %d connections, %d being closed, %d holders", seed, l.Used, l.Conns, l.Closing, len(l.Holders))
			}
		}
		for id := range l.Holders {
			l.Leave(id)
		}
		NewWithT(t).Expect([]int64{l.Used, int64(l.Conns), int64(l.Closing)}).To(Equal([]int64{0, 0, 0}), "seed %d", seed)
	}
}

// TestLimits checks that each deployment's process can hold a body of the full size, and that its descriptors suffice for all
// callers with a server each, and all else.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	for _, memoryMB := range []int64{128, 184, 284, 536} {
		l := LimitsFor(memoryMB<<20, 4_100)
		g.Expect(l.part(largeBodyEighths) - int64(l.MaxConns)*ConnBytes).To(BeNumerically(">=", 4<<20))
		g.Expect(2*l.MaxConns + l.MaxIdleServerConns + l.MaxPeers + 2*l.MaxTunnels + 2*l.MaxAuxConns).To(BeNumerically("<", 4_100-fileDescriptors))
	}
	unknown := LimitsFor(0, 0)
	g.Expect(unknown).To(Equal(Limits{
		Bytes: defaultBytes, MaxConns: 4_096, MaxPeers: 2_048, MaxTunnels: maxTunnels, MaxAuxConns: maxAuxConns, MaxIdleServerConns: maxConns,
		CallerReceiveBytes: 96 << 20, ServerReceiveBytes: 96 << 20, TunnelReceiveBytes: 32 << 20, PeerReceiveBytes: 32 << 20,
	}))
	g.Expect(LimitsFor(1, 1)).To(Equal(Limits{
		MaxConns: minConns, MaxPeers: minConns, MaxTunnels: 1, MaxAuxConns: 1, MaxIdleServerConns: 1,
		CallerReceiveBytes: 384 << 10, ServerReceiveBytes: 384 << 10, TunnelReceiveBytes: 128 << 10, PeerReceiveBytes: 128 << 10,
	}))
}

// TestLimitsLeaveRoomForEachPart checks that the runtime, the receive buffers and the program together stay within the memory of a process.
func TestLimitsLeaveRoomForEachPart(t *testing.T) {
	g := NewWithT(t)
	for _, memoryMB := range []int64{48, 64, 96, 128, 160, 284, 536} {
		l := LimitsFor(memoryMB<<20, 4_100)
		receive := l.CallerReceiveBytes + l.ServerReceiveBytes + l.TunnelReceiveBytes + l.PeerReceiveBytes
		g.Expect(l.RuntimeBytes+receive+programBytes).To(BeNumerically("<=", memoryMB<<20), "%d MB", memoryMB)
		g.Expect(l.Bytes).To(BeNumerically("<=", l.RuntimeBytes/2))
	}
}

// TestHeadIsNotClosedForMemory guards against ordinary callers whose connections are closed under a crowd: on a busy machine
// half a second passes between the first byte of a request and its head being read.
func TestHeadIsNotClosedForMemory(t *testing.T) {
	r := newCrowdReplay(t, Limits{Bytes: 4 << 20, MaxConns: 40})
	head, _ := r.open()
	r.ledger.SetStage(head, StageHead, r.now)
	asking, _ := r.open()
	r.Expect(r.send(asking, 5*512<<10-2*ConnBytes)).To(BeTrue(), "all that bodies may take")
	r.now = r.now.Add(2 * StallTime)
	r.Expect(r.apply(r.ledger.Take(asking, 1, r.now))).To(BeFalse())
	r.Expect(r.gone).To(BeEmpty())
	r.Expect(r.apply(r.ledger.Take(head, 16<<10, r.now))).To(BeTrue(), "a tiny request has room beside it")
}
