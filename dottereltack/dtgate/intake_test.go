package dtgate_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtgate"
)

// refusals stands for a reducer that refuses what the gateway reports as refused.
type refusals struct {
	eventQueue
	gateway *dtgate.Gateway
}

func (r *refusals) Post(ev dtstate.Event) {
	if e, ok := ev.(dtstate.RefusalReported); ok {
		r.gateway.Deliver(e.Request, dtstate.Refuse{Refusal: dtstate.Refusal{Request: e.Request, Reason: e.Reason}})
	}
}

// TestCrowdAtTheOwnInterface guards against a process that runs out of memory or connections, or refuses ordinary callers,
// while many clients hold bodies that they do not end.
func TestCrowdAtTheOwnInterface(t *testing.T) {
	const crowd, bodyBytes, budgetBytes, maxConns = 40, 1 << 20, 8 << 20, 16
	g := NewWithT(t)
	budget := dtbudget.New(dtintake.Limits{Bytes: budgetBytes, MaxConns: maxConns})
	ln := serveWithBudget(t, budget)
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range crowd {
		c, err := net.Dial("tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
		_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		_, _ = c.Write(bytes.Repeat([]byte("b"), bodyBytes-1))
		usage := budget.Usage()
		g.Expect(usage.Bytes).To(BeNumerically("<=", budgetBytes))
		g.Expect(usage.Conns).To(BeNumerically("<=", maxConns+maxConns/8+1))
	}
	g.Eventually(func() string { return firstLine(ln.Addr().String()) }, "5s", "50ms").Should(HavePrefix("HTTP/1.1 200"), "an ordinary request beside the crowd")
	for _, c := range conns {
		_ = c.Close()
	}
	g.Eventually(budget.Usage, "5s").Should(Equal(dtbudget.Usage{}), "nothing is counted once all have left")
}

// serveWithBudget has a gateway serve callers with a budget, and refuse whatever its reducer is asked to.
func serveWithBudget(t *testing.T, budget *dtbudget.Budget) net.Listener {
	t.Helper()
	events := &refusals{}
	gateway := dtgate.New(dtgate.Settings{Router: "r", MaxBodyBytes: 4 << 20, Budget: budget}, events, nil, recorder{}, recorder{})
	events.gateway = gateway
	digest := sha256.Sum256([]byte("key"))
	gateway.Configure(&dtconfig.Site{Accounts: map[string]dtconfig.Account{"a": {KeyDigests: []string{hex.EncodeToString(digest[:])}}}})
	gateway.App().Get("/ready", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusOK) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	gateway.Serve(ln)
	t.Cleanup(func() { gateway.Stop(time.Second) })
	return ln
}

// TestBodyThatIsNotReadIsRefused guards against connections that end without a word where there is no room for the body of a request, or it is
// over the limit, and against a place that is refused without one.
func TestBodyThatIsNotReadIsRefused(t *testing.T) {
	const maxBodyBytes = 4 << 20
	for name, tc := range map[string]struct {
		framing    string
		bodyBytes  int
		maxConns   int
		status     string
		retryAfter bool
	}{
		"no room, announced":       {"Content-Length: 3145728\r\n\r\n", 3 << 20, 4, "429", true},
		"no room, chunked":         {"Transfer-Encoding: chunked\r\n\r\n300000\r\n", 3 << 20, 4, "429", true},
		"over the limit":           {"Content-Length: 4194305\r\n\r\n", 1, 4, "413", false},
		"over the limit, chunked":  {"Transfer-Encoding: chunked\r\n\r\n400002\r\n", maxBodyBytes + 1, 4, "413", false},
		"no place":                 {"", 0, 0, "503", true},
		"a malformed chunk":        {"Transfer-Encoding: chunked\r\n\r\n1\r\nbb\r\n", 0, 4, "400", false},
		"an overlong chunk length": {"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", 0, 4, "400", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bytesOfBudget := int64(2 << 20)
			if tc.bodyBytes > maxBodyBytes {
				bytesOfBudget = 64 << 20
			}
			budget := dtbudget.New(dtintake.Limits{Bytes: bytesOfBudget, MaxConns: tc.maxConns})
			c, err := net.Dial("tcp", serveWithBudget(t, budget).Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if tc.framing != "" {
				_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+tc.framing)
			}
			_, err = c.Write(bytes.Repeat([]byte("b"), tc.bodyBytes))
			g.Expect(err).NotTo(HaveOccurred(), "the caller can send all of it before it reads")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.Status).To(HavePrefix(tc.status))
			g.Expect(resp.Header.Get("Retry-After") != "").To(Equal(tc.retryAfter))
		})
	}
}

// firstLine sends a request and returns the begin of the response, or the error.
func firstLine(address string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, line); err != nil {
		return err.Error()
	}
	return string(line)
}
