package dtrelay

import (
	"bufio"
	"errors"
	"io"
	"time"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// initialBodyBytes is the first size of a body's buffer, which doubles as bytes arrive: an announced length takes no memory.
const initialBodyBytes = 16 << 10

// errNoRoom is returned for a body that the memory budget has no room for.
var errNoRoom = errors.New("no room for the request body")

// readBody reads the body of a request. What it takes is counted for holder, also after an error, until that is idle again.
func readBody(r *bufio.Reader, h *RequestHead, maxBytes int, holder *dtbudget.Holder) ([]byte, error) {
	if h.Length != chunkedLength {
		if h.Length > maxBytes {
			return nil, errBodyTooLarge
		}
		b := bodyBuffer{maxBytes: h.Length, holder: holder}
		if err := b.readFrom(r); err != nil {
			return nil, err
		}
		return b.bytes, nil
	}
	b := bodyBuffer{maxBytes: maxBytes, holder: holder}
	chunks := &chunkReader{r: r}
	err := b.readFrom(chunks)
	if err == nil {
		err = chunks.awaitEnd()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b.bytes, readTrailer(r, maxBytes)
}

// bodyBuffer collects a body.
type bodyBuffer struct {
	bytes    []byte
	maxBytes int
	holder   *dtbudget.Holder
}

// readFrom reads until maxBytes have been read, or returns the error of r.
func (b *bodyBuffer) readFrom(r io.Reader) error {
	b.bytes = []byte{}
	for len(b.bytes) < b.maxBytes {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return errNoRoom
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		b.holder.Progress(int64(n), time.Now())
		if err != nil && len(b.bytes) < b.maxBytes {
			return err
		}
	}
	return nil
}

// grow doubles the capacity, and reports whether there is room for it. The earlier buffer is counted while it is copied.
func (b *bodyBuffer) grow() bool {
	size := min(max(2*cap(b.bytes), initialBodyBytes), b.maxBytes)
	if !b.holder.Grow(int64(size), time.Now()) {
		return false
	}
	earlier := cap(b.bytes)
	if earlier <= dtintake.SmallBytes && size > dtintake.SmallBytes {
		b.holder.Widen()
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	b.holder.Shrink(int64(earlier))
	return true
}
