package dtrelay

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// Limits of requests and responses.
const (
	maxResponseHeadBytes = 64 << 10
	maxResponseHeadLines = 512
	maxResponseBytes     = 16 << 20
	maxHeldBodyBytes     = 32 << 20            // Of all responses together.
	freeBodyBytes        = dtintake.SmallBytes // Of each response, not counted in maxHeldBodyBytes, so that large bodies do not displace small ones.
	maxEventBytes        = 1 << 20
	maxResponsesRead     = 4       // Includes interim responses and responses to earlier requests, which are skipped.
	maxDiscardBytes      = 1 << 20 // Read at most this much of a response that is not forwarded.
	maxInlineBodyBytes   = 8 << 10 // Larger bodies are written while the response is read.
	discardTimeout       = 500 * time.Millisecond
	deadlineMargin       = time.Millisecond // A read that times out this close to the deadline counts as expired.
)

// Errors of a response.
var (
	errUnknownResponse      = errors.New("response does not match the request")
	errMissingSignature     = errors.New("successful response without a signature")
	errContentCoding        = errors.New("response has a content coding")
	errResponseHeadTooLarge = errors.New("response head too large")
	errResponseTooLarge     = errors.New("response body too large")
	errBodiesTooLarge       = errors.New("response bodies too large together")
	errEventTooLarge        = errors.New("event too large")
	errNotAnEventStream     = errors.New("response that is to go on with a stream is not an event stream")
	errNotAnEvent           = errors.New("text that is not an event in a stream")
	errEventOrder           = errors.New("event whose ID is not above those before")
	errNoEvent              = errors.New("stream that goes on has ended without an event")
	errNoEventIDs           = errors.New("stream without event IDs can't go on at another server")
	errServerGone           = errors.New("server is gone at the end of a response that ends with its connection")
	errEndUnconfirmed       = errors.New("server may have been gone at the end of a response that ends with its connection")
	errStatusOutOfRange     = errors.New("status of a response out of range or not asked for")
	errRequestNotRead       = errors.New("server has ended a response with its connection before it has read the request")
	errUnconfirmedRefusal   = errors.New("refusal status for a request that may have run")
)

// attempt is one attempt to have a backend server serve a request.
type attempt struct {
	exchange     *exchange
	send         *dtdispatch.SendRequest
	pool         *idlePool // Of the connections that it may use.
	conn         *serverConn
	bodyWriteErr chan error // Result of writing a large body in the background, or nil.
	result       dtdispatch.AttemptEnded
	info         ResponseInfo
	resp         *http.Response
	isResumed    bool      // The response is to go on with a stream after exchange.lastEventID.
	reusable     bool      // The connection may be used for another request.
	mayForward   bool      // ForwardStream has come.
	waitUntil    time.Time // Until then the server may be silent; see KeepWaiting.

	heldEvents heldBytes // Of the stream; part of exchange.held.
}

// runAttempt sends the request to a server and forwards the response.
func (x *exchange) runAttempt(send *dtdispatch.SendRequest) dtdispatch.AttemptEnded {
	a := &attempt{
		exchange: x, send: send, pool: x.relay.poolFor(send), isResumed: send.Streaming && (x.headSent || x.lastEventID != ""),
		result: dtdispatch.AttemptEnded{Number: send.Number, Attempt: send.Attempt},
	}
	a.run()
	a.keepWitness()
	a.releaseConn()
	a.result.ResponseStarted = x.headSent
	a.result.Framing = framingOf(a.resp)
	if send.Streaming {
		a.result.LastEvent = x.lastEventID
	}
	if x.isCallerDisconnected() && a.result.Outcome != dtdispatch.OutcomeCompleted {
		a.result.Outcome = dtdispatch.OutcomeCallerGone
		x.closeAfterResponse = true
	}
	return a.result
}

// framingOf returns how the end of the body of a response, which may be nil, is marked.
func framingOf(resp *http.Response) dtdispatch.Framing {
	switch {
	case resp == nil:
		return dtdispatch.FramingNone
	case len(resp.TransferEncoding) > 0:
		return dtdispatch.FramingChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody: // As the response to a HEAD request.
		return dtdispatch.FramingLength
	}
	return dtdispatch.FramingClose
}

func (a *attempt) setOutcome(o dtdispatch.Outcome, err error) {
	a.result.Outcome = o
	if err != nil {
		a.result.Detail = err.Error()
	}
}

// run performs the attempt and sets its outcome.
func (a *attempt) run() {
	if a.hasCallerLeft() {
		return
	}
	if a.isResumed && a.exchange.lastEventID == "" {
		a.setOutcome(dtdispatch.OutcomeMalformed, errNoEventIDs)
		return
	}
	conn, err := a.pool.get(a.exchange.ctx, a.exchange.info.ID, a.send)
	if err != nil {
		a.pool.closeAddress(a.send.Address)
		a.setUnreachable(err)
		return
	}
	if !a.useConn(conn) || !a.confirmStart() {
		return
	}
	a.reusable = false
	a.openWitness()
	if a.hasCallerLeft() {
		return
	}
	if err := a.writeRequest(); err != nil {
		a.setTransportOutcome(err)
		return
	}
	if !a.readResponseHead() {
		return
	}
	a.handleResponse()
}

// useConn sets the connection. It returns false if it has set the outcome, as the caller has disconnected.
func (a *attempt) useConn(conn *serverConn) bool {
	a.conn = conn
	a.result.ConnectedAt, a.result.Via, a.result.FailedVia = conn.openedAt, conn.via, conn.failedVia
	conn.patient.extend = a.extendDeadline
	if !a.exchange.setConn(conn) {
		a.setOutcome(dtdispatch.OutcomeCallerGone, errCallerClosed)
		return false
	}
	return true
}

// setUnreachable sets the outcome of an attempt for which no connection was opened.
func (a *attempt) setUnreachable(err error) {
	a.setOutcome(dtdispatch.OutcomeUnreachable, err)
	if tunnelErr := (*dttunnel.OpenError)(nil); errors.As(err, &tunnelErr) {
		a.result.Via, a.result.FailedVia = tunnelErr.Via, tunnelErr.FailedVia
	}
}

// writeRequest sends the request. A large body is written in the background.
func (a *attempt) writeRequest() error {
	x := a.exchange
	fields := x.relay.dialect.RequestFields(x.head, a.send, time.Until(a.send.Deadline), x.lastEventID)
	var b bytes.Buffer
	b.WriteString(x.head.Method + " " + x.head.Target + " HTTP/1.1\r\nHost: " + x.head.Host + "\r\n")
	for i := range fields {
		b.WriteString(fields[i].Name + ": " + fields[i].Value + "\r\n")
	}
	if len(x.body) > 0 || x.head.Length != 0 || x.head.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	_ = a.conn.SetWriteDeadline(a.send.Deadline)
	if len(x.body) <= maxInlineBodyBytes {
		b.Write(x.body)
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	a.bodyWriteErr = make(chan error, 1)
	body := x.body
	x.relay.wg.Go(func() {
		_, err := a.conn.Write(b.Bytes())
		if err == nil {
			_, err = a.conn.Write(body)
		}
		a.bodyWriteErr <- err
	})
	return nil
}

// readResponseHead reads the head of the response. It skips interim (1xx) responses and
// responses to earlier requests on the same connection, and returns false if it has set
// the outcome.
func (a *attempt) readResponseHead() bool {
	_ = a.conn.SetReadDeadline(a.send.HeaderDeadline)
	a.conn.limiter.start()
	defer a.conn.limiter.stop()
	for range maxResponsesRead {
		resp, err := readResponse(a.conn.reader, a.exchange.head.Method) //nolint:bodyclose // The body is read or the connection closed by releaseConn.
		if err != nil {
			a.setTransportOutcome(err)
			return false
		}
		if dthead.IsInterim(resp.StatusCode) {
			continue
		}
		if !dthead.IsFinal(resp.StatusCode) {
			a.setOutcome(dtdispatch.OutcomeMalformed, errStatusOutOfRange)
			return false
		}
		info := a.exchange.relay.dialect.ParseResponse(resp.Header)
		match := a.conn.requestIDs.matchResponse(a.exchange.info.ID, info.ID)
		if match == matchesRequest {
			a.resp, a.info = resp, info
			a.result.Status, a.result.Progress = resp.StatusCode, dtdispatch.ProgressHeader
			a.result.Report = serverReport(resp.StatusCode, &info, time.Now())
			return true
		}
		a.conn.outOfSync = true
		a.conn.limiter.stop()
		if match == matchesUnknown || !discard(resp.Body) {
			break
		}
		a.conn.limiter.start()
	}
	a.setOutcome(dtdispatch.OutcomeMalformed, errUnknownResponse)
	return false
}

// serverReport returns what a server states about itself in a response that arrived at now.
func serverReport(status int, info *ResponseInfo, now time.Time) *dtdispatch.ServerReport {
	report := &dtdispatch.ServerReport{ReceivedAt: now, Load: info.Load, RateLimit: info.RateLimit, Brittleness: info.Brittleness, Leaving: info.Leaving}
	if status == http.StatusServiceUnavailable {
		report.Backoff = info.RetryAfter
	}
	return report
}

// setTransportOutcome sets the outcome of an attempt whose connection failed or timed out
// or whose response is malformed. If the connection was reused, a failure or timeout also
// closes the idle connections to the same address.
func (a *attempt) setTransportOutcome(err error) {
	switch {
	case errors.Is(err, dttunnel.ErrTunnelLost) || a.conn.isTunnelLost():
		a.setOutcome(dtdispatch.OutcomeConnectionLost, err)
		a.result.FailedVia = append(a.result.FailedVia, a.conn.via)
	case errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH):
		a.setOutcome(dtdispatch.OutcomeUnacknowledged, err)
	case !errors.Is(err, os.ErrDeadlineExceeded) && !isTransportError(err):
		a.setOutcome(dtdispatch.OutcomeMalformed, err)
		return
	case !errors.Is(err, os.ErrDeadlineExceeded):
		a.setOutcome(dtdispatch.OutcomeConnectionLost, err)
	case time.Now().Before(a.send.Deadline.Add(-deadlineMargin)):
		a.setOutcome(dtdispatch.OutcomeTimedOut, err)
	default:
		a.setOutcome(dtdispatch.OutcomeExpired, err)
	}
	if a.conn.reused {
		a.pool.closeAddress(a.send.Address)
	}
}

// handleResponse reads or forwards the body, depending on the head of the response.
func (a *attempt) handleResponse() {
	status := a.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		a.reusable = a.discardBody()
		a.setOutcome(dtdispatch.OutcomeWrongServer, nil)
	case a.info.NotRun:
		a.reusable = a.discardBody()
		a.setOutcome(dtdispatch.OutcomeNotRun, nil)
	case a.resp.Header.Get("Content-Encoding") != "":
		a.setOutcome(dtdispatch.OutcomeMalformed, errContentCoding)
	case status < http.StatusMultipleChoices && !a.info.Signed:
		a.setOutcome(dtdispatch.OutcomeMalformed, errMissingSignature)
	case status < http.StatusMultipleChoices && a.isResumed && !isEventStream(a.resp.Header):
		a.setOutcome(dtdispatch.OutcomeMalformed, errNotAnEventStream)
	case status < http.StatusMultipleChoices && a.send.Streaming:
		a.forwardStream()
	default:
		a.forwardBuffered()
	}
}

// isEventStream reports whether the body of a response is a stream of server-sent events.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// discardBody reads the body of a response that is not forwarded. It reports whether the
// connection can be reused.
func (a *attempt) discardBody() bool {
	a.conn.patient.extend = nil
	_ = a.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	return discard(a.resp.Body)
}

// forwardBuffered reads the complete response and forwards it, or keeps it as the fallback if
// it is an error response.
func (a *attempt) forwardBuffered() {
	a.conn.patient.extend = nil
	_ = a.conn.SetReadDeadline(a.send.Deadline)
	body, held, err := a.exchange.relay.bodies.readBody(a.resp.Body)
	a.exchange.held.add(held)
	if err != nil {
		a.setTransportOutcome(err)
		return
	}
	resp := &bufferedResponse{status: a.resp.StatusCode, fields: responseFields(a.resp.Header), body: body}
	switch resp.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		// These statuses imply that the request has not run, but the server did not confirm it.
		a.reusable = true
		a.setOutcome(dtdispatch.OutcomeMalformed, errUnconfirmedRefusal)
		return
	}
	if !a.confirmEnd() {
		return
	}
	a.reusable = true
	if resp.status >= http.StatusMultipleChoices {
		a.exchange.fallback = resp
		a.setOutcome(dtdispatch.OutcomeFailure, nil)
		return
	}
	a.exchange.forwardResponse(resp)
	a.setOutcome(dtdispatch.OutcomeCompleted, nil)
}

func (a *attempt) releaseConn() {
	if a.conn == nil {
		return
	}
	a.exchange.setConn(nil)
	a.conn.patient.extend = nil
	keep := a.reusable && !a.conn.outOfSync && a.exchange.info.ID != "" && a.conn.reader.Buffered() == 0 && (a.resp == nil || !a.resp.Close)
	if a.bodyWriteErr != nil {
		select {
		case err := <-a.bodyWriteErr:
			keep = keep && err == nil
		default:
			keep = false // The body is not fully written: the server would read the next request as the rest of it.
		}
	}
	if !keep {
		a.conn.abandon()
		return
	}
	if a.info.IdleTimeout > 0 {
		a.conn.idleTimeout = max(a.info.IdleTimeout-serverIdleMargin, 0)
	}
	a.pool.put(a.send.Address, a.conn, a.send.MaxIdleConns, time.Now())
}

// responseFields returns the end-to-end header fields of a response, without hop-by-hop
// and framing fields.
func responseFields(header http.Header) []HeaderField {
	fields := make([]HeaderField, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection", "Te":
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
