package dtrelay

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// streamBuffer is how many bytes of a stream are read at a time.
const streamBuffer = 4 << 10

// errCaller says that an answer could not be written to its caller.
var errCaller = errors.New("caller does not read")

// stream passes a series of events on as they come; only whole events are sent, so
// that the series can go on at another server.
func (a *attempt) stream() {
	a.x.relay.control.Post(dtdispatch.ResponseStarted{Number: a.send.Number, Attempt: a.send.Attempt, Report: a.reply.Report})
	a.ended.Report = nil
	events := splitter{}
	after := ""
	if a.x.begun {
		after = a.x.after
	}
	buffer := make([]byte, streamBuffer)
	for {
		_ = a.conn.SetReadDeadline(a.silentAt())
		n, err := a.resp.Body.Read(buffer)
		events.add(buffer[:n])
		if failed := a.forward(events.whole(after), events.last); failed != nil {
			a.end(dtdispatch.OutcomeCallerLeft, failed)
			a.x.last = true
			return
		}
		if errors.Is(err, io.EOF) {
			a.finish(&events)
			return
		}
		if err != nil {
			a.broken(err)
			return
		}
	}
}

// silentAt returns until when the next bytes of a stream must have come.
func (a *attempt) silentAt() time.Time {
	switch {
	case !a.x.begun:
		return a.send.HeadDeadline
	case a.send.StreamIdleTimeout <= 0:
		return a.send.Deadline
	}
	at := time.Now().Add(a.send.StreamIdleTimeout)
	if at.After(a.send.Deadline) {
		return a.send.Deadline
	}
	return at
}

// forward sends whole events to the caller, with the answer's head before the first.
func (a *attempt) forward(events []byte, last string) error {
	if len(events) == 0 {
		return nil
	}
	x := a.x
	x.startStream(a)
	x.caller.addChunk(events)
	x.after = last
	if err := x.caller.flush(); err != nil {
		x.hangUp()
		return errCaller
	}
	return nil
}

// startStream adds the head of the answer if it was not sent yet.
func (x *exchange) startStream(a *attempt) {
	if x.begun {
		return
	}
	x.begun = true
	x.endConnection()
	fields := answerFields(a.resp.Header)
	if x.last {
		fields = append(fields, Field{Name: "Connection", Value: "close"})
	}
	x.caller.startHead(a.resp.StatusCode, fields)
	x.caller.addField("Transfer-Encoding", "chunked")
	x.caller.out.WriteString("\r\n")
}

// finish ends the answer, unless the server stopped in the middle of an event.
func (a *attempt) finish(events *splitter) {
	if len(events.buffer) > 0 {
		a.broken(io.ErrUnexpectedEOF)
		return
	}
	x := a.x
	x.startStream(a)
	x.caller.addChunk(nil)
	if err := x.caller.flush(); err != nil {
		x.hangUp()
		a.end(dtdispatch.OutcomeCallerLeft, errCaller)
		x.last = true
		return
	}
	a.usable = true
	a.end(dtdispatch.OutcomeServed, nil)
}

// isTransport says whether an error came from the connection and not from what it
// brought.
func isTransport(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed)
}
