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

// output keeps log lines.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// cause returns what the lines so far tell of a request.
func (o *output) cause(request string) func() string {
	return func() string {
		o.mu.Lock()
		defer o.mu.Unlock()
		lines, err := dtexplain.Read(strings.NewReader(o.text.String()))
		if err != nil {
			return err.Error()
		}
		story := dtexplain.Tell(lines, request)
		return story.Cause
	}
}

// TestExplain plays failures over sockets and asks for their causes by the log alone.
func TestExplain(t *testing.T) {
	cut := func(_ string, _ *http.Request, c net.Conn) { _ = c.Close() }
	cases := map[string]struct {
		path   string
		answer func(id string, req *http.Request, c net.Conn)
		out    bool // The servers' failure domain is out of service.
		cause  string
	}{
		"a lost server": {"/once/x", cut, false, "may have run"},
		"a broken stream": {"/live/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, streamHead(id)+chunk("id: 1\n\n"))
			_ = c.Close()
		}, false, "broke off an answer that had begun"},
		"a silent server": {"/once/x", func(string, *http.Request, net.Conn) { time.Sleep(3 * time.Second) }, false, "time was over"},
		"a server's failure": {"/once/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Bad\r\nX-Id: "+id+"\r\nX-Signed: 7\r\nContent-Length: 0\r\n\r\n")
		}, false, "failure of its own"},
		"a refusing server": {"/once/x", func(id string, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: "+id+"\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}, false, "did not run"},
		"no server": {"/once/x", cut, true, "no server of the service"},
		"no route":  {"/none/x", cut, false, "no such route"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			logs := &output{}
			n := newLoggingNode(t, logs, newServer(t, tc.answer))
			if tc.out {
				n.Loop.Post(dtdispatch.OutOfServiceListed{Domains: []string{"d"}, Revision: 2})
				time.Sleep(50 * time.Millisecond)
			}
			c := n.call()
			c.send(tc.path, "q1", "")
			_, _ = c.answer() // What the caller gets is tested elsewhere.
			n.Eventually(logs.cause("q1"), "2s").Should(ContainSubstring(tc.cause))
		})
	}
}
