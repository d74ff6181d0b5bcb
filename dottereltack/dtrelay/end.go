package dtrelay

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// confirmEnd reports whether the response, all of which has been read, is complete, and sets the outcome if it is not. The
// reducer decides if it has ended with its connection.
func (a *attempt) confirmEnd() bool {
	if framingOf(a.resp) != dtdispatch.FramingClose {
		return true
	}
	if !a.isRequestTaken() {
		a.setOutcome(dtdispatch.OutcomeConnectionLost, errRequestNotRead)
		return false
	}
	closed := dtdispatch.ResponseClosed{Number: a.send.Number, Attempt: a.send.Attempt, Via: a.result.Via, ConnectedAt: a.result.ConnectedAt}
	if a.send.Streaming {
		closed.LastEvent = a.exchange.lastEventID
	}
	a.exchange.relay.events.Post(closed)
	select {
	case e := <-a.exchange.effects:
		if _, isComplete := e.(dtdispatch.CompleteResponse); isComplete {
			return true
		}
		if end, isEnd := e.(dtdispatch.EndAttempt); isEnd && end.ServerGone {
			a.setOutcome(dtdispatch.OutcomeConnectionLost, errServerGone)
			return false
		}
		a.setOutcome(dtdispatch.OutcomeUnconfirmed, errEndUnconfirmed)
	case <-a.exchange.ctx.Done():
		a.exchange.cancelAttempt()
		a.setOutcome(dtdispatch.OutcomeCallerGone, nil)
	}
	return false
}

// isRequestTaken reports whether the kernel of the server has all of the request, and ends its writing. The kernel reports a reset only
// once: if the writing thread gets it, the connection looks to the reading one as if the server had closed it. A server that
// has read a request before it closes acknowledges it with that.
func (a *attempt) isRequestTaken() bool {
	if a.bodyWriteErr != nil {
		_ = a.conn.SetWriteDeadline(time.Now())
		err := <-a.bodyWriteErr
		a.bodyWriteErr <- err
		if err != nil {
			return false
		}
	}
	if tunnel, ok := a.conn.Conn.(*dttunnel.Conn); ok {
		return tunnel.ConfirmTaken(earlier(a.send.Deadline, time.Now().Add(unackedTimeout)))
	}
	return dtsocket.Unacknowledged(a.conn.Conn) == 0
}
