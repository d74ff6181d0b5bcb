package dtrelay

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/dottereltack/dottereltack/dottereltack/dthead"
)

// maxTrailerBytes is the size of the largest trailer that is read.
const maxTrailerBytes = 4 << 10

// readResponse reads the head of a response to a request with method, whose body has not been read. In contrast to http.ReadResponse it
// accepts only the heads that dthead does.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	head, err := dthead.Read(r, maxResponseHeadBytes)
	if errors.Is(err, dthead.ErrTooLarge) {
		return nil, errResponseHeadTooLarge
	}
	if err != nil {
		return nil, err
	}
	resp := &http.Response{StatusCode: head.Status, Header: head.Header, ContentLength: head.Length, Close: head.ClosesConnection(), Body: http.NoBody}
	if head.IsChunked {
		resp.TransferEncoding, resp.ContentLength = []string{"chunked"}, dthead.UnknownLength
	}
	switch {
	case !head.AllowsBody(method):
	case head.IsChunked:
		resp.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), r: r})
	case head.Length > 0:
		resp.Body = io.NopCloser(&sizedBody{r: r, remaining: head.Length})
	case head.Length < 0:
		resp.Body, resp.Close = io.NopCloser(r), true
	}
	return resp, nil
}

// sizedBody is a body with a length.
type sizedBody struct {
	r         *bufio.Reader
	remaining int64 // Bytes that have not been read.
}

// Read implements io.Reader. It returns io.EOF with the last bytes.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// chunkedBody is a body with chunked transfer coding. Its trailer is dropped.
type chunkedBody struct {
	chunks io.Reader
	r      *bufio.Reader // Source of chunks.
	end    error         // Of the body, or nil.
}

// Read implements io.Reader. Bytes that have come do not wait for the trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		return n, nil
	}
	if b.end = dthead.ReadTrailer(b.r, maxTrailerBytes); b.end == nil {
		b.end = io.EOF
	}
	return 0, b.end
}
