package dtrelay

import (
	"bufio"
	"errors"
	"io"

	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// readBody reads the body of a request. What it takes is counted for holder, also after an error, until that is idle again.
func readBody(r *bufio.Reader, h *RequestHead, maxBytes int, holder *dtbudget.Holder) ([]byte, error) {
	if h.Length != chunkedLength {
		if h.Length > maxBytes {
			return nil, errBodyTooLarge
		}
		b := dtbudget.BodyBuffer{MaxBytes: h.Length, Holder: holder}
		if err := b.Fill(r); err != nil {
			return nil, err
		}
		return b.Bytes, nil
	}
	b := dtbudget.BodyBuffer{MaxBytes: maxBytes, Holder: holder}
	chunks := &chunkReader{r: r}
	err := b.Fill(chunks)
	if err == nil {
		err = chunks.awaitEnd()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b.Bytes, readTrailer(r, maxBytes)
}
