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
