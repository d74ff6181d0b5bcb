package dtrelay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// doubtingReducer has no proof of the end of any response.
type doubtingReducer struct{ *tunnelReducer }

func (q *doubtingReducer) Offer(ev dtdispatch.Event) bool {
	q.Post(ev)
	return true
}

func (q *doubtingReducer) Post(ev dtdispatch.Event) {
	if closed, ok := ev.(dtdispatch.ResponseClosed); ok {
		q.relay.Deliver(closed.Number, dtdispatch.EndAttempt{Number: closed.Number, ServerGone: true})
		return
	}
	q.tunnelReducer.Post(ev)
}

// TestFailureThatIsBrokenOffLooksComplete guards against a failure of a killed server that reaches the caller as whole: it has
// neither a length nor chunks and ends with its connection.
func TestFailureThatIsBrokenOffLooksComplete(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "500 Oops"} {
		t.Run(status, func(t *testing.T) {
			q := &doubtingReducer{&tunnelReducer{ended: make(chan dtdispatch.AttemptEnded, 4)}}
			q.address = serveStatus(t, func(c net.Conn) {
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\nhal")
				}
			})
			relay, err := New("127.0.0.1:0", tunnelDialect{}, q)
			p := &tunnelPlay{WithT: NewWithT(t), t: t, reducer: q.tunnelReducer, relay: relay}
			p.Expect(err).NotTo(HaveOccurred())
			q.relay = relay
			relay.Start()
			t.Cleanup(relay.Close)
			result := p.call("a").result
			p.Expect(result.Framing).To(Equal(dtdispatch.FramingClose))
			p.Expect(result.Outcome).To(Equal(dtdispatch.OutcomeConnectionLost))
		})
	}
}
