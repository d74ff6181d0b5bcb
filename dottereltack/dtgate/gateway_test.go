package dtgate_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtgate"
)

// eventQueue passes on the requests that callers have sent.
type eventQueue chan dtstate.RequestArrived

func (q eventQueue) Offer(ev dtstate.Event) bool {
	arrived, ok := ev.(dtstate.RequestArrived)
	q <- arrived
	return ok
}

func (eventQueue) Post(dtstate.Event) {}

type recorder struct{}

func (recorder) ObserveFirstByte(string, time.Duration) {}

func (recorder) CountRequest(string, string) {}

func (recorder) CountRefusal(string, string) {}

func (recorder) RecordFailure(string, string, dtstate.RequestID, error) {}

// testGateway is a gateway whose requests wait until the test delivers an effect.
type testGateway struct {
	*WithT
	*dtgate.Gateway
	arrived eventQueue
	address string
}

func newGateway(t *testing.T) *testGateway {
	t.Helper()
	g := &testGateway{WithT: NewWithT(t), arrived: make(eventQueue, 1)}
	g.Gateway = dtgate.New(dtgate.Settings{Router: "r"}, g.arrived, nil, recorder{}, recorder{})
	digest := sha256.Sum256([]byte("key"))
	g.Configure(&dtconfig.Site{
		Accounts: map[string]dtconfig.Account{"a": {KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Groups:   map[string]dtconfig.Group{"m": {Kind: dtconfig.KindEngine}}, Limits: dtconfig.Limits{FirstByteTimeoutMs: 10_000},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.address = ln.Addr().String()
	g.Serve(ln)
	return g
}

// result is what a caller gets: the body of a response, or the error of a connection that ended without one.
type result struct {
	body string
	err  error
}

// sendChat sends a chat in the background and returns its ID once the gateway has taken it.
func (g *testGateway) sendChat() (dtstate.RequestID, chan result) {
	done := make(chan result, 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+g.address+dtapi.PathChat, bytes.NewBufferString(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer key")
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			done <- result{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		done <- result{body: string(body), err: err}
	}()
	return (<-g.arrived).Request, done
}

// A stop whose time is over must not refuse waiting requests without the reducer, since no ledger has such
// refusals.
func TestStopSendsOnlyRefusalsOfTheReducer(t *testing.T) {
	g := newGateway(t)
	id, done := g.sendChat()
	g.Expect(g.Stop(50 * time.Millisecond)).To(Equal(1))
	g.Consistently(done).ShouldNot(Receive())
	g.Deliver(id, dtstate.Refuse{Refusal: dtstate.Refusal{Router: "r", Start: 1, Number: 7, Request: id, Reason: dtstate.ReasonStopping}})
	g.Expect((<-done).body).To(ContainSubstring(`"refusal_id":"r/1/7"`))
}

// A request that the reducer has not ended must get no response once the reducer is gone.
func TestCloseEndsWaitingRequestsWithoutAResponse(t *testing.T) {
	g := newGateway(t)
	_, done := g.sendChat()
	g.Expect(g.Stop(50 * time.Millisecond)).To(Equal(1))
	g.Close()
	g.Expect((<-done).err).To(HaveOccurred())
}
