package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// report ends the first attempt of a request with an outcome and what its server announced.
func (r *router) report(n dtdispatch.RequestNumber, o dtdispatch.Outcome, announced dtdispatch.ServerReport) {
	announced.ReceivedAt = r.now
	r.endAttempt(n, 1, o, func(ev *dtdispatch.AttemptEnded) { ev.Report = &announced })
}

// serversOf returns the servers that n further requests are sent to; each of them is served.
func (r *router) serversOf(n int) map[dtdispatch.ServerID]int {
	used := map[dtdispatch.ServerID]int{}
	for range n {
		number := r.sendRequest("/once/x")
		used[r.onlySend().Server]++
		r.endAttempt(number, 1, dtdispatch.OutcomeCompleted)
	}
	return used
}

// leave has a server announce in a response that it is leaving and returns its ID.
func (r *router) leave(o dtdispatch.Outcome) dtdispatch.ServerID {
	n := r.sendRequest("/once/x")
	id := r.onlySend().Server
	r.report(n, o, dtdispatch.ServerReport{Leaving: true})
	return id
}

// TestServerThatIsLeavingGetsRequests guards against a server that has announced in a response that
// it is leaving and gets requests because the store, or a late list, has it as ready.
func TestServerThatIsLeavingGetsRequests(t *testing.T) {
	for name, outcome := range map[string]dtdispatch.Outcome{
		"a response": dtdispatch.OutcomeCompleted, "an error": dtdispatch.OutcomeFailure, "a refusal": dtdispatch.OutcomeNotRun,
	} {
		t.Run("announced in "+name, func(t *testing.T) {
			r := newRouter(t, 3)
			left := r.leave(outcome)
			r.Expect(r.serversOf(12)).NotTo(HaveKey(left))
			r.listServers(2, testServers(3)...)
			r.Expect(r.serversOf(12)).NotTo(HaveKey(left), "listed as ready")
		})
	}
	t.Run("announced in the head of a stream", func(t *testing.T) {
		r := newRouter(t, 3)
		n := r.sendRequest("/live/x")
		left := r.onlySend().Server
		r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1, Report: &dtdispatch.ServerReport{ReceivedAt: r.now, Leaving: true}})
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
		r.Expect(r.serversOf(12)).NotTo(HaveKey(left))
	})
	t.Run("removed from the list and listed again", func(t *testing.T) {
		r := newRouter(t, 2)
		left := r.leave(dtdispatch.OutcomeCompleted)
		var others []dtdispatch.Server
		for _, server := range testServers(2) {
			if server.ID != left {
				others = append(others, server)
			}
		}
		r.listServers(2, others...)
		r.advance(20 * time.Second)
		r.listServers(3, testServers(2)...)
		r.Expect(r.serversOf(12)).NotTo(HaveKey(left))
	})
	t.Run("announced by a server that has left the list", func(t *testing.T) {
		r := newRouter(t, 2)
		n := r.sendRequest("/once/x")
		left := r.onlySend().Server
		r.listServers(2)
		r.report(n, dtdispatch.OutcomeCompleted, dtdispatch.ServerReport{Leaving: true})
		r.listServers(3, testServers(2)...)
		r.Expect(r.serversOf(12)).NotTo(HaveKey(left))
	})
	t.Run("all servers are leaving", func(t *testing.T) {
		r := newRouter(t, 1)
		r.leave(dtdispatch.OutcomeCompleted)
		r.sendRequest("/once/x")
		r.Expect(r.onlyRefusal().Status).To(Equal(503))
	})
}

// TestRestartedServerIsNoLongerLeaving guards against a server that gets no requests after it has restarted, or gets them
// though it is leaving, since the clock of its host differs.
func TestRestartedServerIsNoLongerLeaving(t *testing.T) {
	started := func(at time.Time) dtdispatch.Server {
		server := testServers(1)[0]
		server.Start = at.UnixMilli()
		return server
	}
	isUsed := func(r *router) bool {
		r.sendRequest("/once/x")
		return len(effectsOf[dtdispatch.SendRequest](r.effects)) > 0
	}
	for _, ahead := range clockDifferences {
		t.Run(fmt.Sprint("it restarts after it has left, clock ahead by ", ahead), func(t *testing.T) {
			r := newRouter(t, 1)
			left := r.leave(dtdispatch.OutcomeCompleted)
			r.now = r.now.Add(time.Second)
			r.listServers(2, testServers(1)...)
			r.Expect(isUsed(r)).To(BeFalse())
			r.now = r.now.Add(200 * time.Millisecond)
			r.listServers(3, started(r.now.Add(ahead)))
			r.Expect(r.serversOf(1)).To(HaveKey(left))
			r.Expect(r.state.Notices).To(BeEmpty())
		})
		t.Run(fmt.Sprint("it had restarted before, which is listed late, clock ahead by ", ahead), func(t *testing.T) {
			r := newRouter(t, 1)
			r.now = r.now.Add(5 * time.Second)
			startedAt := r.now.Add(-time.Second)
			r.leave(dtdispatch.OutcomeCompleted)
			for range 2 {
				r.now = r.now.Add(3 * time.Second)
				r.listServers(2, started(startedAt.Add(ahead)))
				r.Expect(isUsed(r)).To(BeFalse())
			}
		})
		t.Run(fmt.Sprint("it restarts while the list is not read, clock ahead by ", ahead), func(t *testing.T) {
			r := newRouter(t, 1)
			r.leave(dtdispatch.OutcomeCompleted)
			r.now = r.now.Add(5 * time.Second)
			r.listServers(2, started(r.now.Add(ahead-time.Second)))
			r.now = r.now.Add(11 * time.Second)
			r.Expect(isUsed(r)).To(BeTrue())
		})
	}
}

// TestServerGetsRequestsDuringItsBackoff guards against a server that is sent requests although it
// has refused one with the time at which it wants the next.
func TestServerGetsRequestsDuringItsBackoff(t *testing.T) {
	r := newRouter(t, 3)
	n := r.sendRequest("/once/x")
	busy := r.onlySend().Server
	r.report(n, dtdispatch.OutcomeNotRun, dtdispatch.ServerReport{Backoff: 2 * time.Second})
	r.Expect(r.onlySend().Server).NotTo(Equal(busy), "the retry")
	r.endAttempt(n, 2, dtdispatch.OutcomeCompleted)
	for range 4 {
		r.Expect(r.serversOf(12)).NotTo(HaveKey(busy))
		r.advance(490 * time.Millisecond)
	}
	r.advance(100 * time.Millisecond)
	r.Expect(r.serversOf(12)).To(HaveKey(busy), "after its backoff")
}

func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	r := newRouter(t, 1)
	first, second := r.sendRequest("/single/x"), r.sendRequest("/single/x")
	r.report(first, dtdispatch.OutcomeNotRun, dtdispatch.ServerReport{Backoff: 3 * time.Second})
	r.report(second, dtdispatch.OutcomeNotRun, dtdispatch.ServerReport{Backoff: time.Second})
	r.advance(2 * time.Second)
	r.sendRequest("/once/x")
	refusal := r.onlyRefusal()
	r.Expect(refusal.Reason).To(Equal(dtdispatch.ReasonServerBackoff))
	r.Expect(refusal.RetryAfter).To(BeNumerically("~", time.Second, 60*time.Millisecond))
}

// TestAllServersInBackoff checks that a request that no server wants yet is refused at once, with
// the time at which the first of them wants requests again.
func TestAllServersInBackoff(t *testing.T) {
	r := newRouter(t, 2)
	for i := range 2 {
		n := r.sendRequest("/single/x")
		r.report(n, dtdispatch.OutcomeNotRun, dtdispatch.ServerReport{Backoff: time.Duration(3-i) * time.Second})
	}
	r.sendRequest("/once/x")
	refusal := r.onlyRefusal()
	r.Expect(refusal.Status).To(Equal(503))
	r.Expect(refusal.Reason).To(Equal(dtdispatch.ReasonServerBackoff))
	r.Expect(refusal.RetryAfter).To(Equal(2 * time.Second))
	r.now = r.now.Add(refusal.RetryAfter)
	r.sendRequest("/once/x")
	r.onlySend()
}

func TestBackoffOfAYearIsCut(t *testing.T) {
	r := newRouter(t, 1)
	n := r.sendRequest("/single/x")
	r.report(n, dtdispatch.OutcomeNotRun, dtdispatch.ServerReport{Backoff: 365 * 24 * time.Hour})
	r.now = r.now.Add(5 * time.Minute)
	r.sendRequest("/once/x")
	r.onlySend()
}

func TestColdServersRefuseWithAReason(t *testing.T) {
	r := newEmptyRouter(t, "r1")
	r.step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	cold := testServers(1)
	cold[0].ColdFor = 10 * time.Second
	r.listServers(1, cold...)
	for range 40 {
		n := r.sendRequest("/once/x")
		if len(effectsOf[dtdispatch.Refuse](r.effects)) > 0 {
			break
		}
		r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
	}
	r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonColdServers))
}

// TestNoticesAreBounded guards against notices of servers that are gone for good.
func TestNoticesAreBounded(t *testing.T) {
	r := newRouter(t, 2)
	r.leave(dtdispatch.OutcomeCompleted)
	r.listServers(2)
	r.Expect(r.state.Notices).To(HaveLen(1))
	r.now = r.now.Add(time.Hour)
	r.listServers(3, testServers(1)[0])
	r.listServers(4)
	r.Expect(r.state.Notices).To(BeEmpty())
}

// TestServerAtOwnAddress guards against an entry of another writer at the address of this router, which
// would send its requests to itself again and again.
func TestServerAtOwnAddress(t *testing.T) {
	r := newRouter(t, 1)
	list := testServers(2)
	list[0].Address = "10.9.9.9:80" // The router's own domain, which is preferred.
	r.listServers(2, list...)
	r.Expect(r.serversOf(8)).NotTo(HaveKey(dtdispatch.ServerID("s0")))
}
