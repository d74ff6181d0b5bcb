package dtsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes the connection when sent
// data stays unacknowledged for longer than timeout; it does nothing if c is not a TCP
// connection.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Peek copies unread data of the socket to b, without waiting or consuming any, and returns its length, which is zero if
// c is not a TCP connection.
func Peek(c net.Conn, b []byte) int {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return 0
	}
	n := 0
	_ = raw.Read(func(fd uintptr) bool {
		n, _, _ = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return max(n, 0)
}

// IsIdle reports whether the peer has neither closed the connection nor sent data that is
// still unread in the socket, without consuming any data; it returns true if c is not a TCP
// connection.
func IsIdle(c net.Conn) bool {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return err == nil
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errno == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// HasPeerClosed reports whether the peer has closed or reset the connection, also if there is unread data before that; it returns
// false if c is not a TCP connection.
func HasPeerClosed(c net.Conn) bool {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // As of TLS.
		c = wrapped.NetConn()
	}
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return false
	}
	hasClosed := false
	err = raw.Control(func(fd uintptr) {
		const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // A file descriptor.
		n, pollErr := unix.Poll(fds, 0)
		hasClosed = pollErr == nil && n > 0 && fds[0].Revents&end != 0
	})
	return err == nil && hasClosed
}

// Unacknowledged returns the number of bytes that were written to the socket and that the kernel of the peer has not
// acknowledged, which is zero if c is not a TCP connection.
func Unacknowledged(c net.Conn) int {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return max(n, 0)
}

// ResetIfUnacknowledged has the closing of a connection reset it if the peer has not acknowledged all that was written, which the
// kernel would still deliver; it does nothing if c is not a TCP connection. An end in order is sent again until it has arrived, which a
// reset is not.
func ResetIfUnacknowledged(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && Unacknowledged(c) > 0 {
		_ = tcp.SetLinger(0)
	}
}

// rawConn returns the syscall.RawConn of a TCP connection, or nil for any other
// connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, nil
	}
	return tcp.SyscallConn()
}
