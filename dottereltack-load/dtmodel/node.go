package dtmodel

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// Node is one modelled router.
type Node struct {
	ID      dtstate.RouterID
	Domain  string
	Region  string
	State   *dtstate.State
	Alive   bool
	Stopped bool
	Bytes   map[string]int // Bytes sent, by kind of link.
	Sent    map[string]int // Messages sent, by kind of link.
	Steps   int
	world   *World
	life    int
	paused  bool
	inbox   []dtstate.Event
	wakeAt  time.Time
}

// Life returns a number that each incarnation of the router has to itself.
func (n *Node) Life() int { return n.life }

// addNode starts a router.
func (w *World) addNode(domain, i int) {
	n := &Node{
		ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", domain, i)), Domain: Domain(domain), Region: w.region(domain),
		world: w, Bytes: map[string]int{}, Sent: map[string]int{},
	}
	w.Nodes = append(w.Nodes, n)
	w.ByID[n.ID] = n
	n.Start()
}

// address returns the address that peers know a router by.
func (n *Node) address() string { return "addr-" + string(n.ID) }

// Start begins a new incarnation that remembers nothing.
func (n *Node) Start() {
	w := n.world
	n.life++
	n.Alive, n.Stopped, n.paused = true, false, false
	n.inbox = nil
	var seeds []string
	for d := range w.Settings.Domains {
		seeds = append(seeds, fmt.Sprintf("addr-r-%d-0", d), fmt.Sprintf("addr-r-%d-1", d))
	}
	n.State = dtstate.New(dtstate.Settings{
		Self: n.ID, Address: n.address(), Domain: dtstate.FailureDomain(n.Domain), Region: dtstate.Region(n.Region),
		Start: uint64(w.Now.UnixMilli()) + uint64(n.life), Seeds: seeds,
	}, w.Now, dtstate.WithSeed(w.Random.Uint64()))
	n.wakeAt = time.Time{}
	phase := time.Duration(w.Random.Int64N(int64(time.Second)))
	if w.Now.UnixMilli() > Epoch {
		phase = 0
	}
	life := n.life
	w.After(phase, func() { n.onLife(life, dtstate.Woke{}) })
}

// Kill ends the router without a word.
func (n *Node) Kill() {
	n.Alive = false
	n.life++
	n.inbox = nil
	n.world.lost(n)
}

// Stop stops the router gracefully; callers reach it for a moment longer.
func (n *Node) Stop() {
	const lastReads = 300 * time.Millisecond
	n.Deliver(dtstate.StopRequested{})
	life := n.life
	n.world.After(lastReads, func() { n.onLife(life, dtstate.CallersGone{}) })
}

// Pause lets the router do nothing for d; what it is sent waits.
func (n *Node) Pause(d time.Duration) {
	n.paused = true
	life := n.life
	n.world.After(d, func() {
		if n.life != life {
			return
		}
		n.paused = false
		waiting := n.inbox
		n.inbox = nil
		for _, ev := range waiting {
			n.onLife(life, ev)
		}
	})
}

// onLife delivers an event if the router is still the same incarnation.
func (n *Node) onLife(life int, ev dtstate.Event) {
	if n.life == life {
		n.Deliver(ev)
	}
}

// Deliver steps the router's reducer and carries out the effects.
func (n *Node) Deliver(ev dtstate.Event) {
	if !n.Alive {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, ev)
		return
	}
	n.Steps++
	effects := append([]dtstate.Effect(nil), n.State.Step(ev, n.world.Now)...)
	for _, e := range effects {
		n.perform(e)
	}
}

// perform carries out one effect in the model.
func (n *Node) perform(e dtstate.Effect) {
	w := n.world
	switch e := e.(type) {
	case dtstate.SendPeer:
		w.send(n, e)
	case dtstate.WakeAt:
		n.wake(e.At)
	case dtstate.PlatformCall:
		w.Platform.call(n, e)
	case dtstate.Dispatch:
		w.dispatch(n, e)
	case dtstate.Probe:
		w.probe(n, e)
	case dtstate.DecodeConfig:
		life := n.life
		w.After(0, func() { n.onLife(life, w.Platform.decode(e.Record)) })
	case dtstate.Refuse:
		w.refused(e.Refusal)
	case dtstate.Answer:
		w.answered(e)
	case dtstate.Cancel:
		w.cancel(e)
	case dtstate.RecordEvent:
		if w.Trace != nil {
			w.Trace(w.Now, n, e)
		}
	case dtstate.Stopped:
		n.Alive, n.Stopped = false, true
		n.life++
	}
}

// wake sets the one timer that a router has.
func (n *Node) wake(at time.Time) {
	n.wakeAt = at
	life := n.life
	n.world.After(at.Sub(n.world.Now), func() {
		if n.life == life && n.wakeAt.Equal(at) {
			n.Deliver(dtstate.Woke{})
		}
	})
}

// send carries a message over the modelled network, encoded as on a real link.
func (w *World) send(from *Node, e dtstate.SendPeer) {
	to := w.ByID[e.To]
	if e.To == "" {
		for _, n := range w.Nodes {
			if n.address() == e.Address {
				to = n
			}
		}
	}
	if to == nil {
		return
	}
	message := e.Message
	if !w.Settings.SkipEncode {
		body, err := dtwire.Encode(e.Message)
		if err != nil {
			panic(err)
		}
		const frameHead = 12
		kind := dtwire.MetricKind(e.Message)
		from.Bytes[kind] += len(body) + frameHead
		from.Sent[kind]++
		if message, err = dtwire.Decode(body); err != nil {
			panic(err)
		}
	}
	if w.Cut(from.Domain, to.Domain) || w.chance(w.Settings.Loss) {
		return
	}
	w.carry(from, to, message)
	if w.chance(w.Settings.Duplicate) {
		w.carry(from, to, message)
	}
}

// carry delivers a message after the way's delay.
func (w *World) carry(from, to *Node, m dtstate.Message) {
	life := to.life
	id := from.ID
	w.After(w.way(from.Domain, to.Domain), func() {
		to.onLife(life, dtstate.PeerReceived{From: id, Message: m})
	})
}

// way returns the one-way delay between two failure domains.
func (w *World) way(a, b string) time.Duration {
	if a == b {
		return w.jitter(w.Settings.Near)
	}
	return w.jitter(w.Settings.Far)
}
