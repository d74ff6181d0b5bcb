package dtstate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// A router that takes over a server must not grant slots before it knows how many of its predecessor's requests
// run there, or the server gets more than its cap.
func TestOwnerGrantsNothingBeforeTheFirstReport(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 1, 1, 1, now)
	const reported = 63 // One below the cap of the group.
	for i := range 4 {
		s.Step(dtstate.RequestArrived{Request: dtstate.RequestID(fmt.Sprint("q", i)), Account: "a", Group: "g-0", Chat: uint64(i), Digest: uint64(i + 1), Deadline: now.Add(time.Minute)}, now)
	}
	s.Step(dtstate.ProbeCompleted{Server: "s-0", Result: dtstate.ProbeAnswered, Report: dtstate.ServerReport{Start: 1, Running: reported}}, now)
	g.Expect(reported + len(s.Owner.Slots)).To(BeNumerically("<=", 64))
}
