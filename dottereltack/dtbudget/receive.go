package dtbudget

import (
	"context"
	"net"
	"sync"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// ReceiveBuffers shares the memory of the kernel's receive buffers among connections of one kind. Its methods may be called by
// any goroutine; those of a nil ReceiveBuffers grant wide buffers.
type ReceiveBuffers struct {
	mu   sync.Mutex // Guards the next field.
	pool dtintake.ReceivePool
}

func newReceiveBuffers(limit int64) *ReceiveBuffers {
	return &ReceiveBuffers{pool: dtintake.ReceivePool{Limit: limit}}
}

// Take returns the buffer of a new connection.
func (b *ReceiveBuffers) Take() *ReceiveBuffer {
	if b == nil {
		return &ReceiveBuffer{Bytes: dtintake.WideReceiveBytes}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return &ReceiveBuffer{Bytes: b.pool.Take(), shared: b}
}

// Accept returns the buffer of a connection that has been accepted, and sets its size.
func (b *ReceiveBuffers) Accept(c net.Conn) *ReceiveBuffer {
	r := b.Take()
	dtsocket.SetReceiveBuffer(c, r.Bytes)
	return r
}

// Used returns the size of all buffers together, in bytes.
func (b *ReceiveBuffers) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Used
}

// Dial connects with a buffer of its own, which is to be returned once the connection has been closed.
func (b *ReceiveBuffers) Dial(ctx context.Context, d net.Dialer, address string) (net.Conn, *ReceiveBuffer, error) {
	buffer := b.Take()
	d = dtsocket.WithReceiveBuffer(d, buffer.Bytes)
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		buffer.Return()
		return nil, nil, err
	}
	return c, buffer, nil
}

// ReceiveBuffer is the kernel's receive buffer of a connection. The methods of a nil ReceiveBuffer do nothing.
type ReceiveBuffer struct {
	Bytes  int64
	shared *ReceiveBuffers // Nil if it is not shared.
	once   sync.Once
}

// Widen gives the connection c, whose buffer it is, a larger one, also beyond the limit; it must not be called after Return.
func (r *ReceiveBuffer) Widen(c net.Conn, bytes int64) {
	if r == nil || bytes <= r.Bytes {
		return
	}
	if r.shared != nil {
		r.shared.mu.Lock()
		r.shared.pool.Used += bytes - r.Bytes
		r.shared.mu.Unlock()
	}
	r.Bytes = bytes
	dtsocket.SetReceiveBuffer(c, bytes)
}

// Return gives the buffer back; calls after the first one do nothing.
func (r *ReceiveBuffer) Return() {
	if r == nil || r.shared == nil {
		return
	}
	r.once.Do(func() {
		r.shared.mu.Lock()
		r.shared.pool.Return(r.Bytes)
		r.shared.mu.Unlock()
	})
}
