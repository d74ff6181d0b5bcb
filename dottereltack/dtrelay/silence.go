package dtrelay

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// patientReader reads on after a timeout if the owner of the connection extends the read deadline. It is below all
// parsers, which can't go on after an error.
type patientReader struct {
	r      io.Reader
	extend func() bool // Extends the deadline or returns false; nil if a timeout is final.
}

// Read implements io.Reader.
func (p *patientReader) Read(b []byte) (int, error) {
	for {
		n, err := p.r.Read(b)
		if n > 0 || p.extend == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !p.extend() {
			return n, err
		}
	}
}

// extendDeadline reports the silence of the server and extends the read deadline if the reducer wants to wait on.
func (a *attempt) extendDeadline() bool {
	if !time.Now().Before(a.send.Deadline.Add(-deadlineMargin)) {
		return false
	}
	a.exchange.relay.events.Post(dtdispatch.AttemptSilent{Number: a.send.Number, Attempt: a.send.Attempt})
	select {
	case e := <-a.exchange.effects:
		wait, isPatient := e.(dtdispatch.KeepWaiting)
		if !isPatient {
			return false
		}
		a.waitUntil = earlier(wait.Until, a.send.Deadline)
	case <-a.exchange.ctx.Done():
		return false
	}
	return a.conn.SetReadDeadline(a.waitUntil) == nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
