package dtgate_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtgate"
	"github.com/dottereltack/dottereltack/dottereltack/dtserver"
)

// oneAttempt stands for a reducer that sends each request to one engine, and refuses it if the response is cut.
type oneAttempt struct {
	gateway *dtgate.Gateway
	address string
	offsets chan uint32 // Of the responses that were cut.
}

func (r *oneAttempt) Offer(ev dtstate.Event) bool {
	arrived, ok := ev.(dtstate.RequestArrived)
	r.gateway.Deliver(arrived.Request, dtstate.Dispatch{Request: arrived.Request, Attempt: 1, Server: "e", Address: r.address, SendBefore: time.Now().Add(time.Minute)})
	return ok
}

func (r *oneAttempt) Post(ev dtstate.Event) {
	if e, ok := ev.(dtstate.AttemptEnded); ok && e.Outcome == dtstate.OutcomeCut {
		r.offsets <- e.Offset
		r.gateway.Deliver(e.Request, dtstate.Refuse{Refusal: dtstate.Refusal{Request: e.Request, Reason: dtstate.ReasonAnswerCut}})
	}
}

// TestTextOfACollectedStreamIsPartOfTheBudget guards against a process that exceeds its memory by the text of streams whose callers ask
// for one response, which it holds until the stream ends.
func TestTextOfACollectedStreamIsPartOfTheBudget(t *testing.T) {
	const tokenBytes, budgetBytes, heldBytes = 8 << 10, 4 << 20, 1 << 20 // Three copies of each byte are counted.
	for _, tc := range []struct {
		tokens  int
		fits    bool
		message string
	}{
		{16, true, "a response of 128 KiB"},
		{512, false, "a response of 4 MiB"},
	} {
		g := NewWithT(t)
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range tc.tokens {
				_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}],\"token_index\":%d,\"token_total\":%d}\n\n", strings.Repeat("t", tokenBytes), i, tc.tokens)
			}
			_, _ = io.WriteString(w, "data: "+dtapi.StreamDoneData+"\n\n")
		}))
		t.Cleanup(engine.Close)
		budget := dtbudget.New(dtintake.Limits{Bytes: budgetBytes, MaxConns: 16})
		reducer := &oneAttempt{address: engine.Listener.Addr().String(), offsets: make(chan uint32, 1)}
		gateway := dtgate.New(dtgate.Settings{Router: "r", MaxBodyBytes: 1 << 20, Budget: budget}, reducer, dtserver.New("127.0.0.1:0", nil), recorder{}, recorder{})
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
		req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+dtapi.PathChat, strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer key")
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		g.Expect(err).NotTo(HaveOccurred(), tc.message)
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred(), tc.message)
		g.Expect(resp.Body.Close()).To(Succeed())
		if tc.fits {
			var chat dtapi.ChatResponse
			g.Expect(json.Unmarshal(body, &chat)).To(Succeed(), tc.message)
			g.Expect(chat.Choices[0].Message.Content).To(HaveLen(tc.tokens*tokenBytes), tc.message)
		} else {
			g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), tc.message)
			g.Expect(string(body)).To(ContainSubstring("answer_cut"), tc.message)
			g.Expect(<-reducer.offsets).To(BeEquivalentTo(heldBytes/tokenBytes), "the events whose text was held")
		}
		g.Eventually(budget.Usage, "5s").Should(Equal(dtbudget.Usage{}), tc.message)
	}
}
