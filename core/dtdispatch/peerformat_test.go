package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// logged returns the records of an event among the effects of the last step.
func (r *router) logged(event string) []dtdispatch.LogRecord {
	var records []dtdispatch.LogRecord
	for _, record := range effectsOf[dtdispatch.LogRecord](r.effects) {
		if record.Event == event {
			records = append(records, record)
		}
	}
	return records
}

// TestUnreadableMessagesFillTheLog guards against a line for each of the messages that a router of another build sends.
func TestUnreadableMessagesFillTheLog(t *testing.T) {
	r := newRouter(t, 2)
	unreadable := func(from, kind string) int {
		r.step(dtdispatch.PeerMessageUnreadable{From: from, Kind: kind, Detail: "number of fields"})
		return len(r.logged("peer_message_unreadable"))
	}
	r.step(dtdispatch.PeerMessageUnreadable{From: "r2", Kind: "status", Detail: "number of fields", IsClosed: true})
	r.Expect(r.logged("peer_message_unreadable")).To(ConsistOf(And(
		HaveField("Subject", "r2"), HaveField("Kind", "status"), HaveField("Outcome", "closed"), HaveField("Detail", "number of fields"),
	)))
	r.Expect(unreadable("r2", "status")).To(BeZero())
	r.Expect(unreadable("r2", "server_list")).To(Equal(1), "another kind")
	r.Expect(unreadable("r3", "status")).To(Equal(1), "another peer")
	r.advance(59 * time.Second)
	r.Expect(unreadable("r2", "status")).To(BeZero())
	r.advance(time.Second)
	r.Expect(unreadable("r2", "status")).To(Equal(1))
	lines := 0
	for i := range 1000 {
		lines += unreadable(fmt.Sprintf("10.0.0.%d", i), "unknown")
	}
	r.Expect(lines).To(BeNumerically("<", 260))
}

// TestListWithoutVersionsTakenForServersWithoutVersion guards against streams that go on at servers of another version: the router
// has the list from one whose build knows no versions.
func TestListWithoutVersionsTakenForServersWithoutVersion(t *testing.T) {
	r := newRouter(t, 2)
	for _, server := range r.state.Roster.Servers {
		server.Version = "v1"
	}
	status := func(start int64) dtdispatch.PeerMessageReceived {
		return dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: start, RosterRevision: 9, RosterHash: 77}}
	}
	requests := func(start int64) int {
		r.advance(time.Second)
		r.step(status(start))
		n := 0
		for _, sent := range effectsOf[dtdispatch.SendToPeers](r.effects) {
			if request, ok := sent.Message.(*dtdispatch.SyncRequest); ok && request.WantsRoster {
				n++
			}
		}
		return n
	}
	r.Expect(requests(5)).To(Equal(1))
	list := testServers(3)
	for i := range list {
		list[i].LacksVersion = true
	}
	before := r.state.Roster.Hash
	lines := 0
	for _, message := range []dtdispatch.PeerMessage{
		&dtdispatch.RosterReply{Servers: list, Revision: 9},
		&dtdispatch.RosterReply{Servers: list, Revision: 9},
		&dtdispatch.RosterDelta{BaseHash: before, Revision: 9, Changed: list},
	} {
		r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: message})
		lines += len(r.logged("peer_list_ignored"))
		r.Expect(r.state.Roster.Hash).To(Equal(before))
		r.Expect(r.state.Roster.Revision).To(BeEquivalentTo(1))
	}
	r.Expect(lines).To(Equal(1))
	r.Expect(requests(5)).To(BeZero(), "its answer could not be used either")
	r.Expect(requests(6)).To(Equal(1), "another build may have started")
}

// TestListsResetTheLinksToBuildsWithoutVersions guards against statuses that a router of a build without versions loses: it closes
// the connection at each list of servers with versions, and asks for one each 0.5 s.
func TestListsResetTheLinksToBuildsWithoutVersions(t *testing.T) {
	r := newRouter(t, 2)
	hear := func(name string, m dtdispatch.PeerMessage) []dtdispatch.SendToPeers {
		r.step(dtdispatch.PeerMessageReceived{From: name, Message: m})
		return effectsOf[dtdispatch.SendToPeers](r.effects)
	}
	status := func(name string) { hear(name, &dtdispatch.PeerStatus{From: name, Domain: "d0", Start: 5}) }
	ask := func(name string) []dtdispatch.SendToPeers {
		r.advance(time.Second)
		status("r2")
		status("r3")
		return hear(name, &dtdispatch.SyncRequest{From: name, WantsRoster: true, WantsConfig: true})
	}
	list := func(sent []dtdispatch.SendToPeers) (to []string) {
		for _, message := range sent {
			switch message.Message.(type) {
			case *dtdispatch.RosterReply, *dtdispatch.RosterDelta:
				to = append(to, message.To)
			}
		}
		return to
	}
	status("r2")
	status("r3")
	r.Expect(list(ask("r2"))).To(Equal([]string{"r2"}), "nothing is known of its build")
	hear("r2", &dtdispatch.RosterReply{Servers: []dtdispatch.Server{{ID: "s1", LacksVersion: true}}})
	sent := ask("r2")
	r.Expect(list(sent)).To(BeEmpty())
	r.Expect(sent).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&dtdispatch.ConfigReply{}))), "which it can read")
	r.Expect(list(ask("r3"))).To(Equal([]string{"r3"}))
	r.listServers(2, testServers(3)...)
	r.Expect(list(effectsOf[dtdispatch.SendToPeers](r.effects))).To(Equal([]string{"r3"}))
}

// TestBuildWithoutVersionsIsFoundOnceItsListIsRead guards against links that are reset without end: where the store has come back from
// a copy, revisions of 63a836f are lower, so that its lists are never asked for.
func TestBuildWithoutVersionsIsFoundOnceItsListIsRead(t *testing.T) {
	r := newRouter(t, 0)
	r.listServers(3,
		dtdispatch.Server{ID: "s1", Service: "a", Address: "10.0.0.1:80", Domain: "d0", Slots: 4, Start: 7, Version: "v1"},
		dtdispatch.Server{ID: "s2", Service: "a", Address: "10.0.0.2:80", Domain: "d1", Slots: 4, Start: 8, Draining: true, Version: "v2"},
		dtdispatch.Server{ID: "s3", Service: "b", Address: "10.0.0.3:80", Domain: "d1", Slots: 4, Start: 9, ColdFor: time.Second},
	)
	const hashOf63a836f = 0xaa77f9b200ea0ab2 // Of the same list, by its code.
	r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: 5, RosterHash: hashOf63a836f}})
	r.Expect(r.logged("peer_list_ignored")).To(ConsistOf(HaveField("Subject", "r2")))
	r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.SyncRequest{From: "r2", WantsRoster: true}})
	r.Expect(effectsOf[dtdispatch.SendToPeers](r.effects)).To(BeEmpty())
	r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.PeerStatus{From: "r2", Domain: "d0", Start: 6, RosterHash: r.state.Roster.Hash}})
	r.step(dtdispatch.PeerMessageReceived{From: "r2", Message: &dtdispatch.SyncRequest{From: "r2", WantsRoster: true}})
	r.Expect(effectsOf[dtdispatch.SendToPeers](r.effects)).To(HaveLen(1), "it runs another build")
}
