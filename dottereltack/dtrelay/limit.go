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

// bodyBudget limits the memory for response bodies that are held at the same time, beyond a first
// part of each that is always held. It is part of the budget that is shared with requests.
type bodyBudget struct {
	used   atomic.Int64
	shared *dtbudget.Budget // Or nil.
}

// reserve reports whether n more bytes may be held; release must follow if so.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= maxHeldBodyBytes && b.shared.Reserve(n, n, time.Now()) {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) {
	b.used.Add(-n)
	b.shared.Release(n)
}

// readBody reads a body of at most maxResponseBytes. It returns the number of bytes reserved, which
// the caller must release after use, also after an error.
func (b *bodyBudget) readBody(r io.Reader) (body []byte, reserved int64, err error) {
	body = make([]byte, 0, readBufferBytes)
	for len(body) <= maxResponseBytes {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), maxResponseBytes+1) // One byte more shows that a body is too large.
			if size > freeBodyBytes && !b.reserve(size-reserved) {
				return nil, reserved, errBodiesTooLarge
			}
			if size > freeBodyBytes {
				reserved = size
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
	return nil, reserved, errResponseTooLarge
}

// discard reads and drops a body and reports whether it has ended within maxDiscardBytes.
func discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}
