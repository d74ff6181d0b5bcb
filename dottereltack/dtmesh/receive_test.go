package dtmesh_test

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtmesh"
)

// TestRoutersHaveWideReceiveBuffers guards against configurations that reach a router too late, since the kernel lets the others
// send little at a time in a fleet with more links than wide buffers, and against the same buffers for whoever connects.
func TestRoutersHaveWideReceiveBuffers(t *testing.T) {
	g := NewWithT(t)
	buffers := dtbudget.New(dtintake.Limits{PeerReceiveBytes: 4 * dtintake.NarrowReceiveBytes}).Peers()
	m, err := dtmesh.New("a", "127.0.0.1:0", &inbox{}, dtmesh.WithReceiveBuffers(buffers))
	g.Expect(err).NotTo(HaveOccurred())
	m.Start()
	t.Cleanup(m.Close)
	stranger, err := net.Dial("tcp", m.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = stranger.Close() }()
	_, err = io.WriteString(stranger, "\x00")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(buffers.Used, "5s").Should(BeEquivalentTo(dtintake.NarrowReceiveBytes))
	peer, _ := startMesh(t, "b")
	peer.SetPeers(map[string]string{"a": m.Address()}, nil)
	g.Expect(peer.Send("a", &dtdispatch.SyncRequest{From: "b", WantsConfig: true})).To(Succeed())
	g.Eventually(buffers.Used, "5s").Should(BeEquivalentTo(dtintake.NarrowReceiveBytes + dtintake.PeerReceiveBytes))
	peer.Close()
	g.Eventually(buffers.Used, "5s").Should(BeEquivalentTo(dtintake.NarrowReceiveBytes))
}
