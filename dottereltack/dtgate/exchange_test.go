package dtgate

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// A refusal that the reducer has recorded before it ended must be sent, although the gateway closes.
func TestRecordedRefusalIsSentThoughTheGatewayCloses(t *testing.T) {
	g := NewWithT(t)
	gateway := &Gateway{closing: make(chan struct{})}
	close(gateway.closing)
	for range 100 { // A select picks one of two ready cases at random.
		x := &exchange{gateway: gateway, effects: make(chan dtstate.Effect, 1)}
		x.effects <- dtstate.Refuse{Refusal: dtstate.Refusal{Number: 1}}
		p, ended := x.awaitEffect()
		g.Expect(ended).To(BeTrue())
		g.Expect(p.refusal).NotTo(BeNil())
	}
}
