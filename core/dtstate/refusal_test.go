package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Ten thousand refusals a second for a minute, while the platform is down, stay in a
// bounded number of pages, and every one of them is still counted.
func TestFloodOfRefusalsStaysBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 1, 4, 1, now)
	const seconds, rate, chunk = 60, 10_000, 100
	puts := 0
	for range seconds * rate / chunk {
		for i := range chunk {
			reason := dtstate.ReasonUnauthorized
			if i%3 == 0 {
				reason = dtstate.ReasonOverload
			}
			s.Step(dtstate.RefusalReported{Request: "r", Account: "a", Reason: reason}, now)
		}
		now = now.Add(chunk * time.Second / rate)
		for _, e := range append([]dtstate.Effect(nil), s.Step(dtstate.TimerFired{}, now)...) {
			if c, ok := e.(dtstate.PlatformCall); ok {
				if c.Op == dtstate.PlatformPut && c.Value.Refusals != nil {
					puts++
				}
				s.Step(dtstate.PlatformCallCompleted{CallID: c.CallID, Status: dtstate.PlatformOutcomeUnknown}, now)
			}
		}
	}
	l := &s.Ledger
	g.Expect(l.LastNumber).To(BeEquivalentTo(seconds * rate))
	g.Expect(l.Unstored()).To(BeEquivalentTo(seconds * rate))
	g.Expect(len(l.Sealed)).To(BeNumerically("<=", 65))
	g.Expect(len(l.Replicas) + len(l.Batch)).To(BeNumerically("<=", 512+64))
	g.Expect(puts).To(BeNumerically("<=", seconds+1))
	counted := uint64(0)
	for _, p := range append(append([]dtstate.RefusalPage(nil), l.Sealed...), l.Open) {
		counted += uint64(len(p.Items))
		for _, c := range p.Counts {
			counted += c.Count
		}
	}
	g.Expect(counted).To(BeEquivalentTo(seconds * rate))
}

// A refusal is sent to two collectors in the same step as the Refuse effect, and before it.
func TestRefusalIsReplicatedBeforeReply(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(2, 6, 4, 1, now)
	replicas, refusedAt := 0, -1
	for i, e := range s.Step(dtstate.RefusalReported{Request: "r", Account: "a", Reason: dtstate.ReasonUnauthorized}, now) {
		switch e := e.(type) {
		case dtstate.SendPeer:
			if _, ok := e.Message.(*dtstate.RefusalReplica); ok && refusedAt < 0 {
				replicas++
			}
		case dtstate.Refuse:
			refusedAt = i
		}
	}
	g.Expect(refusedAt).To(BeNumerically(">=", 0))
	g.Expect(replicas).To(Equal(2))
}
