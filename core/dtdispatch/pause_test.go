package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// resume has a router resume after a pause of five seconds, in which its clock has stood still.
func (r *router) resume() {
	r.step(dtdispatch.OperatorKeysRead{})
	r.advance(3 * time.Second)
	for range effectsOf[dtdispatch.ReadOperatorKeys](r.effects) {
		r.step(dtdispatch.OperatorKeysRead{Unchanged: true})
	}
	r.listServers(2, testServers(2)...)
	r.step(dtdispatch.Paused{Gap: 5 * time.Second})
}

// TestPausedRouterGoesByOldKnowledge guards against a router that acts on what it knew before its
// process or host was paused: a key withdrawn meanwhile, a server that has left.
func TestPausedRouterGoesByOldKnowledge(t *testing.T) {
	r := newRouter(t, 2)
	r.resume()
	r.sendRequest("/once/x")
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty(), "held")
	withdrawn := testConfig(2)
	delete(withdrawn.AccountsByKey, "k1")
	r.now = r.now.Add(5 * time.Millisecond)
	r.step(dtdispatch.OperatorKeysFailed{Interrupted: true})
	r.step(dtdispatch.ConfigReceived{Config: withdrawn})
	r.step(dtdispatch.OperatorKeysRead{})
	r.Expect(effectsOf[dtdispatch.Refuse](r.effects)).To(BeEmpty(), "the list of servers is still to come")
	r.listServers(3, testServers(1)...)
	r.Expect(r.onlyRefusal().Status).To(Equal(401))
	r.sendRequest("/open/x")
	r.Expect(r.onlySend().Server).To(Equal(dtdispatch.ServerID("s0")))
}

// TestResumingRouterReadsWithPauses guards against a router that reads the operators' keys in a loop
// without a pause until it has read the list of servers too.
func TestResumingRouterReadsWithPauses(t *testing.T) {
	r := newRouter(t, 2)
	r.step(dtdispatch.OperatorKeysRead{})
	r.step(dtdispatch.Paused{Gap: 3 * time.Second})
	calls := 0
	for range 50 {
		r.now = r.now.Add(4 * time.Millisecond)
		calls += len(effectsOf[dtdispatch.ReadOperatorKeys](r.step(dtdispatch.OperatorKeysRead{Unchanged: true})))
	}
	r.Expect(calls).To(BeNumerically("<=", 1), "in 200 ms, while the list of servers is read")
}

func TestPausedRouterAsksAtOnce(t *testing.T) {
	r := newRouter(t, 2)
	r.resume()
	lists := effectsOf[dtdispatch.ListServers](r.effects)
	r.Expect(lists).To(HaveLen(1))
	r.Expect(lists[0].Wait).To(BeZero())
	restarts := effectsOf[dtdispatch.RestartWatch](r.effects)
	reads := effectsOf[dtdispatch.ReadOperatorKeys](r.effects)
	r.Expect(len(restarts)+len(reads)).To(Equal(1), "a watch that waits is ended, or there is none")
	if len(restarts) > 0 {
		reads = effectsOf[dtdispatch.ReadOperatorKeys](r.step(dtdispatch.OperatorKeysFailed{Interrupted: true}))
	}
	r.Expect(reads).To(Equal([]dtdispatch.ReadOperatorKeys{{Wait: 0}}))
}

// TestPausedRouterWithoutStoreServes checks that a router that can't hear what it has missed goes on
// with what it knows after a short time.
func TestPausedRouterWithoutStoreServes(t *testing.T) {
	r := newRouter(t, 2)
	r.resume()
	for range 300 {
		r.sendRequest("/once/x")
	}
	r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonResuming), "more than can be held")
	sends := effectsOf[dtdispatch.SendRequest](r.advance(500 * time.Millisecond))
	r.Expect(sends).To(HaveLen(256))
	r.sendRequest("/once/x")
	r.onlySend()
}

// TestAnswerFromBeforeAPauseEndsIt guards against a router that handles the requests of a pause by an old configuration, since an answer that
// was sent before a change has waited in its buffers, of the store or of another router.
func TestAnswerFromBeforeAPauseEndsIt(t *testing.T) {
	for name, answer := range map[string]func(r *router){
		"of the store": func(r *router) { r.step(dtdispatch.OperatorKeysRead{Unchanged: true}) },
		"of a router": func(r *router) {
			r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.PeerStatus{
				From: "r2", Domain: "d0", Start: 1, OperatorNews: dtdispatch.OperatorNews{ConfigVersion: 1, AgeMs: 1},
			}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 2)
			r.resume()
			r.sendRequest("/once/x")
			r.now = r.now.Add(5 * time.Millisecond)
			r.listServers(3, testServers(2)...)
			answer(r)
			r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty(), "it may have been sent before the pause")
			if name == "of a router" {
				r.step(dtdispatch.OperatorKeysFailed{Interrupted: true})
			}
			r.Expect(effectsOf[dtdispatch.ReadOperatorKeys](r.effects)).To(HaveLen(1))
			withdrawn := testConfig(2)
			delete(withdrawn.AccountsByKey, "k1")
			r.step(dtdispatch.ConfigReceived{Config: withdrawn})
			r.step(dtdispatch.OperatorKeysRead{})
			r.Expect(r.onlyRefusal().Status).To(Equal(401))
		})
	}
}
