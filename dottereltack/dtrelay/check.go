package dtrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// maxStatusBytes is the size of the largest answer to a status request that is read.
const maxStatusBytes = 256 << 10

// Errors of a status request.
var (
	errUnknownStatus  = errors.New("server answers another request than the status request")
	errStatusTooLarge = errors.New("status too large")
)

// Check reports whether a server accepts a connection within connectCheckTimeout, or its host refuses it, and what its process
// answers if the check has a StatusPath.
func (r *Relay) Check(e *dtdispatch.CheckServer) dtdispatch.ServerChecked {
	if e.StatusPath != "" {
		return r.checkStatus(e)
	}
	if len(e.Via) > 0 {
		return r.checkVia(e)
	}
	checked := dtdispatch.ServerChecked{Server: e.Server, Number: e.Number}
	c, err := r.direct.dial(r.ctx, e.Address, connectCheckTimeout, dtintake.NarrowReceiveBytes)
	if err != nil {
		checked.Refused = errors.Is(err, syscall.ECONNREFUSED)
		return checked
	}
	_ = c.Close()
	checked.Connected = true
	return checked
}

// checkVia checks a server by way of another router.
func (r *Relay) checkVia(e *dtdispatch.CheckServer) dtdispatch.ServerChecked {
	checked := dtdispatch.ServerChecked{Server: e.Server, Number: e.Number}
	send := &dtdispatch.SendRequest{
		Server: e.Server, Start: e.Start, Address: e.Address, Via: e.Via, ConnectTimeout: connectCheckTimeout, Deadline: time.Now().Add(viaCheckTimeout),
	}
	c, _, err := r.tunnels.connector.Connect(r.ctx, send, dtintake.NarrowReceiveBytes)
	if err == nil {
		_ = c.Close()
		checked.Connected, checked.Via = true, dttunnel.Via(c)
	}
	if tunnelErr := (*dttunnel.OpenError)(nil); errors.As(err, &tunnelErr) {
		checked.Refused, checked.Via = tunnelErr.Refused, tunnelErr.Via
	}
	return checked
}

// statusCheck asks the process of a server for its status.
type statusCheck struct {
	relay  *Relay
	check  *dtdispatch.CheckServer
	pool   *idlePool
	result dtdispatch.ServerChecked

	witness *serverConn // Of the request, or nil; see openWitness.
}

// checkStatus has the process of a server answer a request. The check ends with the answer, the end of the connection, the
// deadline, or the request that it is for.
func (r *Relay) checkStatus(e *dtdispatch.CheckServer) dtdispatch.ServerChecked {
	ctx, cancel := context.WithDeadline(r.contextOf(e.Number), e.Deadline)
	defer cancel()
	k := &statusCheck{relay: r, check: e, pool: r.pool, result: dtdispatch.ServerChecked{Server: e.Server, Number: e.Number}}
	if len(e.Via) > 0 {
		k.pool = r.tunnels
	}
	k.run(ctx)
	return k.result
}

// contextOf returns the context of a request, which ends with its caller, or of the relay if there is no such request.
func (r *Relay) contextOf(n dtdispatch.RequestNumber) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.exchanges[n]; x != nil {
		return x.ctx
	}
	return r.ctx
}

// run asks on the witness of the request, on idle connections, which a server without room for another still serves, and then on
// a new one.
func (k *statusCheck) run(ctx context.Context) {
	if k.witness = k.relay.takeWitness(k.check.Number); k.witness != nil {
		if err := k.ask(ctx, k.witness); err == nil || ctx.Err() != nil {
			return
		}
	}
	for c := k.pool.takeForStatus(k.check, time.Now()); c != nil; c = k.pool.takeForStatus(k.check, time.Now()) {
		if !c.isIdle() {
			_ = c.Close()
			continue
		}
		if err := k.ask(ctx, c); err == nil || ctx.Err() != nil {
			return
		}
	}
	c, err := k.connect(ctx)
	if err != nil {
		k.result.Refused = errors.Is(err, syscall.ECONNREFUSED)
		if tunnelErr := (*dttunnel.OpenError)(nil); errors.As(err, &tunnelErr) {
			k.result.Refused, k.result.Via = tunnelErr.Refused, tunnelErr.Via
		}
		k.result.Detail = err.Error()
		return
	}
	if err := k.ask(ctx, c); err != nil {
		isUnreachable := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
		k.result.Lost = ctx.Err() == nil && isTransportError(err) && !isUnreachable && !c.isTunnelLost()
	}
}

func (k *statusCheck) connect(ctx context.Context) (*serverConn, error) {
	e := k.check
	send := &dtdispatch.SendRequest{
		Server: e.Server, Start: e.Start, Address: e.Address, Via: e.Via, ConnectTimeout: time.Until(e.Deadline), Deadline: e.Deadline,
	}
	if len(e.Via) > 0 {
		send.ConnectTimeout = connectCheckTimeout // Of each router.
	}
	return k.pool.connect(ctx, send)
}

// ask sends the status request and applies the answer. It returns an error if there is none.
func (k *statusCheck) ask(ctx context.Context, c *serverConn) error {
	k.result.Connected, k.result.Via = true, c.via
	c.requestIDs.add("")
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, body, err := k.exchange(c) //nolint:bodyclose // The body has been read, or the connection is closed.
	isOpen := stop()
	if err != nil {
		_ = c.Close()
		k.result.Detail = err.Error()
		return err
	}
	k.apply(c, resp, body)
	if !isOpen || c.outOfSync || resp.Close || c.reader.Buffered() > 0 {
		_ = c.Close()
		return nil
	}
	if info := k.relay.dialect.ParseResponse(resp.Header); info.IdleTimeout > 0 {
		c.idleTimeout = max(info.IdleTimeout-serverIdleMargin, 0)
	}
	k.pool.put(k.check.Address, c, k.check.MaxIdleConns, time.Now())
	return nil
}

// exchange sends the status request and reads the answer, after interim responses and late ones to requests before.
func (k *statusCheck) exchange(c *serverConn) (*http.Response, []byte, error) {
	text := "GET " + k.check.StatusPath + " HTTP/1.1\r\nHost: " + k.check.Address + "\r\n"
	for _, f := range k.relay.dialect.StatusFields(k.check.Server) {
		text += f.Name + ": " + f.Value + "\r\n"
	}
	_ = c.SetDeadline(time.Time{})
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		return nil, nil, err
	}
	c.limiter.start()
	defer c.limiter.stop()
	for range maxResponsesRead {
		resp, err := readResponse(c.reader, http.MethodGet)
		if err != nil {
			return nil, nil, err
		}
		if dthead.IsInterim(resp.StatusCode) {
			continue
		}
		if !dthead.IsFinal(resp.StatusCode) {
			return nil, nil, errStatusOutOfRange
		}
		c.limiter.stop()
		if k.relay.dialect.ParseResponse(resp.Header).ID == "" {
			body, err := readStatus(resp.Body)
			return resp, body, err
		}
		c.outOfSync = true
		if !discard(resp.Body) {
			break
		}
		c.limiter.start()
	}
	return nil, nil, errUnknownStatus
}

func readStatus(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxStatusBytes+1))
	if err == nil && len(body) > maxStatusBytes {
		err = errStatusTooLarge
	}
	return body, err
}

// apply decides whether an answer comes from the process of the incarnation that is checked. One that names neither its
// server nor its start may be of a proxy. A server that is restarted may keep its ID.
func (k *statusCheck) apply(c *serverConn, resp *http.Response, body []byte) {
	e := k.check
	identity, isNamed := k.identify(resp, body)
	switch {
	case identity.Server != "" && !isNamed || identity.Start != 0 && e.Start != 0 && identity.Start != e.Start:
		k.result.Replaced = true
	case identity.Start == e.Start && (isNamed || e.Start != 0):
		k.result.Answered = true
	case isNamed && (c == k.witness || !c.openedAt.After(e.KnownSince)):
		k.result.Answered = true
	default:
		k.result.Named = isNamed && identity.Start == 0 && k.witness == nil
		if k.result.Named && e.Number != 0 {
			k.relay.witnessAddresses.add(e.Address)
		}
		k.result.Detail = fmt.Sprintf("status %d names server %q with start %d", resp.StatusCode, identity.Server, identity.Start)
		return
	}
	k.result.Detail = ""
}

// declined is the identity of a server that declines a request for another one without its ID.
const declined = dtdispatch.ServerID("declined")

// identify returns what an answer states about the process that has sent it, and whether that has the ID of the server. A
// rejected request is for this server, as any other would have declined it.
func (k *statusCheck) identify(resp *http.Response, body []byte) (identity ServerIdentity, isNamed bool) {
	identity = k.relay.dialect.ParseStatus(resp.Header, body)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return ServerIdentity{Server: declined}, false
	}
	isRejected := identity.Server == "" && k.relay.dialect.ParseResponse(resp.Header).NotRun
	return identity, identity.Server == k.check.Server || isRejected
}
