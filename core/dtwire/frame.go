package dtwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// MaxFrameBytes is the largest frame body that is sent or accepted.
const MaxFrameBytes = 4 << 20

// ErrFrameSize is returned for a frame that is empty or larger than MaxFrameBytes.
var ErrFrameSize = errors.New("frame size out of bounds")

const lengthPrefixBytes = 4

// WriteFrame writes the length of body as four big-endian bytes, then body itself.
func WriteFrame(w *bufio.Writer, body []byte) error {
	if len(body) == 0 || len(body) > MaxFrameBytes {
		return ErrFrameSize
	}
	var header [lengthPrefixBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// ReadFrame reads one frame and returns its body, or ErrFrameSize without reading the body if
// the frame is empty or too large.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	var header [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > MaxFrameBytes {
		return nil, ErrFrameSize
	}
	return readBody(r, int(n))
}

// initialBodyBytes is the first size of a frame's buffer, which doubles as bytes arrive: an announced length takes no memory.
const initialBodyBytes = 64 << 10

func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, initialBodyBytes))
	for read := 0; ; {
		m, err := io.ReadFull(r, body[read:])
		read += m
		if err != nil || read == n {
			return body[:read], err
		}
		body = append(make([]byte, 0, min(2*len(body), n)), body...)
		body = body[:cap(body)]
	}
}
