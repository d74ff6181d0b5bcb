package dtrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestStatusThatIsSentTwiceSpoilsARequest guards against a request whose response is lost, since its connection has had a status
// request, and the server sends the answer to that once more. Such an answer has no ID, so that it looks like one that does not
// match; responses to earlier requests of callers are skipped.
func TestStatusThatIsSentTwiceSpoilsARequest(t *testing.T) {
	for name, isAskedBefore := range map[string]bool{"the server is asked for its start": false, "the connection was used for a check": true} {
		t.Run(name, func(t *testing.T) {
			p := newTunnelPlay(t, false, true, "")
			p.reducer.address = serveStatus(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, statusOf(200, "s1", 7))
					if req.URL.Path != "/status" { // After the late answer.
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
					}
				}
			})
			p.reducer.setVia("")
			if isAskedBefore {
				checked := p.relay.Check(&dtdispatch.CheckServer{
					Server: "s1", Start: 7, Address: p.reducer.address, StatusPath: "/status", MaxIdleConns: 4, Deadline: time.Now().Add(time.Second),
				})
				p.Expect(checked.Answered).To(BeTrue())
			} else {
				p.reducer.status = "/status"
			}
			called := p.call("a")
			p.Expect(called.result.Outcome).To(Equal(dtdispatch.OutcomeCompleted), called.result.Detail)
			p.Expect(called.body).To(Equal("ok"))
		})
	}
}
