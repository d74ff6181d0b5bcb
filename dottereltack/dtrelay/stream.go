package dtrelay

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Memory that a stream takes.
const (
	streamBufferBytes = 4 << 10 // Of its read buffer.
	eventCopies       = 3       // Of an event: as it arrives, once it is complete, and as a chunk for the caller.
)

// errCallerWrite is returned if a response can't be written to the caller.
var errCallerWrite = errors.New("write to caller failed")

// errCallerClosed is returned if a caller has closed its connection.
var errCallerClosed = errors.New("caller has closed its connection")

// errAttemptEnded is returned if the reducer has ended the attempt.
var errAttemptEnded = errors.New("attempt ended while its stream was held")

// forwardStream forwards server-sent events as they arrive. Only complete events are sent,
// so that another server can resume the stream.
func (a *attempt) forwardStream() {
	events := eventSplitter{}
	afterID := a.exchange.lastEventID
	buffer := make([]byte, streamBufferBytes)
	progressAt := time.Now()
	for {
		_ = a.conn.SetReadDeadline(a.readDeadline(progressAt))
		n, err := a.resp.Body.Read(buffer)
		events.write(buffer[:n])
		lastID := events.lastID
		complete, eventErr := events.takeComplete(afterID)
		writeErr := a.forwardEvents(complete, events.lastID)
		if errors.Is(writeErr, errAttemptEnded) {
			a.setOutcome(dtdispatch.OutcomeUnconfirmed, writeErr)
			return
		}
		if writeErr != nil {
			a.setOutcome(dtdispatch.OutcomeCallerGone, writeErr)
			a.exchange.closeAfterResponse = true
			return
		}
		if eventErr != nil {
			a.setOutcome(dtdispatch.OutcomeMalformed, eventErr)
			return
		}
		if events.lastID != lastID {
			progressAt = time.Now()
		}
		if err := a.reserveEvents(events.size()); err != nil {
			a.setOutcome(dtdispatch.OutcomeMalformed, err)
			return
		}
		if errors.Is(err, io.EOF) {
			a.finishStream(&events)
			return
		}
		if err != nil {
			a.setTransportOutcome(err)
			return
		}
	}
}

// reserveEvents reserves memory for n bytes of a stream that can't be forwarded yet, or returns an error if these
// are too many. What is reserved is released with the exchange.
func (a *attempt) reserveEvents(n int64) error {
	if n > maxEventBytes {
		return errEventTooLarge
	}
	if n <= streamBufferBytes || eventCopies*n <= a.heldEvents.total {
		return nil
	}
	size := 2 * n // Appending may double the capacity.
	earlier := a.heldEvents
	if !a.exchange.relay.bodies.grow(&a.heldEvents, heldBytes{total: eventCopies * size, large: largePart(n, size)}) {
		return errBodiesTooLarge
	}
	a.exchange.held.add(heldBytes{total: a.heldEvents.total - earlier.total, large: a.heldEvents.large - earlier.large})
	return nil
}

// readDeadline returns the time by which the next event of a stream is due, the last one having
// arrived at progressAt. Bytes that complete no event do not extend it, or a server that has stalled
// could hold the stream with one byte now and then.
func (a *attempt) readDeadline(progressAt time.Time) time.Time {
	deadline := progressAt.Add(a.send.StreamIdleTimeout)
	switch {
	case !a.exchange.headSent:
		deadline = a.send.HeaderDeadline
	case a.send.StreamIdleTimeout <= 0:
		return a.send.Deadline
	}
	if a.waitUntil.After(deadline) {
		deadline = a.waitUntil
	}
	return earlier(deadline, a.send.Deadline)
}

// forwardEvents sends complete events to the caller, with the response head before the
// first.
func (a *attempt) forwardEvents(events []byte, lastID string) error {
	if len(events) == 0 {
		return nil
	}
	a.postResponseStarted()
	x := a.exchange
	if err := a.awaitForward(); err != nil {
		return err
	}
	x.startStream(a)
	if x.head.IsHTTP10 {
		x.caller.out.Write(events)
	} else {
		x.caller.addChunk(events)
	}
	x.lastEventID, x.endInDoubt = lastID, false
	if err := x.caller.flush(); err != nil {
		x.cancelAttempt()
		return errCallerWrite
	}
	return nil
}

// awaitForward waits until the stream may be forwarded, and returns an error if the reducer ends the attempt or the
// caller disconnects before.
func (a *attempt) awaitForward() error {
	if !a.send.HoldStream || a.mayForward {
		return nil
	}
	select {
	case e := <-a.exchange.effects:
		if _, isEnd := e.(dtdispatch.EndAttempt); isEnd {
			return errAttemptEnded
		}
		a.mayForward = true
		return nil
	case <-a.exchange.ctx.Done():
		a.exchange.cancelAttempt()
		return errCallerWrite
	}
}

// postResponseStarted tells the reducer that the first event has arrived.
func (a *attempt) postResponseStarted() {
	if a.result.Progress == dtdispatch.ProgressEvents {
		return
	}
	a.result.Progress = dtdispatch.ProgressEvents
	a.exchange.relay.events.Post(dtdispatch.ResponseStarted{Number: a.send.Number, Attempt: a.send.Attempt, Report: a.result.Report, ConnectedAt: a.conn.openedAt, Reconnected: a.conn.replaces, ServerStart: a.conn.start})
	a.result.Report = nil
}

// startStream adds the head of the response to the buffer unless it has been sent.
func (x *exchange) startStream(a *attempt) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.applyKeepAlive()
	fields := responseFields(a.resp.Header)
	if x.closeAfterResponse {
		fields = append(fields, HeaderField{Name: "Connection", Value: "close"})
	}
	x.caller.startHead(a.resp.StatusCode, fields)
	if x.head.IsHTTP10 {
		x.caller.setResetOnClose(true) // The end of the connection would end the body.
	} else {
		x.caller.addField("Transfer-Encoding", "chunked")
	}
	x.caller.out.WriteString("\r\n")
}

// endStream writes the end of the body to the caller.
func (x *exchange) endStream() error {
	if !x.head.IsHTTP10 {
		x.caller.addChunk(nil)
	}
	err := x.caller.flush()
	if err == nil && x.head.IsHTTP10 {
		x.caller.setResetOnClose(false)
	}
	return err
}

// isAtEnd reports whether a response without a new event states that the caller has all events of the stream: one who has
// taken it up, or whose first server has ended it and could not be asked whether that was the end.
func (a *attempt) isAtEnd(events *eventSplitter) bool {
	x := a.exchange
	return (!x.headSent || x.endInDoubt) && len(events.held) == 0 && framingOf(a.resp) != dtdispatch.FramingClose && (events.lastID == "" || events.lastID == x.lastEventID)
}

// finishStream ends the response. The attempt fails if the server stopped in the middle
// of an event, is gone, or was to go on with a stream and had no event for it.
func (a *attempt) finishStream(events *eventSplitter) {
	if len(events.buffer) > 0 {
		a.setTransportOutcome(io.ErrUnexpectedEOF)
		return
	}
	if a.isResumed && a.result.Progress != dtdispatch.ProgressEvents && !a.isAtEnd(events) {
		a.setOutcome(dtdispatch.OutcomeMalformed, errNoEvent)
		return
	}
	x := a.exchange
	if !a.confirmEnd() {
		x.endInDoubt = a.result.Progress == dtdispatch.ProgressEvents
		return
	}
	x.startStream(a)
	if err := x.endStream(); err != nil {
		x.cancelAttempt()
		a.setOutcome(dtdispatch.OutcomeCallerGone, errCallerWrite)
		x.closeAfterResponse = true
		return
	}
	a.reusable = true
	a.setOutcome(dtdispatch.OutcomeCompleted, nil)
}

// isTransportError reports whether err is a failure of the connection rather than of the
// received data.
func isTransportError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed)
}
