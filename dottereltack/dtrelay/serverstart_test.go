package dtrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// namingServer answers status requests with a text, or not at all if it is empty, and others as a sound server does.
type namingServer struct {
	status   string
	mu       sync.Mutex // Guards the next two fields.
	asked    int
	requests int
}

func (s *namingServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		isStatus := req.URL.Path == "/status"
		s.mu.Lock()
		if isStatus {
			s.asked++
		} else {
			s.requests++
		}
		s.mu.Unlock()
		switch {
		case !isStatus:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
		case s.status == "close":
			return
		case s.status != "":
			_, _ = io.WriteString(c, s.status)
			if strings.Contains(s.status, "Connection: close") {
				return
			}
		}
	}
}

// TestRequestIsSentToAnIncarnationThatIsNotListed guards against streams of two versions: the process behind a new connection has started
// after the list was read, and runs the request before anybody knows. A request that has not been sent must not count as one that may
// have run.
func TestRequestIsSentToAnIncarnationThatIsNotListed(t *testing.T) {
	closing := strings.Replace(statusOf(200, "s1", 7), "\r\n", "\r\nConnection: close\r\n", 1)
	for name, tc := range map[string]struct {
		status          string
		want            dtdispatch.Outcome
		start           int64
		asked, requests int // In two attempts.
	}{
		"it names the listed start":              {statusOf(200, "s1", 7), dtdispatch.OutcomeCompleted, 7, 1, 2},
		"it names another start":                 {statusOf(200, "s1", 8), dtdispatch.OutcomeRestarted, 8, 2, 0},
		"it names no start":                      {statusOf(200, "s1", 0), dtdispatch.OutcomeCompleted, 0, 1, 2},
		"it does not know the path":              {statusOf(404, "", 0), dtdispatch.OutcomeCompleted, 0, 1, 2},
		"it is another server":                   {statusOf(421, "", 0), dtdispatch.OutcomeWrongServer, 0, 2, 0},
		"it names the start and closes":          {closing, dtdispatch.OutcomeCompleted, 0, 1, 2},
		"it closes the connection":               {"close", dtdispatch.OutcomeConnectionLost, 0, 2, 0},
		"it is silent":                           {"", dtdispatch.OutcomeExpired, 0, 2, 0},
		"it responds late to an earlier request": {"HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: 1\r\n\r\n9" + statusOf(200, "s1", 8), dtdispatch.OutcomeRestarted, 8, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTunnelPlay(t, false, true, "")
			server := &namingServer{status: tc.status}
			p.reducer.address, p.reducer.status = serveStatus(t, server.serve), "/status"
			p.reducer.setVia("")
			for _, id := range []string{"a", "b"} {
				result := p.call(id).result
				p.Expect(result.Outcome).To(Equal(tc.want))
				p.Expect(result.ServerStart).To(Equal(tc.start))
				p.Expect(result.NotSent).To(Equal(tc.want != dtdispatch.OutcomeCompleted))
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			p.Expect([]int{server.asked, server.requests}).To(Equal([]int{tc.asked, tc.requests}))
		})
	}
}
