package dtrelay

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestLaterProcessIsTakenForTheOneWithItsID guards against a plain response of a killed server that looks complete: the next
// process has its ID and address, and their statuses name no start.
func TestLaterProcessIsTakenForTheOneWithItsID(t *testing.T) {
	for name, isKilled := range map[string]bool{"the process lives": false, "it was killed": true} {
		t.Run(name, func(t *testing.T) {
			ends := make(chan struct{})
			p := newStatusPlay(t, "")
			var count atomic.Int32
			p.check.Address = serveStatus(t, func(c net.Conn) {
				if isKilled && count.Add(1) == 2 { // The connection that is opened ahead of the second request.
					<-ends
					return
				}
				answering(statusOf(200, "s1", 0))(c)
			})
			first := p.begin(1)
			p.Expect(first.exchange.takeWitness()).To(BeNil(), "not known to need one")
			p.check.Number, p.check.KnownSince = 1, time.Now().Add(-time.Second)
			p.Expect(p.run()).To(Equal(dtdispatch.ServerChecked{Server: "s1", Number: 1, Connected: true, Named: true}))

			p.begin(2)
			p.check.Number = 2
			close(ends)
			want := dtdispatch.ServerChecked{Server: "s1", Number: 2, Connected: true, Answered: !isKilled}
			p.Expect(p.run()).To(Equal(want))
		})
	}
}

// TestWitnessIsLost guards against connections that are opened ahead of requests and are neither used nor kept.
func TestWitnessIsLost(t *testing.T) {
	p := newStatusPlay(t, serveStatus(t, answering(statusOf(200, "s1", 0))))
	p.relay.witnessAddresses.add(p.check.Address)
	a := p.begin(1)
	c := a.exchange.witness
	p.Expect(c).NotTo(BeNil())
	a.keepWitness()
	p.Expect(p.relay.pool.take(p.check.Address)).To(BeIdenticalTo(c))
	a.send.Via = []dtdispatch.Via{{Router: "r2"}}
	a.openWitness()
	p.Expect(a.exchange.witness).To(BeNil(), "another router opens connections for one that is cut off")
}

// TestServersThatNeedAWitnessAreKeptForever guards against memory that grows with the addresses of servers.
func TestServersThatNeedAWitnessAreKeptForever(t *testing.T) {
	p := newStatusPlay(t, "")
	for n := range 3 * maxWitnessAddresses {
		p.relay.witnessAddresses.add(time.Duration(n).String())
	}
	p.Expect(len(p.relay.witnessAddresses.present)).To(BeNumerically("<=", maxWitnessAddresses))
}

// begin registers a request to the server and opens what it needs before it is sent.
func (p *statusPlay) begin(n dtdispatch.RequestNumber) *attempt {
	x := &exchange{relay: p.relay, number: n, ctx: p.relay.ctx}
	p.relay.registerExchange(x)
	a := &attempt{exchange: x, pool: p.relay.pool, send: &dtdispatch.SendRequest{Number: n, Address: p.check.Address, ConnectTimeout: time.Second, MaxIdleConns: 4}}
	a.openWitness()
	return a
}
