package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestClockOfAnotherRouterIsLogged guards against clocks that differ without a trace in the logs.
func TestClockOfAnotherRouterIsLogged(t *testing.T) {
	r := newEmptyRouter(t, "r1")
	logged := func(ahead time.Duration) []time.Duration {
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: 1, SentAt: r.now.Add(ahead)}})
		var list []time.Duration
		for _, record := range effectsOf[dtdispatch.LogRecord](r.effects) {
			if record.Event == "router_clock" {
				list = append(list, record.Elapsed)
			}
		}
		return list
	}
	r.Expect(logged(-20*time.Millisecond)).To(BeEmpty(), "the transit of a message")
	r.Expect(logged(3 * time.Second)).To(Equal([]time.Duration{3 * time.Second}))
	r.Expect(logged(2900*time.Millisecond)).To(BeEmpty(), "no change")
	r.Expect(logged(0)).To(Equal([]time.Duration{0}), "the clock has been set right")
	r.Expect(r.state.Peers.MaxClockDifference).To(Equal(3 * time.Second))
}
