package dtlink

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// recorder is a handler, a clock and a meter that keep what they are told.
type recorder struct {
	mu         sync.Mutex
	messages   []dtstate.Message
	unreadable []dtstate.RouterID
	failures   []error
	counts     map[string]int
}

func (r *recorder) HandleMessage(_ dtstate.RouterID, m dtstate.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) HandleFailure(_ dtstate.RouterID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

func (r *recorder) HandleUnreadable(from dtstate.RouterID, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreadable = append(r.unreadable, from)
}

func (r *recorder) CountUnreadableMessage(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind]++
}

func (*recorder) CountControlMessage(string, string, int) {}
func (*recorder) CountShedMessage(string)                 {}
func (*recorder) Now(time.Time) uint64                    { return 0 }
func (*recorder) Observe(uint64, time.Time)               {}

func (r *recorder) received() []dtstate.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]dtstate.Message(nil), r.messages...)
}

func (r *recorder) failed() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.failures...)
}

// TestMessageOfALaterBuildClosesTheLink guards against a link that is lost, with what follows on it, at each message of a kind or a
// length that this build does not know.
func TestMessageOfALaterBuildClosesTheLink(t *testing.T) {
	g := NewWithT(t)
	rec := &recorder{counts: map[string]int{}}
	keys := []string{"key-number-one-0001"}
	transport, err := New(Settings{Self: "b", Address: "127.0.0.1:0", Keys: keys}, rec, rec, rec)
	g.Expect(err).NotTo(HaveOccurred())
	transport.Start()
	defer transport.Close()
	c, err := net.Dial("tcp", transport.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	w := bufio.NewWriter(c)
	_, err = dtwire.Handshake(bufio.NewReader(c), w, "a", keys)
	g.Expect(err).NotTo(HaveOccurred())
	send := func(message []byte) {
		g.Expect(dtwire.WriteFrame(w, append(make([]byte, timestampBytes), message...))).To(Succeed())
		g.Expect(w.Flush()).To(Succeed())
	}
	ping, err := dtwire.Encode(&dtstate.PingAck{Target: "x"})
	g.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		send([]byte{200, 0x90})
		send([]byte{ping[0], 0x92, 0xa1, 'x', 0xc0})
	}
	send(ping)
	g.Eventually(rec.received).Should(ConsistOf(&dtstate.PingAck{Target: "x"}))
	g.Expect(rec.failed()).To(BeEmpty())
	g.Expect(rec.counts).To(Equal(map[string]int{"unknown": 3, "PingAck": 3}))
	g.Expect(rec.unreadable).To(Equal([]dtstate.RouterID{"a", "a"}), "once for each kind")
	_, err = w.Write([]byte{0, 0, 0, 0})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Flush()).To(Succeed())
	g.Eventually(rec.failed).Should(ConsistOf(MatchError(dtwire.ErrFrameSize)))
}
