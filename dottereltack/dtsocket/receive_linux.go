package dtsocket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelFactor is how many bytes the kernel reserves for each byte of SO_RCVBUF.
const kernelFactor = 2

// SetReceiveBuffer bounds what the kernel holds of what has arrived on c and has not been read, in bytes; it does nothing if c is
// no TCP connection or listener. A buffer may be widened at any time. One that is narrowed drops what the peer had been allowed to send.
func SetReceiveBuffer(c any, bytes int64) {
	tcp, ok := c.(syscall.Conn)
	if wrapped, isWrapped := c.(interface{ NetConn() net.Conn }); isWrapped {
		tcp, ok = wrapped.NetConn().(syscall.Conn)
	}
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		setReceiveBuffer(raw, bytes)
	}
}

// setReceiveBuffer sets the size if the kernel lets it. A connection without it works as well, and is only bounded later.
func setReceiveBuffer(raw syscall.RawConn, bytes int64) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(bytes/kernelFactor))
	})
}

// WithReceiveBuffer returns d with connections whose receive buffers have a size in bytes, as SetReceiveBuffer sets it.
func WithReceiveBuffer(d net.Dialer, bytes int64) net.Dialer {
	inner := d.ControlContext
	d.ControlContext = func(ctx context.Context, network, address string, raw syscall.RawConn) error {
		setReceiveBuffer(raw, bytes)
		if inner != nil {
			return inner(ctx, network, address, raw)
		}
		return nil
	}
	return d
}

// Listen listens on a TCP address. The connections that it accepts have receive buffers of a size in bytes, as
// SetReceiveBuffer sets it, also while they wait to be accepted.
func Listen(address string, bytes int64) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err == nil {
		SetReceiveBuffer(ln, bytes) // The connections inherit it.
	}
	return ln, err
}
