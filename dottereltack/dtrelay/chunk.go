package dtrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Limits of chunked transfer coding.
const (
	maxChunkDigits    = 8        // Of a size, in hexadecimal.
	maxExtensionBytes = 16 << 10 // Of all chunks of a body, which are dropped.
	smallChunkBytes   = len("1\r\nb\r\n")
)

// errMalformedChunk is returned for a body whose chunked transfer coding is malformed.
var errMalformedChunk = errors.New("malformed chunk")

// chunkReader decodes chunked transfer coding up to the line of the last chunk. Like readRequestHead it accepts only lines
// that end in CR LF. Chunks of a few bytes are decoded in the buffer, so that a body of one-byte chunks costs little more
// than its bytes on the wire.
type chunkReader struct {
	r              *bufio.Reader
	remaining      int // Bytes of the current chunk that have not been read.
	inChunk        bool
	extensionBytes int
}

// Read implements io.Reader. It returns io.EOF after the last chunk.
func (c *chunkReader) Read(p []byte) (int, error) {
	if !c.inChunk {
		if n := c.readSmallChunks(p); n > 0 {
			return n, nil
		}
		if err := c.startChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if c.remaining > 0 || err != nil {
		return n, unexpectedEOF(err)
	}
	return n, c.endChunk()
}

// readSmallChunks decodes the chunks with one digit in their size that are complete in the buffer and fit into p.
func (c *chunkReader) readSmallChunks(p []byte) int {
	buffer, _ := c.r.Peek(c.r.Buffered())
	n, used := 0, 0
	for len(buffer)-used >= smallChunkBytes {
		chunk := buffer[used:]
		size := hexDigit(chunk[0])
		if size <= 0 || chunk[1] != '\r' || chunk[2] != '\n' || len(chunk) < size+5 || len(p)-n < size || chunk[size+3] != '\r' || chunk[size+4] != '\n' {
			break
		}
		n += copy(p[n:], chunk[3:size+3])
		used += size + 5
	}
	_, _ = c.r.Discard(used)
	return n
}

// startChunk reads the line with the size of the next chunk. It returns io.EOF if that is the last one.
func (c *chunkReader) startChunk() error {
	line, _, err := readLine(c.r, callerBufferBytes)
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errMalformedHead):
		return errMalformedChunk
	case err != nil:
		return unexpectedEOF(err)
	}
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	c.extensionBytes += len(extension)
	if len(digits) == 0 || len(digits) > maxChunkDigits || c.extensionBytes > maxExtensionBytes {
		return errMalformedChunk
	}
	size := 0
	for _, d := range digits {
		v := hexDigit(d)
		if v < 0 {
			return errMalformedChunk
		}
		size = size<<4 | v
	}
	if size == 0 {
		return io.EOF
	}
	c.remaining, c.inChunk = size, true
	return nil
}

// endChunk reads the line end after the bytes of a chunk.
func (c *chunkReader) endChunk() error {
	var end [2]byte
	if _, err := io.ReadFull(c.r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if end != [2]byte{'\r', '\n'} {
		return errMalformedChunk
	}
	c.inChunk = false
	return nil
}

// awaitEnd returns io.EOF if the last chunk follows, and errBodyTooLarge if there is one more byte.
func (c *chunkReader) awaitEnd() error {
	if !c.inChunk {
		if err := c.startChunk(); err != nil {
			return err
		}
	}
	return errBodyTooLarge
}

// unexpectedEOF returns err, which must not look like the end of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
