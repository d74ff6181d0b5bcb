package dtrelay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// confirmStart asks the server for its start if that is wanted and not known of the connection. It returns false if it has set
// the outcome, since the request must not be sent on this connection. A server that names no start is taken for the listed one.
func (a *attempt) confirmStart() bool {
	if a.send.StatusPath == "" || a.exchange.info.ID == "" { // A late status could not be told from the response.
		return true
	}
	if !a.conn.isStartAsked && !a.askStart() {
		a.result.NotSent = true
		return false
	}
	a.result.ServerStart = a.conn.start
	if a.conn.start == 0 || a.conn.start == a.send.Start {
		return true
	}
	a.result.NotSent, a.result.Detail = true, strconv.FormatInt(a.conn.start, 10)
	a.setOutcome(dtdispatch.OutcomeRestarted, nil)
	return false
}

// askStart asks the server for its start. It returns false if it has set the outcome.
func (a *attempt) askStart() bool {
	resp, body, err := a.requestStatus() //nolint:bodyclose // The body has been read, or the connection is closed.
	if err != nil {
		a.setTransportOutcome(err)
		return false
	}
	d := a.exchange.relay.dialect
	identity := d.ParseStatus(resp.Header, body)
	if resp.StatusCode == http.StatusMisdirectedRequest || identity.Server != "" && identity.Server != a.send.Server {
		a.setOutcome(dtdispatch.OutcomeWrongServer, nil)
		return false
	}
	a.conn.start = identity.Start
	a.conn.isStartAsked = true
	if idleTimeout := d.ParseResponse(resp.Header).IdleTimeout; idleTimeout > 0 {
		a.conn.idleTimeout = max(idleTimeout-serverIdleMargin, 0)
	}
	a.reusable = !resp.Close && !a.conn.outOfSync && a.conn.reader.Buffered() == 0
	if a.reusable || a.conn.start != 0 && a.conn.start != a.send.Start {
		return true
	}
	return a.reconnect()
}

// requestStatus sends a status request and reads the response. It ends at the time by which that to the request itself is due.
func (a *attempt) requestStatus() (*http.Response, []byte, error) {
	ctx, cancel := context.WithDeadline(a.exchange.ctx, a.send.HeaderDeadline)
	defer cancel()
	c := a.conn
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	k := &statusCheck{relay: a.exchange.relay, check: &dtdispatch.CheckServer{Server: a.send.Server, Address: a.send.Address, StatusPath: a.send.StatusPath}}
	c.requestIDs.add("")
	resp, body, err := k.exchange(c)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, nil, os.ErrDeadlineExceeded
	}
	return resp, body, err
}

// reconnect replaces a connection that the server closes after its status. The next one is not asked about.
func (a *attempt) reconnect() bool {
	a.exchange.setConn(nil)
	_ = a.conn.Close()
	a.conn = nil
	conn, err := a.pool.connect(a.exchange.ctx, a.send)
	if err != nil {
		a.setUnreachable(err)
		return false
	}
	conn.requestIDs.add(a.exchange.info.ID)
	conn.isStartAsked = true
	return a.useConn(conn)
}
