package dtbudget

import (
	"errors"
	"io"
	"time"

	"github.com/dottereltack/dottereltack/core/dtintake"
)

// ErrNoRoom is returned for a body that the memory budget has no room for.
var ErrNoRoom = errors.New("no room for the request body")

// Sizes of a body's buffer.
const (
	initialBodyBytes   = 16 << 10 // It doubles as bytes arrive: an announced length takes no memory.
	progressBlockBytes = 1 << 10  // Progress is reported in blocks of this size, or a body of tiny chunks would report each.
)

// BodyBuffer collects the body of a request. What it takes is counted for the holder, also after an error, until that is idle
// again.
type BodyBuffer struct {
	Bytes    []byte
	MaxBytes int
	Holder   *Holder
	pending  int // Bytes whose progress has not been reported.
}

// Fill reads until MaxBytes have been read, or returns the error of r.
func (b *BodyBuffer) Fill(r io.Reader) error {
	b.Bytes = []byte{}
	for len(b.Bytes) < b.MaxBytes {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow() {
			return ErrNoRoom
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		b.reportProgress(n)
		if err != nil && len(b.Bytes) < b.MaxBytes {
			return err
		}
	}
	return nil
}

func (b *BodyBuffer) reportProgress(n int) {
	if b.pending += n; b.pending >= progressBlockBytes {
		b.Holder.Progress(int64(b.pending), time.Now())
		b.pending = 0
	}
}

// grow doubles the capacity, and reports whether there is room for it. The earlier buffer is counted while it is copied.
func (b *BodyBuffer) grow() bool {
	earlier := cap(b.Bytes)
	size := min(max(2*earlier, initialBodyBytes), b.MaxBytes)
	if !b.Holder.Grow(int64(size), time.Now()) {
		return false
	}
	if earlier <= dtintake.SmallBytes && size > dtintake.SmallBytes {
		b.Holder.Widen()
	}
	b.Bytes = append(make([]byte, 0, size), b.Bytes...)
	b.Holder.Shrink(int64(earlier))
	return true
}
