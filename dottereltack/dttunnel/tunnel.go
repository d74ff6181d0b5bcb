package dttunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// closeCheckInterval is how often the side of the other router is checked for its end while the server takes nothing.
const closeCheckInterval = 100 * time.Millisecond

// tunnel copies bytes between another router and a server.
type tunnel struct {
	router net.Conn
	server net.Conn

	mu             sync.Mutex // Guards the fields below, and the deadlines of server.
	writeEnd       time.Time  // Until then the server may take what is sent to it; zero while it has not ended its side.
	lastByteAt     time.Time  // In either direction.
	lastFromServer bool       // No request is in progress, unless the server pauses in its response.
	isStopping     bool
	isTold         bool // The other router has been told.
	hasDropped     bool // The server has not taken all that the other router has sent.
	hasEnded       bool // The server has ended its side in an orderly way.
}

func newTunnel(router, server net.Conn) *tunnel {
	return &tunnel{router: router, server: server, lastByteAt: time.Now(), lastFromServer: true}
}

// run copies in both directions until both sides have ended or ctx is done.
func (t *tunnel) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	_ = t.router.SetWriteDeadline(time.Time{})
	var wg conc.WaitGroup
	wg.Go(t.copyResponses)
	t.copyRequests()
	isTaken := t.isRequestTaken()
	_ = t.server.Close() // The other router has left, or is not waited for any longer; the server is to notice at once.
	wg.Wait()
	if t.hasEnded && !isTaken {
		t.writePart(make([]byte, lengthBytes), lostMark, 0)
	}
}

// isRequestTaken reports whether the server has acknowledged all that copyRequests has read. The kernel resets the other router's side if
// something is left unread.
func (t *tunnel) isRequestTaken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasDropped && unacknowledged(t.server) == 0
}

func (t *tunnel) close() {
	_ = t.router.Close()
	_ = t.server.Close()
}

// copyRequests copies what the other router sends until it has ended its side. What the server does not take is dropped, so
// that the end is seen.
func (t *tunnel) copyRequests() {
	buffer := make([]byte, maxPartBytes)
	for {
		n, err := t.router.Read(buffer)
		if n > 0 {
			t.noteBytes(false)
			if !t.writeServer(buffer[:n]) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// writeServer sends b to the server. It returns false if the other router has left before the server has taken it.
func (t *tunnel) writeServer(b []byte) bool {
	for {
		end := t.prepareWrite(time.Now())
		n, err := t.server.Write(b)
		b = b[n:]
		if err == nil {
			return true
		}
		isBusy := errors.Is(err, os.ErrDeadlineExceeded) && (end.IsZero() || time.Now().Before(end))
		hasLeft := isBusy && dtsocket.HasPeerClosed(t.router)
		if isBusy && !hasLeft {
			continue
		}
		t.noteDropped()
		return !hasLeft
	}
}

func (t *tunnel) noteDropped() {
	t.mu.Lock()
	t.hasDropped = true
	t.mu.Unlock()
}

// prepareWrite sets the write deadline of the server's side, and returns writeEnd.
func (t *tunnel) prepareWrite(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline := now.Add(closeCheckInterval)
	if !t.writeEnd.IsZero() && t.writeEnd.Before(deadline) {
		deadline = t.writeEnd
	}
	_ = t.server.SetWriteDeadline(deadline)
	return t.writeEnd
}

// copyResponses copies what the server sends, in parts, until it has ended its side, and then states how. The other
// router is given lingerTimeout to close its side. The kernel reports a reset only once: if copyRequests gets it, the server's
// side looks here as if it had ended in an orderly way.
func (t *tunnel) copyResponses() {
	buffer := make([]byte, lengthBytes+maxPartBytes)
	mark := uint16(endMark)
	for {
		n, err := t.readServer(buffer[lengthBytes:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = t.router.Close() // Not used; nothing is known of the server.
			return
		}
		if n > 0 && !t.writePart(buffer, uint16(n), n) { //nolint:gosec // At most maxPartBytes.
			_ = t.router.Close()
			return
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || !t.noteEnd() {
			mark = lostMark
		}
		break
	}
	if !t.writePart(buffer, mark, 0) {
		_ = t.router.Close()
		return
	}
	// A close could reset the connection and lose what is under way. After endMark the end of this side states that the request has been
	// taken.
	_ = t.router.SetReadDeadline(time.Now().Add(lingerTimeout))
	t.mu.Lock()
	t.writeEnd = time.Now().Add(lingerTimeout)
	t.mu.Unlock()
}

// noteEnd notes that the server has ended its side, and returns false if that was a reset.
func (t *tunnel) noteEnd() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasEnded = !t.hasDropped
	return t.hasEnded
}

// readServer reads from the server until a byte comes, or returns os.ErrDeadlineExceeded once the tunnel has not been used for too long. It
// tells the other router when this one is about to stop.
func (t *tunnel) readServer(buffer []byte) (int, error) {
	for {
		if !t.prepareRead() {
			return 0, net.ErrClosed
		}
		n, err := t.server.Read(buffer)
		if n > 0 {
			t.noteBytes(true)
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !t.isUsed(time.Now()) {
			return 0, err
		}
	}
}

// prepareRead sets the read deadline of the server's side, and tells the other router if this one is about to stop. It returns false
// if that fails.
func (t *tunnel) prepareRead() bool {
	t.mu.Lock()
	_ = t.server.SetReadDeadline(t.idleEnd())
	tells := t.isStopping && !t.isTold
	t.isTold = t.isStopping
	t.mu.Unlock()
	return !tells || t.writePart(make([]byte, lengthBytes), stoppingMark, 0)
}

// drain has the tunnel end once it is not used any more.
func (t *tunnel) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isStopping = true
	_ = t.server.SetReadDeadline(time.Now())
}

func (t *tunnel) noteBytes(fromServer bool) {
	t.mu.Lock()
	t.lastByteAt, t.lastFromServer = time.Now(), fromServer
	t.mu.Unlock()
}

// idleEnd returns when the tunnel ends if nothing comes. t.mu must be held.
func (t *tunnel) idleEnd() time.Time {
	if t.isStopping && t.lastFromServer {
		return t.lastByteAt.Add(maxIdleStopTime)
	}
	return t.lastByteAt.Add(maxIdleTime)
}

// isUsed reports whether the tunnel has been used lately, or the other router has to be told something.
func (t *tunnel) isUsed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.idleEnd()) || t.isStopping && !t.isTold
}

// writePart sends n bytes of the buffer after length, or the mark in its place.
func (t *tunnel) writePart(buffer []byte, length uint16, n int) bool {
	binary.BigEndian.PutUint16(buffer, length)
	_ = t.router.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := t.router.Write(buffer[:lengthBytes+n])
	return err == nil
}
