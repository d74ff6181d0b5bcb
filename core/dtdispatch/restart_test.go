package dtdispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestRestartedRouterTakesBackNothing guards against a router that has restarted and learns of a key
// that has been withdrawn, or a server that has left, from a peer that is behind.
func TestRestartedRouterTakesBackNothing(t *testing.T) {
	current := testConfig(5)
	delete(current.AccountsByKey, "k1")
	fromStore := func(r *router) {
		r.step(dtdispatch.ConfigReceived{Config: current})
		r.step(dtdispatch.OperatorKeysRead{})
		r.listServers(9, testServers(2)...)
	}
	fromPeer := func(r *router) {
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{
			From: "r2", Domain: "d0", Start: 1, RosterRevision: 8, RosterHash: 1, RosterAgeMs: 10, IsRosterStable: true,
			OperatorNews: dtdispatch.OperatorNews{ConfigVersion: 4, AgeMs: 1},
		}})
		r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.RosterReply{Servers: testServers(3), Revision: 8, AgeMs: 10}})
		r.step(dtdispatch.ConfigReceived{Config: testConfig(4)})
	}
	for name, order := range map[string][]func(*router){
		"the store first":    {fromStore, fromPeer},
		"the peer first":     {fromPeer, fromStore},
		"the peer once more": {fromPeer, fromStore, fromPeer},
	} {
		t.Run(name, func(t *testing.T) {
			r := newEmptyRouter(t, "r1")
			for _, learn := range order {
				learn(r)
			}
			r.sendRequest("/once/x")
			r.Expect(r.onlyRefusal().Status).To(Equal(401))
			r.Expect(r.state.Roster.Servers).To(HaveLen(2))
		})
	}
}
