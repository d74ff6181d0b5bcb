package dtsocket_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
)

// TestUnreadBytesAreBounded guards against a kernel that holds more of what a peer sends than the process has allowed, on
// connections that it has accepted or opened, before and after the buffer has been widened.
func TestUnreadBytesAreBounded(t *testing.T) {
	const narrow, wide = 8 << 10, 64 << 10
	for name, pair := range map[string]func(t *testing.T) (own, peer net.Conn){
		"accepted": func(t *testing.T) (own, peer net.Conn) {
			t.Helper()
			ln, err := dtsocket.Listen("127.0.0.1:0", narrow)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			return connect(t, ln, net.Dialer{})
		},
		"opened": func(t *testing.T) (own, peer net.Conn) {
			t.Helper()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			peer, own = connect(t, ln, dtsocket.WithReceiveBuffer(net.Dialer{}, narrow))
			return own, peer
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			own, peer := pair(t)
			for _, size := range []int{narrow, wide} {
				dtsocket.SetReceiveBuffer(own, int64(size))
				_ = own.SetReadDeadline(time.Now().Add(time.Millisecond))
				_, _ = own.Read(make([]byte, narrow)) // The kernel tells the peer of a wider buffer once something is read.
				flood(peer)
				g.Expect(unread(own)).To(And(BeNumerically(">", size/8), BeNumerically("<=", size)))
			}
		})
	}
}

// connect returns both sides of a connection.
func connect(t *testing.T, ln net.Listener, d net.Dialer) (accepted, opened net.Conn) {
	t.Helper()
	g := NewWithT(t)
	opened, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err = ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _, _ = opened.Close(), accepted.Close(), ln.Close() })
	return accepted, opened
}

// flood writes until nothing more is taken.
func flood(c net.Conn) {
	const patience = 300 * time.Millisecond
	block := make([]byte, 64<<10)
	for err := error(nil); err == nil; {
		_ = c.SetWriteDeadline(time.Now().Add(patience))
		_, err = c.Write(block)
	}
}

// unread returns the number of bytes that have arrived and have not been read.
func unread(c net.Conn) int {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n
}
