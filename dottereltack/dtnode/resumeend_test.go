package dtnode_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// TestStreamTakenUpAfterItsLastEventIsRefused covers callers that have lost only the end of a stream: the server that they
// reach has no event for them, and says so with an empty response of its own.
func TestStreamTakenUpAfterItsLastEventIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"nothing":                 {"", 200},
		"the events before":       {chunk(event(1) + event(2)), 200},
		"fewer events":            {chunk(event(1)), 502},
		"an event without an ID":  {chunk("data: x\n\n"), 502},
		"text that is not events": {chunk("oops\n\n"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, newServer(t, func(id string, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, streamHead(id)+tc.text+"0\r\n\r\n")
			}))
			c := n.dial()
			c.send("/stream/x", "q", "", "X-Last: 2\r\n")
			resp, err := c.readResponse()
			n.Expect(err).NotTo(HaveOccurred())
			n.Expect(resp.status).To(Equal(tc.status))
			n.Expect(resp.body).To(BeEmpty())
		})
	}
}

// TestWholeStreamOfAServerThatHasEndedIsBrokenOff covers a server that sends its last stream whole, to the end of the connection,
// and exits: it looks like one that was killed, and the next server has no event to go on with. Only a marked end is its word
// for that, and only after an end that may have been that of the stream.
func TestWholeStreamOfAServerThatHasEndedIsBrokenOff(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n"
	marked, unmarked := whole+"Content-Length: 0\r\n\r\n", whole+"\r\n"
	for name, tc := range map[string]struct {
		path       string
		responses  []string // Of the servers in turn; each exits after it.
		isComplete bool
	}{
		"nothing follows":                          {"/stream/x", []string{unmarked + event(1) + event(2), marked}, true},
		"nothing follows, in chunks":               {"/stream/x", []string{unmarked + event(1) + event(2), streamHead("q") + "0\r\n\r\n"}, true},
		"the events before follow":                 {"/stream/x", []string{unmarked + event(1) + event(2), streamHead("q") + chunk(event(1)+event(2)) + "0\r\n\r\n"}, true},
		"fewer events follow":                      {"/stream/x", []string{unmarked + event(1) + event(2), streamHead("q") + chunk(event(1)) + "0\r\n\r\n"}, false},
		"nothing follows, and the end is unmarked": {"/stream/x", []string{unmarked + event(1) + event(2), unmarked}, false},
		"a length has promised more":               {"/stream/x", []string{whole + "Content-Length: 999\r\n\r\n" + event(1) + event(2), marked}, false},
		"the stream has ended within an event":     {"/stream/x", []string{unmarked + event(1) + event(2) + "id: 3\n", marked}, false},
		"the stream has no event IDs":              {"/stream/x", []string{unmarked + "data: x\n\n", marked}, false},
		"an event follows, and then nothing":       {"/long/x", []string{unmarked + event(1) + event(2), whole + "Content-Length: 999\r\n\r\n" + event(3), marked}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var count atomic.Int32
			var servers [3]*simulatedServer
			respond := func(i int) func(string, *http.Request, net.Conn) {
				return func(_ string, _ *http.Request, c net.Conn) {
					_, _ = io.WriteString(c, tc.responses[count.Add(1)-1])
					servers[i].isKilled.Store(true)
					_ = servers[i].listener.Close()
					_ = c.Close()
				}
			}
			for i := range servers {
				servers[i] = newServer(t, respond(i))
			}
			n := newNode(t, servers[:]...)
			c := n.dial()
			c.send(tc.path, "q", "")
			resp, err := c.readResponse()
			n.Expect(err == nil).To(Equal(tc.isComplete), "%v", err)
			if tc.isComplete {
				n.Expect(resp.body).To(Equal(event(1) + event(2)))
			}
		})
	}
}
