package dtrelay

import (
	"bufio"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// closeCheckInterval is how often a connection whose buffer is full is checked for its end.
const closeCheckInterval = 100 * time.Millisecond

// callerWatch notices the end of a caller's connection while its request is served. Bytes that follow the request stay in
// the buffer of the connection.
type callerWatch struct {
	caller *callerConn
	done   chan struct{} // Closed once the request has been served.

	mu      sync.Mutex // Guards the fields below.
	isEnded bool       // The request has been served.
	hasNext bool       // Bytes have arrived behind it.
}

func newCallerWatch(c *callerConn) *callerWatch {
	return &callerWatch{caller: c, done: make(chan struct{}), hasNext: c.reader.Buffered() > 0}
}

// run waits until the request has been served and the next one has begun to arrive. It returns an error as soon as the
// connection has ended.
func (w *callerWatch) run() error {
	reader := w.caller.reader
	for {
		_, err := reader.Peek(reader.Buffered() + 1)
		switch {
		case err == nil && w.noteBytes():
			return nil
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			return w.awaitClose()
		case errors.Is(err, os.ErrDeadlineExceeded) && reader.Buffered() > 0:
			<-w.done // The deadline has been set by end.
			return nil
		default:
			return err
		}
	}
}

// noteBytes records that bytes have arrived, and reports whether the request has been served.
func (w *callerWatch) noteBytes() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasNext = true
	return w.isEnded
}

// awaitClose waits, without reading, until the request has been served or the connection has ended.
func (w *callerWatch) awaitClose() error {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return nil
		case <-ticker.C:
			if dtsocket.HasPeerClosed(w.caller.Conn) {
				return errCallerClosed
			}
		}
	}
}

// end states that the request has been served, and that the next one is due after idleTimeout.
func (w *callerWatch) end(idleTimeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isEnded = true
	now := time.Now()
	if w.hasNext {
		_ = w.caller.SetReadDeadline(now)
	} else {
		_ = w.caller.SetReadDeadline(now.Add(idleTimeout))
	}
	close(w.done)
}

// hasCallerLeft reports whether the caller has disconnected before the request was sent, and sets the outcome then. The goroutine
// that watches the connection may be late, as after the process has stood still.
func (a *attempt) hasCallerLeft() bool {
	if !a.exchange.hasCallerLeft() {
		return false
	}
	a.setOutcome(dtdispatch.OutcomeCallerGone, errCallerClosed)
	return true
}
