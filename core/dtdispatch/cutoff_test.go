package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestRouterWithALapsedEntryIsHeard guards against a router that is dropped by the others because its
// entry in the store has lapsed, while they hear it all the time.
func TestRouterWithALapsedEntryIsHeard(t *testing.T) {
	for _, size := range []int{3, 48} {
		g := NewWithT(t)
		f, names := newLargeFleet(t, size)
		lapsed := names[len(names)-1]
		f.unlisted = map[string]bool{lapsed: true}
		f.run(15*time.Second, names...)
		linked := 0
		for _, name := range names {
			if _, hasLink := f.links[name][lapsed]; hasLink {
				linked++
			}
		}
		g.Expect(linked).To(BeNumerically(">=", min(size-1, delegatesOfADomain-1)), "routers with a link to the one that has lapsed, of %d", size)
	}
}

// TestSilentReaderShortensTheRetryDelay guards against a router that waits as long after a failed call
// as one that hears a reader, although its reader has fallen silent since.
func TestSilentReaderShortensTheRetryDelay(t *testing.T) {
	for name, tc := range map[string]struct {
		fail  dtdispatch.Event
		calls func([]dtdispatch.Effect) int
	}{
		"the list of servers": {dtdispatch.ListServersFailed{Detail: "down"}, func(effects []dtdispatch.Effect) int {
			return len(effectsOf[dtdispatch.ListServers](effects))
		}},
		"the operators' keys": {dtdispatch.OperatorKeysFailed{Detail: "down"}, func(effects []dtdispatch.Effect) int {
			return len(effectsOf[dtdispatch.ReadOperatorKeys](effects))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 2)
			var list []dtdispatch.Router
			for _, server := range testServers(40) {
				list = append(list, dtdispatch.Router{Name: string(server.ID), Address: server.Address, Domain: "d0", Cores: 4})
			}
			r.step(dtdispatch.RoutersListed{Routers: list}) // A large fleet.
			for range 6 {
				r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "s1", Domain: "d0", Start: 1}})
				r.step(tc.fail)
			}
			const silence, retryDelay = 1300 * time.Millisecond, time.Second // Of a reader that has failed, and of the one after it.
			r.Expect(tc.calls(r.advance(time.Second))).To(BeZero(), "while the reader may be heard")
			r.Expect(tc.calls(r.advance(silence - time.Second + retryDelay))).To(Equal(1))
		})
	}
}
