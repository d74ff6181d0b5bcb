package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestServerIsTakenForCrashedAfterAShortPause guards against crashes of sound servers: the router stood still for a second or more
// while it checked one directly, which takes half a second at the most, and the time for that had passed before it could connect.
func TestServerIsTakenForCrashedAfterAShortPause(t *testing.T) {
	r := newAskingRouter(t, 1, "/status")
	n := r.sendRequest("/live/x")
	digest := r.state.Requests[n].Digest
	r.loseStream(n, dtdispatch.ProgressEvents)
	checks := effectsOf[dtdispatch.CheckServer](r.effects)
	r.Expect(checks).To(HaveLen(1))
	r.now = r.now.Add(1500 * time.Millisecond)
	r.Expect(r.now.Sub(checks[0].Deadline)).To(Equal(time.Second), "late")
	r.step(dtdispatch.ServerChecked{Server: "s0"})
	r.Expect(r.state.Crashes.Count(digest)).To(Equal(0))
}
