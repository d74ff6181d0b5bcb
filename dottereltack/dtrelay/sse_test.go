package dtrelay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestEventsWithOtherLineEnds guards against events that are held until the stream ends, and then
// dropped as broken off, because their lines end in CR LF.
func TestEventsWithOtherLineEnds(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first := "id: 1" + end + "data: a" + end + end
			second := "id: 2" + end + "data: b" + end + end
			text := first + second + "id: 3" + end
			s := eventSplitter{}
			var got string
			for i := range len(text) {
				s.write([]byte{text[i]})
				got += eventsIn(&s, "")
				if i == len(first)-1 {
					g.Expect(got).To(Equal(first))
				}
			}
			g.Expect(got).To(Equal(first + second))
			g.Expect(s.lastID).To(Equal("2"))
			g.Expect(s.buffer).NotTo(BeEmpty(), "the third event is incomplete")
			s = eventSplitter{}
			s.write([]byte(first + second))
			g.Expect(eventsIn(&s, "1")).To(Equal(second))
			g.Expect(s.buffer).To(BeEmpty())
		})
	}
}

// TestResumedEventsWithoutID checks that a resumed stream passes on the same events whether they
// arrive together or apart: those without an ID always, such as the end marker of some servers.
func TestResumedEventsWithoutID(t *testing.T) {
	text := ": comment\n\nid: 1\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	want := ": comment\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	for _, size := range []int{1, 5, len(text)} {
		s := eventSplitter{}
		got := ""
		for piece := range bytesIn([]byte(text), size) {
			s.write(piece)
			got += eventsIn(&s, "1")
		}
		NewWithT(t).Expect(got).To(Equal(want), "in reads of %d bytes", size)
	}
}

// eventsIn returns the complete events of a splitter, or the text of an error.
func eventsIn(s *eventSplitter, afterID string) string {
	text, err := s.takeComplete(afterID)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// TestTextInAResumedStream guards against callers who find another server's text in their stream.
func TestTextInAResumedStream(t *testing.T) {
	for text, want := range map[string]string{
		"internal error\n\n":                            "",
		"HTTP/1.1 500 Oops\r\nid: 9\r\n\r\n":            "",
		"id: 2\ndata: b\n\nsorry\n\nid: 3\ndata: c\n\n": "id: 2\ndata: b\n\n",
	} {
		s := eventSplitter{}
		s.write([]byte(text))
		got, err := s.takeComplete("1")
		g := NewWithT(t)
		g.Expect(err).To(MatchError(errNotAnEvent), text)
		g.Expect(string(got)).To(Equal(want), text)
	}
}

// TestCommentsWithoutEndInAResumedStream guards against a router that runs out of memory: a server that is to go on
// with a stream sends comments without end, which are held until an event comes that the caller lacks.
func TestCommentsWithoutEndInAResumedStream(t *testing.T) {
	for name, text := range map[string]string{
		"comments":          ": comment\n\n",
		"events without ID": "data: x\n\n",
		"one comment":       ": comment\n",
		"one line":          "data: x",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			relay := &Relay{}
			var attempts []*attempt
			for range 100 {
				a := newEndlessStream(relay, text)
				a.forwardStream()
				g.Expect(a.result.Outcome).To(Equal(dtdispatch.OutcomeMalformed))
				g.Expect(a.exchange.conn).To(BeNil())
				attempts = append(attempts, a)
			}
			g.Expect(relay.bodies.used.Load()).To(BeNumerically("<=", maxHeldBodyBytes))
			for _, a := range attempts {
				relay.bodies.release(a.exchange.held)
			}
			g.Expect(relay.bodies.used.Load()).To(BeZero())
		})
	}
}

// newEndlessStream returns an attempt to go on with a stream, whose server repeats a text without end.
func newEndlessStream(relay *Relay, text string) *attempt {
	client, server := net.Pipe()
	_ = server.Close()
	body := &repeatingReader{text: text}
	x := &exchange{relay: relay, caller: newCallerConn(client), headSent: true, lastEventID: "1"}
	return &attempt{
		exchange: x, send: &dtdispatch.SendRequest{Deadline: time.Now().Add(time.Minute)}, isResumed: true,
		conn: &serverConn{Conn: client}, resp: &http.Response{Body: io.NopCloser(body)},
	}
}

// repeatingReader reads a text again and again, up to a size that no stream has.
type repeatingReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeatingReader) Read(p []byte) (int, error) {
	const limit = 8 << 20
	if r.read > limit {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}
