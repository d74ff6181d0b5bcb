package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestLateStatusConfirmsAListThatHasChanged guards against streams of two versions: a status that was held up on its link
// confirms the list as of its arrival, and a server that restarted before that is taken for its former incarnation.
func TestLateStatusConfirmsAListThatHasChanged(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	hear := func(sentAt time.Time) {
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r2", Address: "r2:1", Domain: "d0", Start: 1, RosterHash: r.state.Roster.Hash, RosterRevision: 1, SentAt: sentAt}})
	}
	hear(r.now)
	r.now = r.now.Add(time.Second)
	startedAt := r.now
	r.now = r.now.Add(time.Second)
	r.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = "first", callerTimeout })
	r.step(dtdispatch.ResponseStarted{Number: r.onlySend().Number, Attempt: 1, ConnectedAt: r.now})
	r.now = r.now.Add(time.Second)
	hear(startedAt.Add(-100 * time.Millisecond))
	r.now = r.now.Add(50 * time.Millisecond)
	list := serversOfVersions("v2")
	list[0].Start = startedAt.UnixMilli()
	r.listServers(2, list...)
	r.Expect(r.state.StreamVersions.Exceptions).To(HaveKeyWithValue("first", HaveField("Version", Not(Equal("v1")))))
}

// TestClockThatIsSetDoesNotMakeStatusesLate guards against a list that counts as old for long, since the clock of the router
// that confirms it has been set back.
func TestClockThatIsSetDoesNotMakeStatusesLate(t *testing.T) {
	r := newRouterWithVersions(t, "v1")
	for n := range 20 {
		sentAt := r.now
		if n >= 10 {
			sentAt = sentAt.Add(-5 * time.Second)
		}
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: 1, RosterHash: r.state.Roster.Hash, RosterRevision: 1, SentAt: sentAt}})
		if n != 10 {
			r.Expect(r.state.Roster.ListedAt).To(Equal(r.now), "status %d", n)
		}
		r.now = r.now.Add(250 * time.Millisecond)
	}
}
