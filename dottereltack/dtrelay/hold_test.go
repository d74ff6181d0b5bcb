package dtrelay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestHeldStreamThatIsEndedIsNotForwarded guards against events of a server that has been found to run another version.
func TestHeldStreamThatIsEndedIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	x := &exchange{effects: make(chan dtdispatch.Effect, 1), ctx: t.Context()}
	a := &attempt{exchange: x, send: &dtdispatch.SendRequest{HoldStream: true}}
	x.effects <- dtdispatch.EndAttempt{}
	g.Expect(a.awaitForward()).To(MatchError(errAttemptEnded))
	x.effects <- dtdispatch.ForwardStream{}
	g.Expect(a.awaitForward()).To(Succeed())
}
