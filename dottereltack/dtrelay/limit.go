package dtrelay

import (
	"bytes"
	"errors"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// headLimiter limits the bytes and lines that are read while the head of a response is awaited. A parsed field takes
// far more memory than its bytes.
type headLimiter struct {
	r              io.Reader
	remaining      int64
	remainingLines int
}

// start limits what is read until stop is called.
func (l *headLimiter) start() {
	l.remaining, l.remainingLines = maxResponseHeadBytes, maxResponseHeadLines
}

func (l *headLimiter) stop() { l.remaining, l.remainingLines = math.MaxInt64, math.MaxInt }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 || l.remainingLines <= 0 {
		return 0, errResponseHeadTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	l.remainingLines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// bodyBudget limits the memory for response bodies that are held at the same time. All of it is part of the budget that is
// shared with requests; what large ones hold is limited further.
type bodyBudget struct {
	used   atomic.Int64     // By those that hold more than freeBodyBytes.
	shared *dtbudget.Budget // Or nil.
}

// heldBytes is what responses hold, in bytes.
type heldBytes struct {
	total int64
	large int64 // Of total, by those that hold more than freeBodyBytes.
}

func (h *heldBytes) add(other heldBytes) {
	h.total += other.total
	h.large += other.large
}

// grow reports whether a response that holds what h says may hold more, as in next; release must follow if so.
func (b *bodyBudget) grow(h *heldBytes, next heldBytes) bool {
	if b.used.Add(next.large-h.large) > maxHeldBodyBytes || !b.shared.Reserve(next.total-h.total, next.total, time.Now()) {
		b.used.Add(h.large - next.large)
		return false
	}
	*h = next
	return true
}

// largePart returns bytes if a body or event of a size is large, or else zero.
func largePart(size, bytes int64) int64 {
	if size > freeBodyBytes {
		return bytes
	}
	return 0
}

func (b *bodyBudget) release(h heldBytes) {
	b.used.Add(-h.large)
	b.shared.Release(h.total)
}

// readBody reads a body of at most maxResponseBytes. It returns what it has reserved, which
// the caller must release after use, also after an error.
func (b *bodyBudget) readBody(r io.Reader) (body []byte, held heldBytes, err error) {
	body = make([]byte, 0, readBufferBytes) // Counted with the connection.
	for len(body) <= maxResponseBytes {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), maxResponseBytes+1) // One byte more shows that a body is too large.
			if !b.grow(&held, heldBytes{total: size, large: largePart(size, size)}) {
				return nil, held, errBodiesTooLarge
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			return nil, held, err
		}
	}
	return nil, held, errResponseTooLarge
}

// discard reads and drops a body and reports whether it has ended within maxDiscardBytes.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}
