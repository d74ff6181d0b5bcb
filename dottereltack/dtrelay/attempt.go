package dtrelay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Bounds of an answer.
const (
	maxAnswerBytes = 16 << 20
	maxStale       = 4       // Answers to earlier requests that are passed over.
	staleBytes     = 1 << 20 // Most bytes of one of them.
	directBody     = 8 << 10 // Bodies up to that size are sent before the answer is read.
	drainWithin    = 500 * time.Millisecond
)

// Errors of an answer.
var (
	errNotAnswer  = errors.New("answer is for no known request")
	errUnsigned   = errors.New("success without signature")
	errCoded      = errors.New("answer has a content coding")
	errTooLarge   = errors.New("answer too large")
	errUnexpected = errors.New("refusal that may have run")
)

// attempt is one try of an exchange at a server.
type attempt struct {
	x      *exchange
	send   *dtdispatch.SendRequest
	conn   *serverConn
	wrote  chan error // Result of writing a long body; nil for a short one.
	ended  dtdispatch.AttemptEnded
	reply  Reply
	resp   *http.Response
	usable bool // The connection may serve another request.
}

// attempt sends the request to a server and passes on what comes back.
func (x *exchange) attempt(send *dtdispatch.SendRequest) dtdispatch.AttemptEnded {
	a := &attempt{x: x, send: send, ended: dtdispatch.AttemptEnded{Number: send.Number, Attempt: send.Attempt}}
	a.run()
	a.release()
	a.ended.ResponseStarted = x.begun
	if x.hasLeft() && a.ended.Outcome != dtdispatch.OutcomeServed {
		a.ended.Outcome = dtdispatch.OutcomeCallerLeft
		x.last = true
	}
	return a.ended
}

// end notes how the attempt ended.
func (a *attempt) end(o dtdispatch.Outcome, err error) {
	a.ended.Outcome = o
	if err != nil {
		a.ended.Detail = err.Error()
	}
}

// run makes the attempt.
func (a *attempt) run() {
	conn, err := a.x.relay.pool.get(a.x.ctx, a.send.Address, a.send.AtMostOnce, a.send.ConnectTimeout)
	if err != nil {
		a.x.relay.pool.drop(a.send.Address)
		a.end(dtdispatch.OutcomeUnreachable, err)
		return
	}
	a.conn = conn
	if !a.x.attach(conn) {
		a.end(dtdispatch.OutcomeCallerLeft, nil)
		return
	}
	if err := a.write(); err != nil {
		a.broken(err)
		return
	}
	if !a.readHead() {
		return
	}
	a.judge()
}

// write sends the request.
func (a *attempt) write() error {
	x := a.x
	fields := x.relay.dialect.Forward(x.head, a.send, time.Until(a.send.Deadline), x.after)
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
	if len(x.body) <= directBody {
		b.Write(x.body)
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	a.wrote = make(chan error, 1)
	x.relay.group.Go(func() {
		_, err := a.conn.Write(b.Bytes())
		if err == nil {
			_, err = a.conn.Write(x.body)
		}
		a.wrote <- err
	})
	return nil
}

// readHead reads the head of the answer to this request and passes over answers to
// earlier ones.
func (a *attempt) readHead() bool {
	_ = a.conn.SetReadDeadline(a.send.HeadDeadline)
	request := &http.Request{Method: a.x.head.Method}
	for range maxStale {
		resp, err := http.ReadResponse(a.conn.r, request) //nolint:bodyclose // The connection is kept or closed as a whole.
		if err != nil {
			a.broken(err)
			return false
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		reply := a.x.relay.dialect.Reply(resp.Header)
		if reply.ID == a.x.ask.ID || reply.ID == "" && reply.NotRun {
			a.resp, a.reply = resp, reply
			a.ended.Status, a.ended.Report = resp.StatusCode, reply.Report
			return true
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, staleBytes)); err != nil || reply.ID == "" {
			break
		}
	}
	a.end(dtdispatch.OutcomeMalformed, errNotAnswer)
	return false
}

// broken ends an attempt whose connection failed or fell silent.
func (a *attempt) broken(err error) {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH):
		a.end(dtdispatch.OutcomeUnacked, err)
	case !errors.Is(err, os.ErrDeadlineExceeded) && !isTransport(err):
		a.end(dtdispatch.OutcomeMalformed, err)
		return
	case !errors.Is(err, os.ErrDeadlineExceeded):
		a.end(dtdispatch.OutcomeConnectionLost, err)
	case time.Now().Before(a.send.Deadline.Add(-time.Millisecond)):
		a.end(dtdispatch.OutcomeTimedOut, err)
	default:
		a.end(dtdispatch.OutcomeExpired, err)
	}
	if a.conn.reused {
		a.x.relay.pool.drop(a.send.Address)
	}
}

// judge takes the answer's head and reads its body.
func (a *attempt) judge() {
	status := a.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		a.usable = a.discard()
		a.end(dtdispatch.OutcomeWrongServer, nil)
	case a.reply.NotRun:
		a.usable = a.discard()
		a.end(dtdispatch.OutcomeNotRun, nil)
	case a.resp.Header.Get("Content-Encoding") != "":
		a.end(dtdispatch.OutcomeMalformed, errCoded)
	case status < http.StatusMultipleChoices && !a.reply.Signed:
		a.end(dtdispatch.OutcomeMalformed, errUnsigned)
	case status < http.StatusMultipleChoices && a.send.Streaming:
		a.stream()
	default:
		a.whole()
	}
}

// discard reads what is left of an answer that is not passed on.
func (a *attempt) discard() bool {
	_ = a.conn.SetReadDeadline(time.Now().Add(drainWithin))
	_, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, staleBytes))
	return err == nil
}

// whole reads an answer to its end and passes it on, or holds it if it is a failure.
func (a *attempt) whole() {
	_ = a.conn.SetReadDeadline(a.send.Deadline)
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		a.broken(err)
		return
	case len(body) > maxAnswerBytes:
		a.end(dtdispatch.OutcomeMalformed, errTooLarge)
		return
	}
	a.usable = true
	held := &heldAnswer{status: a.resp.StatusCode, fields: answerFields(a.resp.Header), body: body}
	switch held.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		// These promise a caller that the request has not run, which the server did not say.
		a.end(dtdispatch.OutcomeMalformed, errUnexpected)
		return
	}
	if held.status >= http.StatusMultipleChoices {
		a.x.held = held
		a.end(dtdispatch.OutcomeFailure, nil)
		return
	}
	a.x.pass(held)
	a.end(dtdispatch.OutcomeServed, nil)
}

// release keeps the connection for another request, or closes it.
func (a *attempt) release() {
	if a.conn == nil {
		return
	}
	a.x.attach(nil)
	keep := a.usable && a.conn.r.Buffered() == 0 && !a.resp.Close
	if a.wrote != nil {
		select {
		case err := <-a.wrote:
			keep = keep && err == nil
		default:
			keep = false // The server has not read the body: what follows would be taken for it.
		}
	}
	if !keep {
		_ = a.conn.Close()
		return
	}
	if a.reply.Idle > 0 {
		a.conn.idle = max(a.reply.Idle-idleMargin, 0)
	}
	a.x.relay.pool.put(a.send.Address, a.conn, a.send.MaxIdleConns, time.Now())
}

// answerFields returns the fields of an answer that are passed on.
func answerFields(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection", "Te":
			continue
		}
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}
