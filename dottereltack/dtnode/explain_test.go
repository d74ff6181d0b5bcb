package dtnode_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtexplain"
)

type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// count returns how many times text has been logged.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// cause returns a function that returns the cause of a request's outcome according to the
// lines written so far.
func (l *logBuffer) cause(request string) func() string {
	return func() string {
		l.mu.Lock()
		defer l.mu.Unlock()
		lines, err := dtexplain.Read(strings.NewReader(l.text.String()))
		if err != nil {
			return err.Error()
		}
		explanation := dtexplain.Explain(lines, request)
		return explanation.Cause
	}
}

// TestExplain checks that the log alone is enough to explain failures over real sockets.
func TestExplain(t *testing.T) {
	cut := func(_ string, _ *http.Request, c net.Conn) { _ = c.Close() }
	cases := map[string]struct {
		path      string
		respond   func(id string, req *http.Request, c net.Conn)
		domainOut bool // The servers' failure domain is out of service.
		cause     string
	}{
		"a lost server": {"/once/x", cut, false, "may have run"},
		"a broken stream": {"/live/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, streamHead(id)+chunk("id: 1\n\n"))
			_ = c.Close()
		}, false, "broke off a response that had started"},
		"a silent server": {"/once/x", func(string, *http.Request, net.Conn) { time.Sleep(3 * time.Second) }, false, "timed out before the server responded"},
		"an error of the server": {"/once/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Bad\r\nX-Id: "+id+"\r\nX-Signed: 7\r\nContent-Length: 0\r\n\r\n")
		}, false, "an error of its own"},
		"a refusing server": {"/once/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: "+id+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}, false, "did not run"},
		"no server": {"/once/x", cut, true, "no server of the service"},
		"no route":  {"/none/x", cut, false, "no matching route"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			logs := &logBuffer{}
			n := newLoggingNode(t, logs, newServer(t, tc.respond))
			if tc.domainOut {
				n.Loop.Post(dtdispatch.DomainsOutOfServiceListed{Domains: []string{"d"}, Revision: 2})
				time.Sleep(50 * time.Millisecond)
			}
			c := n.dial()
			c.send(tc.path, "q1", "")
			_, _ = c.readResponse() // Other tests check the response.
			n.Eventually(logs.cause("q1"), "2s").Should(ContainSubstring(tc.cause))
		})
	}
}
