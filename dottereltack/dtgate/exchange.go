package dtgate

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtserver"
)

// replyCopies is how often a response is held: as it arrives, for the reducer, and as it is written.
const replyCopies = 3

// minTextBytes is the first capacity of the text of a collected stream.
const minTextBytes = 4 << 10

// maxPendingEffects is the capacity of an exchange's queue of effects.
const maxPendingEffects = 8

type serverClient interface {
	Do(ctx context.Context, req *dtserver.Request) (*dtserver.Response, dtstate.Outcome, error)
}

// exchange is a caller's request and its response. Apart from the effects channel, it is used
// by one goroutine at a time: the handler's, then the stream writer's.
type exchange struct {
	gateway           *Gateway
	id                dtstate.RequestID
	engineID          dtstate.RequestID // ID that the engine knows; differs from id if an earlier response is resumed.
	group             string            // Name of the model or service.
	path              string
	idempotencyKey    string
	priority          string
	body              []byte
	atMostOnce        bool
	arrivedAt         time.Time
	effects           chan dtstate.Effect
	attempt           uint32
	server            dtstate.ServerID
	response          *dtserver.Response
	nextToken         uint32        // Index of the next token of the attempt.
	skipTokens        uint32        // Number of leading tokens that the caller has already received.
	tokenTotal        uint32        // Number of tokens that the server announced, or 0.
	sentHash          xxhash.Digest // Hash of the events sent to the caller.
	skippedHash       xxhash.Digest // Hash of the skipped events, which must equal sentHash.
	firstByteReceived bool
	ctx               context.Context //nolint:containedctx // Canceled when the caller leaves or the request ends; lives as long as the exchange.
	cancel            context.CancelFunc
	caller            net.Conn         // Nil if its end is not noticed before a response is written.
	isWatched         bool             // See watchCaller.
	isLeft            bool             // The attempt has ended since the caller has left.
	holder            *dtbudget.Holder // Of the caller's connection; nil if what it holds is not counted.
	replyBytes        int64            // Counted there for the response.
}

// responsePart is the next part of the response to a caller: an event of a stream, its
// end, a complete body, the state of an order, a refusal or nothing more.
type responsePart struct {
	event      []byte
	complete   bool // The stream ended with its end marker.
	body       []byte
	status     int  // HTTP status of body; zero means 200.
	replayed   bool // The body is the stored response of an order.
	orderState dtstate.OrderState
	refusal    *dtstate.Refusal
	abandoned  bool // The reducer ended before the request did, or the caller has left.
}

// failed reports whether the request ended without a response of a server.
func (p *responsePart) failed() bool { return p.refusal != nil || p.abandoned }

// nextPart returns the next part of the response. Until one is available, it starts an
// attempt for each Dispatch effect of the reducer.
func (x *exchange) nextPart() responsePart {
	for {
		if x.isLeft {
			return responsePart{abandoned: true}
		}
		if x.response == nil {
			if p, ended := x.awaitEffect(); ended {
				return p
			}
			continue
		}
		p, ok := x.readPart()
		if ok {
			return p
		}
	}
}

// awaitEffect waits for an effect and applies it, or abandons the request if the gateway is closed. The
// result is true if the request has ended.
func (x *exchange) awaitEffect() (responsePart, bool) {
	select {
	case e := <-x.effects:
		return x.applyEffect(e)
	case <-x.gateway.closing:
		return x.awaitNothing()
	}
}

// awaitNothing applies what the reducer has decided before it ended, or abandons the request.
func (x *exchange) awaitNothing() (responsePart, bool) {
	select {
	case e := <-x.effects:
		if _, isDispatch := e.(dtstate.Dispatch); !isDispatch {
			return x.applyEffect(e)
		}
	default:
	}
	return responsePart{abandoned: true}, true
}

// applyEffect carries out an effect and reports whether it ends the request.
func (x *exchange) applyEffect(e dtstate.Effect) (responsePart, bool) {
	switch e := e.(type) {
	case dtstate.Refuse:
		return responsePart{refusal: &e.Refusal}, true
	case dtstate.AnswerOrder:
		return responsePart{body: e.Body, status: e.Status, replayed: true, orderState: e.State}, true
	case dtstate.Dispatch:
		x.startAttempt(e)
	}
	return responsePart{}, false
}

// startAttempt sends the request to a backend server, and reports the outcome at once if
// there is no response to read.
func (x *exchange) startAttempt(e dtstate.Dispatch) {
	x.attempt = e.Attempt
	x.server = e.Server
	req := dtserver.Request{
		Address: e.Address, Path: x.path, ID: x.engineID, IdempotencyKey: x.idempotencyKey, Priority: x.priority,
		Body: x.body, AtMostOnce: x.atMostOnce, SendBefore: e.SendBefore,
	}
	x.skipTokens = e.Offset
	x.nextToken = 0
	x.skippedHash.Reset()
	if e.Resume {
		req.Path = dtapi.PathEngineResume
		req.Body = dtserver.ResumeBody(x.engineID, e.Offset)
		x.nextToken = e.Offset
		x.skipTokens = 0
	}
	if x.hasCallerLeft() {
		x.endAttempt(dtstate.OutcomeCallerGone, 0, nil)
		return
	}
	resp, outcome, err := x.gateway.serverClient.Do(x.ctx, &req)
	if err != nil {
		x.gateway.recordFailure("attempt_failed", string(e.Server), x.id, err)
	}
	if outcome != dtstate.OutcomeCompleted {
		x.endAttempt(x.outcomeOf(outcome), 0, nil)
		return
	}
	x.response = resp
}

// readPart reads the next part of the current response. The result is false if the
// attempt failed before one was complete.
func (x *exchange) readPart() (responsePart, bool) {
	if x.response.Status != statusOK || !bytes.HasPrefix([]byte(x.response.ContentType), []byte("text/event-stream")) {
		return x.readBody()
	}
	for {
		line, err := x.response.ReadLine()
		if err != nil {
			x.abortAttempt(err)
			return responsePart{}, false
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		x.recordFirstByte()
		if string(data) == dtapi.StreamDoneData {
			return x.finishStream()
		}
		p, ok, tokenErr := x.acceptToken(data)
		if tokenErr != nil {
			x.abortAttempt(tokenErr)
			return responsePart{}, false
		}
		if ok {
			return p, true
		}
	}
}

// Errors of a streamed response that is incomplete or inconsistent.
var (
	errTokenSequence    = errors.New("token index out of sequence")
	errReplayMismatch   = errors.New("restarted response differs from the tokens already sent")
	errIncompleteStream = errors.New("stream ended with an incorrect token count")
	errNoRoomForText    = errors.New("no room for the text of the response")
)

// acceptToken checks that an event has the next token index, and that skipped tokens, which
// the caller has already received, hash to the same value as those sent. The result is false
// if the event is not to be sent.
func (x *exchange) acceptToken(data []byte) (responsePart, bool, error) {
	index, hasIndex := uintField(data, `"token_index":`)
	if hasIndex && index != x.nextToken {
		return responsePart{}, false, errTokenSequence
	}
	if total, ok := uintField(data, `"token_total":`); ok {
		x.tokenTotal = total
	}
	x.nextToken++
	if x.nextToken <= x.skipTokens {
		_, _ = x.skippedHash.Write(data)
		if x.nextToken == x.skipTokens && x.skippedHash.Sum64() != x.sentHash.Sum64() {
			return responsePart{}, false, errReplayMismatch
		}
		return responsePart{}, false, nil
	}
	_, _ = x.sentHash.Write(data)
	return responsePart{event: data}, true, nil
}

// uintField returns the decimal number that follows name in data.
func uintField(data []byte, name string) (uint32, bool) {
	start := bytes.Index(data, []byte(name))
	if start < 0 {
		return 0, false
	}
	digits := data[start+len(name):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.ParseUint(string(digits[:end]), 10, 32)
	return uint32(n), err == nil
}

// finishStream handles the end marker of a stream. The attempt fails if the number of
// tokens is wrong.
func (x *exchange) finishStream() (responsePart, bool) {
	if x.tokenTotal != 0 && x.nextToken != x.tokenTotal || x.nextToken < x.skipTokens {
		x.abortAttempt(errIncompleteStream)
		return responsePart{}, false
	}
	x.response.DiscardRest()
	x.response.Release()
	x.endAttempt(dtstate.OutcomeCompleted, x.response.Status, nil)
	return responsePart{complete: true}, true
}

// readBody reads a response that is not an event stream.
func (x *exchange) readBody() (responsePart, bool) {
	x.recordFirstByte()
	body, err := x.response.ReadBody(x.holdReply)
	if err != nil {
		x.abortAttempt(err)
		return responsePart{}, false
	}
	status := x.response.Status
	x.response.DiscardRest()
	x.response.Release()
	outcome := dtstate.OutcomeCompleted
	if status >= statusBadRequest && status < statusServerError {
		outcome = dtstate.OutcomeRejected
	}
	x.endAttempt(outcome, status, body)
	return responsePart{body: body, status: status}, true
}

func (x *exchange) abortAttempt(err error) {
	x.gateway.recordFailure("answer_cut", string(x.server), x.id, err)
	x.response.Abort()
	x.endAttempt(x.outcomeOf(dtstate.OutcomeCut), 0, nil)
}

// recordFirstByte reports the time to first byte, once per request.
func (x *exchange) recordFirstByte() {
	if x.firstByteReceived {
		return
	}
	x.firstByteReceived = true
	wait := time.Since(x.arrivedAt)
	x.gateway.meter.ObserveFirstByte(x.group, wait)
	x.gateway.post(dtstate.FirstByte{Request: x.id, Attempt: x.attempt, Wait: wait})
}

// endAttempt reports the outcome of the current attempt to the reducer.
func (x *exchange) endAttempt(outcome dtstate.Outcome, status int, body []byte) {
	x.response = nil
	x.isLeft = outcome == dtstate.OutcomeCallerGone
	x.gateway.post(dtstate.AttemptEnded{
		Request: x.id, Attempt: x.attempt, Outcome: outcome, Status: status,
		Offset: max(x.nextToken, x.skipTokens), Answer: append([]byte(nil), body...),
	})
}

// cancelAttempt aborts the current attempt because the caller has disconnected.
func (x *exchange) cancelAttempt() {
	if x.response == nil {
		return
	}
	x.response.Abort()
	x.endAttempt(dtstate.OutcomeCallerGone, 0, nil)
}

// collectText reads a streamed response and returns its text and the part that ended it. An event whose text finds no room is not
// accepted, and the attempt ends as one that was cut.
func (x *exchange) collectText() (string, responsePart) {
	var text []byte
	for {
		sentHash := x.sentHash
		p := x.nextPart()
		if p.event == nil {
			return string(text), p
		}
		content := deltaContent(p.event)
		var ok bool
		if text, ok = x.growText(text, len(content)); !ok {
			x.nextToken--
			x.sentHash = sentHash
			x.abortAttempt(errNoRoomForText)
			continue
		}
		text = append(text, content...)
	}
}

// growText returns a text with capacity for n more bytes, or false if there is no room for it.
func (x *exchange) growText(text []byte, n int) ([]byte, bool) {
	if len(text)+n <= cap(text) {
		return text, true
	}
	size := max(2*cap(text), len(text)+n, minTextBytes)
	if !x.holdReply(int64(size)) {
		return text, false
	}
	return append(make([]byte, 0, size), text...), true
}

// holdReply reports whether there is room for a response of a size in bytes, which is held until the caller has it.
func (x *exchange) holdReply(size int64) bool {
	if !x.holder.GrowReply(replyCopies*(size-x.replyBytes), replyCopies*size, time.Now()) {
		return false
	}
	x.replyBytes = size
	return true
}
