package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestUnansweredListRequestIsRepeatedLate guards against a list of servers that stays old at a router which can't reach the store: the
// router that it asks for a newer one has just replied to another and drops the request, and the next is sent with a later status only.
func TestUnansweredListRequestIsRepeatedLate(t *testing.T) {
	if !*knownRedFlag {
		t.Skip("listed in KNOWN-RED.txt")
	}
	worst := time.Duration(0)
	for lead := 50 * time.Millisecond; lead < 4*time.Second; lead += 150 * time.Millisecond {
		f, names := newFleetOfDomains(t, 6)
		f.run(8*time.Second, names...)
		cutOff := names[len(names)-1]
		f.rejected = map[string]bool{cutOff: true}
		f.run(lead, names...)
		f.store = serversOfVersions("v2", "v1", "v1", "v1")
		f.revision++
		f.dropsRosters = true
		f.run(100*time.Millisecond, names...)
		f.dropsRosters = false
		waited := time.Duration(0)
		for f.routers[cutOff].versionOf("s0") != "v2" && waited < 5*time.Second {
			f.run(50*time.Millisecond, names...)
			waited += 50 * time.Millisecond
		}
		worst = max(worst, waited)
	}
	const repeated = 500 * time.Millisecond
	NewWithT(t).Expect(worst).To(BeNumerically("<=", 2*repeated), "one request that is not answered, and the next")
}
