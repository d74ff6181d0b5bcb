package dtrelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// statusPlay is a relay that checks one server.
type statusPlay struct {
	*WithT
	relay *Relay
	check dtdispatch.CheckServer
}

func newStatusPlay(t *testing.T, address string) *statusPlay {
	t.Helper()
	relay, err := New("127.0.0.1:0", tunnelDialect{}, discardedEvents{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return &statusPlay{WithT: NewWithT(t), relay: relay, check: dtdispatch.CheckServer{
		Server: "s1", Start: 7, Address: address, StatusPath: "/status", MaxIdleConns: 4,
	}}
}

// run checks the server; a test that waits for the deadline sets it.
func (p *statusPlay) run() dtdispatch.ServerChecked {
	if p.check.Deadline.IsZero() {
		p.check.Deadline = time.Now().Add(5 * time.Second)
	}
	checked := p.relay.Check(&p.check)
	checked.Detail = ""
	return checked
}

// keep has the relay keep an idle connection to the server that was opened at a time.
func (p *statusPlay) keep(openedAt time.Time) *serverConn {
	send := &dtdispatch.SendRequest{Address: p.check.Address, ConnectTimeout: time.Second}
	c, err := p.relay.pool.connect(context.Background(), send)
	p.Expect(err).NotTo(HaveOccurred())
	c.openedAt = openedAt
	p.relay.pool.put(p.check.Address, c, 4, time.Now())
	return c
}

// statusOf returns the answer of a server to a status request. Without an ID or a start it names none.
func statusOf(status int, id string, start int) string {
	body, field := "", ""
	if start != 0 {
		body = strconv.Itoa(start)
	}
	if id != "" {
		field = "X-Server: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d S\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

// serveStatus starts a server that passes each connection to serve and closes it then.
func serveStatus(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// answering returns a function that answers each request of a connection with text.
func answering(text string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	}
}

// TestAcceptIsTakenForAnAnswer guards against a killed server whose response looks complete, since its kernel, that of a
// stopped process, a proxy or the process that has followed it accepts a connection.
func TestAcceptIsTakenForAnAnswer(t *testing.T) {
	answered := dtdispatch.ServerChecked{Server: "s1", Connected: true, Answered: true}
	replaced := dtdispatch.ServerChecked{Server: "s1", Connected: true, Replaced: true}
	named := dtdispatch.ServerChecked{Server: "s1", Connected: true, Named: true}
	unknown := dtdispatch.ServerChecked{Server: "s1", Connected: true}
	lost := dtdispatch.ServerChecked{Server: "s1", Connected: true, Lost: true}
	for name, tc := range map[string]struct {
		serve func(net.Conn)
		want  dtdispatch.ServerChecked
	}{
		"it answers":                                   {answering(statusOf(200, "s1", 7)), answered},
		"it answers that it is leaving":                {answering(statusOf(503, "s1", 7)), answered},
		"it names its start only":                      {answering(statusOf(200, "", 7)), answered},
		"it answers after an interim response":         {answering("HTTP/1.1 102 P\r\n\r\n" + statusOf(200, "s1", 7)), answered},
		"it answers after a late response to another":  {answering("HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: 1\r\n\r\n9" + statusOf(200, "s1", 7)), answered},
		"it accepts and closes":                        {func(net.Conn) {}, lost},
		"it ends within the answer":                    {func(c net.Conn) { answering(statusOf(200, "s1", 7)[:30])(&closing{c}) }, lost},
		"another server answers":                       {answering(statusOf(200, "s2", 7)), replaced},
		"another server declines":                      {answering(statusOf(421, "", 0)), replaced},
		"the server answers after a restart":           {answering(statusOf(200, "s1", 8)), replaced},
		"it names no start, and may have been started": {answering(statusOf(200, "s1", 0)), named},
		"a proxy answers":                              {answering(statusOf(502, "", 0)), unknown},
		"only another request is answered":             {answering("HTTP/1.1 200 OK\r\nX-Id: q\r\nContent-Length: 1\r\n\r\n7"), unknown},
	} {
		t.Run(name, func(t *testing.T) {
			p := newStatusPlay(t, serveStatus(t, tc.serve))
			if name == "only another request is answered" {
				p.check.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			p.Expect(p.run()).To(Equal(tc.want))
		})
	}
}

// closing closes the connection after the first write.
type closing struct{ net.Conn }

func (c *closing) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	_ = c.Close()
	return n, err
}

// TestServerWithoutAStartIsTakenForAnother guards against whole responses of servers that name no start that are taken for
// cut, and a proxy that is taken for such a server.
func TestServerWithoutAStartIsTakenForAnother(t *testing.T) {
	for text, isAnswered := range map[string]bool{statusOf(200, "s1", 0): true, statusOf(503, "", 0): false, statusOf(200, "s1", 7): false} {
		p := newStatusPlay(t, serveStatus(t, answering(text)))
		p.check.Start = 0
		p.Expect(p.run().Answered).To(Equal(isAnswered), text)
	}
}

// TestStoppedProcessIsTakenForAlive guards against a process that was stopped or killed before it answered: its kernel accepts
// connections and requests. The check ends at its deadline, with its caller, or with the relay.
func TestStoppedProcessIsTakenForAlive(t *testing.T) {
	unanswered := dtdispatch.ServerChecked{Server: "s1", Connected: true}
	t.Run("until the deadline", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		p := newStatusPlay(t, listener.Addr().String())
		p.check.Deadline = time.Now().Add(50 * time.Millisecond)
		p.Expect(p.run()).To(Equal(unanswered))
	})
	t.Run("until its caller leaves", func(t *testing.T) {
		p := newStatusPlay(t, "")
		ctx, cancel := context.WithCancel(t.Context())
		p.check.Address = serveStatus(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			cancel()
			_, _ = io.Copy(io.Discard, c)
		})
		p.check.Number = 3
		p.relay.registerExchange(&exchange{relay: p.relay, number: 3, ctx: ctx})
		p.Expect(p.run()).To(Equal(dtdispatch.ServerChecked{Server: "s1", Number: 3, Connected: true}))
		p.relay.unregisterExchange(&exchange{relay: p.relay, number: 3})
		p.Expect(time.Now()).To(BeTemporally("<", p.check.Deadline))
	})
	t.Run("until the relay is closed", func(t *testing.T) {
		p := newStatusPlay(t, "")
		p.check.Address = serveStatus(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			p.relay.Close()
			_, _ = io.Copy(io.Discard, c)
		})
		p.Expect(p.run()).To(Equal(unanswered))
		p.Expect(time.Now()).To(BeTemporally("<", p.check.Deadline))
	})
}

// TestServerThatIsGoneIsNotRefused guards against a crash that is not counted, as the refused connection is not reported.
func TestServerThatIsGoneIsNotRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	p := newStatusPlay(t, listener.Addr().String())
	p.Expect(p.run()).To(Equal(dtdispatch.ServerChecked{Server: "s1", Refused: true}))
}

// TestStatusOpensAConnectionEachTime guards against a server without room for another connection, whose whole responses would
// be taken for cut, and against connections that are lost to the pool.
func TestStatusOpensAConnectionEachTime(t *testing.T) {
	accepted := make(chan struct{}, 16)
	p := newStatusPlay(t, serveStatus(t, func(c net.Conn) {
		accepted <- struct{}{}
		answering(statusOf(200, "s1", 7))(c)
	}))
	kept := p.keep(time.Now())
	p.Expect(p.run().Answered).To(BeTrue())
	p.Expect(accepted).To(HaveLen(1))
	p.Expect(p.relay.pool.take(p.check.Address)).To(BeIdenticalTo(kept))
	p.Expect(p.run().Answered).To(BeTrue())
	p.Expect(accepted).To(HaveLen(2))
	p.Expect(p.relay.pool.take(p.check.Address)).NotTo(BeNil())
}

// TestLateStatusIsTakenForTheNext guards against an answer of a server that was killed since: it was sent a second time, or before
// the request.
func TestLateStatusIsTakenForTheNext(t *testing.T) {
	t.Run("on a connection that has had a status request", func(t *testing.T) {
		accepted := make(chan struct{}, 16)
		p := newStatusPlay(t, serveStatus(t, func(c net.Conn) {
			accepted <- struct{}{}
			answering(statusOf(200, "s1", 7))(c)
		}))
		p.Expect(p.run().Answered).To(BeTrue())
		p.Expect(p.run().Answered).To(BeTrue())
		p.Expect(accepted).To(HaveLen(2))
	})
	t.Run("on a connection with unread bytes", func(t *testing.T) {
		isFirst := make(chan bool, 1)
		isFirst <- true
		p := newStatusPlay(t, serveStatus(t, func(c net.Conn) {
			select {
			case <-isFirst:
				_, _ = io.WriteString(c, statusOf(200, "s1", 7))
				_, _ = io.Copy(io.Discard, c)
			default:
			}
		}))
		c := p.keep(time.Now())
		p.Eventually(c.isIdle, "1s", "2ms").Should(BeFalse())
		p.Expect(p.run()).To(Equal(dtdispatch.ServerChecked{Server: "s1", Connected: true, Lost: true}))
	})
}

// TestConnectionOfTheFormerProcessIsTakenForANewOne covers servers whose status names no start: only a connection that is
// older than the response belongs to the process that has sent it.
func TestConnectionOfTheFormerProcessIsTakenForANewOne(t *testing.T) {
	since := time.Now()
	for name, tc := range map[string]struct {
		openedAt   time.Time
		text       string
		isAnswered bool
	}{
		"opened before":                       {since.Add(-time.Second), statusOf(200, "s1", 0), true},
		"opened later":                        {since.Add(time.Millisecond), statusOf(200, "s1", 0), false},
		"opened before, and a proxy answers":  {since.Add(-time.Second), statusOf(502, "", 0), false},
		"opened before, of another start":     {since.Add(-time.Second), statusOf(200, "s1", 8), false},
		"opened before, and another declines": {since.Add(-time.Second), statusOf(421, "", 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newStatusPlay(t, serveStatus(t, answering(tc.text)))
			p.check.KnownSince = since
			p.keep(since.Add(time.Second))
			p.keep(tc.openedAt)
			p.Expect(p.run().Answered).To(Equal(tc.isAnswered))
		})
	}
}

// TestClosedIdleConnectionIsTakenForTheEnd guards against a sound server that has closed an idle connection in passing.
func TestClosedIdleConnectionIsTakenForTheEnd(t *testing.T) {
	isFirst := make(chan bool, 1)
	isFirst <- true
	p := newStatusPlay(t, serveStatus(t, func(c net.Conn) {
		select {
		case <-isFirst:
			_, _ = http.ReadRequest(bufio.NewReader(c))
		default:
			answering(statusOf(200, "s1", 7))(c)
		}
	}))
	p.keep(time.Now())
	p.Expect(p.run()).To(Equal(dtdispatch.ServerChecked{Server: "s1", Connected: true, Answered: true}))
}

// TestRouterBetweenIsTakenForTheServer guards against a router that opens tunnels and is taken for the server behind it, which
// accepts without an answer, ends or is another.
func TestRouterBetweenIsTakenForTheServer(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		want     dtdispatch.ServerChecked
	}{
		"the server answers":    {statusOf(200, "s1", 7), dtdispatch.ServerChecked{Server: "s1", Connected: true, Answered: true, Via: "r2"}},
		"it ends in the middle": {"HTTP/1.1 200 OK\r\n", dtdispatch.ServerChecked{Server: "s1", Connected: true, Lost: true, Via: "r2"}},
		"another one answers":   {statusOf(200, "s1", 8), dtdispatch.ServerChecked{Server: "s1", Connected: true, Replaced: true, Via: "r2"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTunnelPlay(t, false, false, tc.response+"%.0s")
			checked := p.relay.Check(&dtdispatch.CheckServer{
				Server: "s1", Start: 7, Address: p.reducer.address, Via: p.reducer.via, StatusPath: "/status", Deadline: time.Now().Add(2 * time.Second),
			})
			checked.Detail = ""
			p.Expect(checked).To(Equal(tc.want))
		})
	}
}
