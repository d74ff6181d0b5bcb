package dtproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack-stand/dtproxy"
)

// TestConnectionDoesNotGoOnAfterAGap guards against faults that TCP does not have: the end of a one-way cut let the later
// bytes of a connection pass, after those that the cut had discarded.
func TestConnectionDoesNotGoOnAfterAGap(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	p, err := dtproxy.New("127.0.0.1:0", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	p.Start()
	defer p.Stop()

	caller, err := net.Dial("tcp", p.Address)
	g.Expect(err).NotTo(HaveOccurred())
	target, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	send := func(text string) {
		_, _ = io.WriteString(target, text)
		time.Sleep(50 * time.Millisecond) // Until the proxy has read it.
	}
	send("first ")
	p.SetMode(dtproxy.ModeOneWay, 0)
	send("second ")
	p.SetMode(dtproxy.ModePass, 0)
	send("third")
	_ = target.Close()

	_ = caller.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	received, err := io.ReadAll(caller)
	g.Expect(string(received)).To(Equal("first "))
	g.Expect(err).To(HaveOccurred(), "the end of the connection is not seen after a gap")
}

// TestCutOfSourcesHoldsOrLosesData guards against cuts that strike the wrong direction or other connections, and against data that
// a cut should hold and loses, or should lose and forwards.
func TestCutOfSourcesHoldsOrLosesData(t *testing.T) {
	for _, holds := range []bool{true, false} {
		g := NewWithT(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		p, err := dtproxy.New("127.0.0.1:0", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		p.Start()
		defer p.Stop()

		var callers, targets []net.Conn
		for _, source := range []string{"127.0.7.1", "127.0.7.2"} {
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
			caller, err := d.Dial("tcp", p.Address)
			g.Expect(err).NotTo(HaveOccurred())
			target, err := ln.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			callers, targets = append(callers, caller), append(targets, target)
		}
		send := func(c net.Conn, text string) {
			_, _ = io.WriteString(c, text)
			time.Sleep(50 * time.Millisecond) // Until the proxy has read it.
		}
		receive := func(c net.Conn) string {
			buf := make([]byte, 100)
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			n, _ := c.Read(buf)
			return string(buf[:n])
		}
		p.CutSource("127.0.7.1:", dtproxy.Cut{ToTarget: true, Holds: holds})
		for i := range callers {
			send(callers[i], "request")
			send(targets[i], "response")
		}
		g.Expect(receive(targets[0])).To(BeEmpty())
		g.Expect(receive(callers[0])).To(Equal("response"))
		g.Expect(receive(targets[1])).To(Equal("request"))
		p.CutSource("127.0.7.1:", dtproxy.Cut{})
		if holds {
			g.Expect(receive(targets[0])).To(Equal("request"))
			continue
		}
		send(callers[0], "another request")
		g.Expect(receive(targets[0])).To(BeEmpty(), "the connection does not go on after a gap")
	}
}
