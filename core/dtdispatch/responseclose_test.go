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
		isPaused bool
		checked  dtdispatch.ServerChecked
		want     dtdispatch.Effect
	}{
		"the server lives":                     {false, dtdispatch.ServerChecked{Alive: true}, dtdispatch.CompleteResponse{Number: 1}},
		"the server does not accept in time":   {false, dtdispatch.ServerChecked{}, dtdispatch.CompleteResponse{Number: 1}},
		"the server is gone":                   {false, dtdispatch.ServerChecked{Refused: true}, dtdispatch.EndAttempt{Number: 1}},
		"the router has just had a long pause": {true, dtdispatch.ServerChecked{Alive: true}, dtdispatch.EndAttempt{Number: 1}},
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
				tc.checked.Server, tc.checked.Number = send.Server, send.Number
				effects = r.step(tc.checked)
			}
			r.Expect(effects).To(ContainElement(tc.want))
			r.Expect(r.state.Requests).To(HaveLen(1), "until the relay has ended the attempt")
		})
	}
}
