package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestResponseOfAServerThatIsGoneLooksComplete covers the end of a response that ends with its connection: whether it is
// complete depends on whether its server still accepts connections, which says nothing after a pause of the router.
func TestResponseOfAServerThatIsGoneLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		isPaused, isAlive bool
		want              dtdispatch.Effect
	}{
		"the server lives":                     {false, true, dtdispatch.CompleteResponse{Number: 1}},
		"the server is gone":                   {false, false, dtdispatch.EndAttempt{Number: 1}},
		"the router has just had a long pause": {true, true, dtdispatch.EndAttempt{Number: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 2)
			r.sendRequest("/stream/x")
			send := r.onlySend()
			r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt})
			if tc.isPaused {
				r.step(dtdispatch.Paused{Gap: 3 * time.Second})
			}
			effects := r.step(dtdispatch.ResponseClosed{Number: send.Number, Attempt: send.Attempt})
			if !tc.isPaused {
				r.Expect(effects).To(ContainElement(dtdispatch.CheckServer{Server: send.Server, Number: send.Number, Address: send.Address}))
				effects = r.step(dtdispatch.ServerChecked{Server: send.Server, Number: send.Number, Alive: tc.isAlive})
			}
			r.Expect(effects).To(ContainElement(tc.want))
			r.Expect(r.state.Requests).To(HaveLen(1), "until the relay has ended the attempt")
		})
	}
}
