package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestTimerOfAFleetWhoseEntriesHaveLapsed guards against a loop that spins: a fleet whose entries in the store have lapsed
// is listed as a small one, and the time of its next collection of loads was never moved again.
func TestTimerOfAFleetWhoseEntriesHaveLapsed(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 48)
	r := f.routers[names[0]]
	listed := f.routersListed()
	listed.Routers = listed.Routers[:8]
	r.now = r.now.Add(time.Minute)
	r.step(listed)
	for range 3 {
		timers := effectsOf[dtdispatch.SetTimer](r.step(dtdispatch.TimerFired{}))
		g.Expect(timers).To(HaveLen(1))
		g.Expect(timers[0].At).To(BeTemporally(">", r.now), "a timer in the past would make the loop spin")
		r.now = timers[0].At
	}
}

// TestFleetStaysLargeWhileItsEntriesAreBack guards against a mesh of all routers, and domains without delegates, after an outage in
// which the entries of routers have lapsed: those that are alive write them again within seconds.
func TestFleetStaysLargeWhileItsEntriesAreBack(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 48)
	links := map[string]int{}
	for _, name := range names {
		links[name] = len(f.links[name])
	}
	store := f.store
	f.store, f.unlisted = nil, map[string]bool{}
	for _, name := range names[8:] {
		f.unlisted[name] = true
	}
	f.run(7*time.Second, names...)
	f.store = store
	for range 8 {
		f.run(time.Second, names...)
		for _, name := range names {
			g.Expect(f.routers[name].state.Membership.IsLarge()).To(BeTrue(), name)
			g.Expect(len(f.links[name])).To(BeNumerically("<=", links[name]), "links of %s", name)
		}
	}
}

// TestServersStayWhenAnotherReadsTheListFirst guards against routers that lose all servers as the store comes back: one that hears
// first that another has read the list took its own old one for current, and the entries that had lapsed for servers that have left.
func TestServersStayWhenAnotherReadsTheListFirst(t *testing.T) {
	g := NewWithT(t)
	f, names := newLargeFleet(t, 3)
	first, second := f.routers[names[0]], f.routers[names[1]]
	servers := first.state.Roster.Servers
	g.Expect(servers).To(HaveLen(4))
	for _, r := range []*router{first, second} {
		r.now = r.now.Add(6 * time.Second)
	}
	first.step(dtdispatch.ServersListed{Revision: 2})
	g.Expect(first.state.Roster.Servers).To(HaveLen(4), "kept while their entries may be back")
	first.now = first.now.Add(time.Second)
	for _, e := range effectsOf[dtdispatch.SendToPeers](first.step(dtdispatch.TimerFired{})) {
		second.step(dtdispatch.PeerMessageReceived{Message: e.Message})
	}
	second.step(dtdispatch.ServersListed{Revision: 2})
	g.Expect(second.state.Roster.Servers).To(HaveLen(4), "kept, too")
}

// TestKnowledgeAgesWhilePassedOn guards against a fleet without the store whose list and configuration stay young: each router that
// passed on how old they were counted the time of the message as if it had not passed.
func TestKnowledgeAgesWhilePassedOn(t *testing.T) {
	const transit, outage = 5 * time.Millisecond, 6 * time.Second
	g := NewWithT(t)
	f, names := newLargeFleet(t, 3)
	a, b := f.routers[names[0]], f.routers[names[1]]
	listedAt, confirmedAt := a.state.Roster.ListedAt, a.state.OperatorKeys.ConfirmedAt
	from, to := a, b
	for end := a.now.Add(outage); from.now.Before(end); from, to = to, from {
		from.state.Peers.NextStatusAt = from.now
		from.state.IsStoreDown = true // So that a status is sent although nothing has changed.
		sent := effectsOf[dtdispatch.SendToPeers](from.step(dtdispatch.TimerFired{}))
		to.now = from.now.Add(transit)
		for _, e := range sent {
			if status, isStatus := e.Message.(*dtdispatch.PeerStatus); isStatus {
				to.step(dtdispatch.PeerMessageReceived{Message: status})
			}
		}
	}
	const margin = 300 * time.Millisecond
	g.Expect(a.state.Roster.ListedAt).To(BeTemporally("<", listedAt.Add(margin)))
	g.Expect(a.state.OperatorKeys.ConfirmedAt).To(BeTemporally("<", confirmedAt.Add(margin)))
}
