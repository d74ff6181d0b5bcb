package dtbudget

import (
	"io"
	"net"
	"time"
)

// Discard drops what arrives on a connection for at most timeout and maxBytes, and until nothing has arrived for a while. Closing a
// connection with unread data resets it, and the caller might not receive the last response.
func (h *Holder) Discard(c net.Conn, timeout time.Duration, maxBytes int) {
	const stallTimeout, blockBytes = 200 * time.Millisecond, 64 << 10
	end := time.Now().Add(timeout)
	for range maxBytes / blockBytes {
		now := time.Now()
		deadline := now.Add(stallTimeout)
		if deadline.After(end) {
			deadline = end
		}
		_ = c.SetReadDeadline(deadline)
		n, err := io.CopyN(io.Discard, c, blockBytes)
		h.Progress(n, now)
		if err != nil {
			return
		}
	}
}
