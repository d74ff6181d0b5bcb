package dtgate_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtgate"
	"github.com/dottereltack/dottereltack/dottereltack/dtserver"
)

// waitingEngine stands for a reducer that sends each request to one engine once it is told to, and records how attempts end.
type waitingEngine struct {
	oneAttempt
	dispatch chan struct{}
	outcomes chan dtstate.Outcome
}

func (r *waitingEngine) Offer(ev dtstate.Event) bool {
	go func() {
		<-r.dispatch
		r.oneAttempt.Offer(ev)
	}()
	return true
}

func (r *waitingEngine) Post(ev dtstate.Event) {
	if e, ok := ev.(dtstate.AttemptEnded); ok {
		r.outcomes <- e.Outcome
	}
}

// TestEngineWorksOnForACallerThatHasLeft guards against an engine that is not told that its caller has left, or gets a request after
// that, for the time in which nothing is written to the caller.
func TestEngineWorksOnForACallerThatHasLeft(t *testing.T) {
	const maxWork = 500 * time.Millisecond
	for name, tc := range map[string]struct {
		stream, silent, queued bool
	}{
		"a response that is collected":   {},
		"a stream that has not begun":    {stream: true, silent: true},
		"a stream that pauses":           {stream: true},
		"a request that has to wait":     {queued: true},
		"a stream that is to wait first": {stream: true, queued: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			working, endedAt := make(chan struct{}, 1), make(chan time.Time, 1)
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				if !tc.silent {
					_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}],\"token_index\":0,\"token_total\":2}\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				working <- struct{}{}
				select {
				case <-req.Context().Done():
				case <-time.After(2 * time.Second):
				}
				endedAt <- time.Now()
			}))
			t.Cleanup(engine.Close)
			reducer := &waitingEngine{oneAttempt: oneAttempt{address: engine.Listener.Addr().String()}, dispatch: make(chan struct{}), outcomes: make(chan dtstate.Outcome, 4)}
			gateway := dtgate.New(dtgate.Settings{Router: "r", MaxBodyBytes: 1 << 20}, reducer, dtserver.New("127.0.0.1:0", nil), recorder{}, recorder{})
			reducer.gateway = gateway
			digest := sha256.Sum256([]byte("key"))
			gateway.Configure(&dtconfig.Site{
				Accounts: map[string]dtconfig.Account{"a": {KeyDigests: []string{hex.EncodeToString(digest[:])}}},
				Groups:   map[string]dtconfig.Group{"m": {Kind: dtconfig.KindEngine}}, Limits: dtconfig.Limits{FirstByteTimeoutMs: 10_000},
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			gateway.Serve(ln)
			t.Cleanup(func() { gateway.Stop(time.Second) })
			c, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			body := fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":"x"}]}`, tc.stream)
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", dtapi.PathChat, len(body), body)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			if !tc.queued {
				close(reducer.dispatch)
				g.Eventually(working, "2s").Should(Receive())
			}
			leftAt := time.Now()
			g.Expect(c.Close()).To(Succeed())
			if tc.queued {
				time.Sleep(maxWork)
				close(reducer.dispatch)
				g.Consistently(working, "300ms").ShouldNot(Receive())
			} else {
				var noticedAt time.Time
				g.Eventually(endedAt, "4s").Should(Receive(&noticedAt))
				g.Expect(noticedAt.Sub(leftAt)).To(BeNumerically("<", maxWork))
			}
			g.Eventually(reducer.outcomes, "2s").Should(Receive(Equal(dtstate.OutcomeCallerGone)))
		})
	}
}
