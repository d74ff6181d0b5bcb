package dtserver

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// TestReceiveBuffersOfServers guards against a kernel that holds whatever servers send while callers do not read, and against buffers
// that count on after their connections have been closed.
func TestReceiveBuffersOfServers(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	buffers := dtbudget.New(dtintake.Limits{ServerReceiveBytes: 4 * dtintake.WideReceiveBytes}).Servers()
	client := New("127.0.0.1:0", nil, WithReceiveBuffers(buffers))
	var sizes []int
	for range 3 {
		c, err := client.connect(t.Context(), &Request{Address: ln.Addr().String(), AtMostOnce: true})
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		sizes = append(sizes, receiveBuffer(c))
	}
	g.Expect(sizes).To(Equal([]int{dtintake.WideReceiveBytes, dtintake.WideReceiveBytes, dtintake.NarrowReceiveBytes}))
	g.Expect(buffers.Used()).To(BeEquivalentTo(2*dtintake.WideReceiveBytes + dtintake.NarrowReceiveBytes))
	c, err := client.connect(t.Context(), &Request{Address: ln.Addr().String(), AtMostOnce: true})
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = c.Close(), c.Close()
	g.Expect(buffers.Used()).To(BeEquivalentTo(2*dtintake.WideReceiveBytes + dtintake.NarrowReceiveBytes))
}

// receiveBuffer returns the size of the kernel's receive buffer of a connection.
func receiveBuffer(c *serverConn) int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	size := -1
	_ = raw.Control(func(fd uintptr) { size, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	return size
}
