package dtfleet_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet of real processes")
}

// binDir returns the directory of the binaries, which make builds before the tests.
func binDir() string {
	path, err := filepath.Abs("../../bin")
	Expect(err).NotTo(HaveOccurred())
	return path
}

// startFleet starts a fleet, stops it when the spec ends and prints its logs if the spec
// failed.
func startFleet(t dtfleet.Topology) *dtfleet.Fleet {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "dottereltack-test-")
	Expect(err).NotTo(HaveOccurred())
	f, err := dtfleet.Start(t, binDir(), dir)
	DeferCleanup(func() {
		if f != nil {
			f.Stop()
		}
		if CurrentSpecReport().Failed() {
			logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
			for _, l := range logs {
				text, _ := os.ReadFile(l)
				GinkgoWriter.Printf("--- %s\n%s\n", filepath.Base(l), tail(text))
			}
		}
		_ = os.RemoveAll(dir)
	})
	Expect(err).NotTo(HaveOccurred())
	return f
}

func tail(text []byte) []byte {
	const maxBytes = 12 << 10
	return text[max(len(text)-maxBytes, 0):]
}

// newCaller returns a caller with the key of the first client account.
func newCaller() *dtcaller.Caller {
	c := dtcaller.New(dtfleet.AccountKey("acc-0"))
	DeferCleanup(c.Close)
	return c
}

// newTurn returns the first turn of a chat and its expected answer.
func newTurn(chat string, tokens int) (*dtcaller.Turn, string) {
	t := &dtcaller.Turn{ChatID: chat, Model: "poster-writer", MaxTokens: tokens}
	t.Messages = append(t.Messages, dtcaller.Message("user", "draft a poster for "+chat))
	return t, dtengine.ExpectedText(dtengine.Prefixes(t.Messages), uint32(tokens))
}

var _ = Describe("stopping", func() {
	It("ends an idle router soon and with exit code zero", func() {
		f := startFleet(dtfleet.SmallTopology())
		t, want := newTurn("stop", 8)
		res := newCaller().Chat(f.Routers[0].Host.CallersAddress, t)
		Expect(res.Completed).To(BeTrue())
		Expect(res.Text).To(Equal(want))
		begin := time.Now()
		code, _ := f.Routers[0].Terminate()
		Expect(code).To(BeZero())
		Expect(time.Since(begin)).To(BeNumerically("<", 3*time.Second))
	})
})

var _ = Describe("orders", func() {
	It("runs an order once and answers its resend at another router", func() {
		topology := dtfleet.SmallTopology()
		topology.LogLevel = "debug"
		f := startFleet(topology)
		c := newCaller()
		begin := time.Now()
		for i := range 8 {
			key := dtcaller.NewIdempotencyKey()
			first := c.CallService(f.Routers[i%4].Host.CallersAddress, "franchise-desk", "print", key, []byte(`{"poster":1}`))
			second := c.CallService(f.Routers[(i+1)%4].Host.CallersAddress, "franchise-desk", "print", key, []byte(`{"poster":1}`))
			Expect(first.Completed).To(BeTrue(), "%+v", first.Refusal)
			Expect(second.Completed).To(BeTrue(), "%+v", second.Refusal)
			Expect(second.Replayed).To(BeTrue())
			Expect(second.Body).To(Equal(first.Body))
			counters, err := f.StandCounters()
			Expect(err).NotTo(HaveOccurred())
			Expect(counters.RunCounts[key]).To(Equal(1))
		}
		GinkgoWriter.Printf("orders took %s\n", time.Since(begin))
		begin = time.Now()
		Expect(f.Stop()).To(BeZero())
		GinkgoWriter.Printf("stop took %s\n", time.Since(begin))
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
	})
})
