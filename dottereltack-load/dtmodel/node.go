package dtmodel

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// Node is one simulated router with the State that its reducer steps.
type Node struct {
	ID           dtstate.RouterID
	Domain       string
	Region       string
	State        *dtstate.State
	Alive        bool
	Stopped      bool           // Stopped gracefully.
	SentBytes    map[string]int // By kind of link.
	SentMessages map[string]int // By kind of link.
	Steps        int            // Events that the reducer has processed.
	sim          *Simulation
	incarnation  int
	paused       bool
	pending      []dtstate.Event
	wakeAt       time.Time
}

// Incarnation returns a number that is unique to each incarnation of the router.
func (n *Node) Incarnation() int { return n.incarnation }

// addNode adds a router to the fleet and starts it.
func (sim *Simulation) addNode(domain, i int) {
	n := &Node{
		ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", domain, i)), Domain: DomainName(domain), Region: sim.region(domain),
		sim: sim, SentBytes: map[string]int{}, SentMessages: map[string]int{},
	}
	sim.Nodes = append(sim.Nodes, n)
	sim.NodesByID[n.ID] = n
	n.Start()
}

// address returns the router's address for peers.
func (n *Node) address() string { return "addr-" + string(n.ID) }

// Start begins a new incarnation with an empty state.
func (n *Node) Start() {
	sim := n.sim
	n.incarnation++
	n.Alive, n.Stopped, n.paused = true, false, false
	n.pending = nil
	var seeds []string
	for d := range sim.Settings.Domains {
		seeds = append(seeds, fmt.Sprintf("addr-r-%d-0", d), fmt.Sprintf("addr-r-%d-1", d))
	}
	n.State = dtstate.New(dtstate.Settings{
		Self: n.ID, Address: n.address(), Domain: dtstate.FailureDomain(n.Domain), Region: dtstate.Region(n.Region),
		Start: uint64(sim.Now.UnixMilli()) + uint64(n.incarnation), Seeds: seeds,
	}, sim.Now, dtstate.WithSeed(sim.Random.Uint64()))
	n.wakeAt = time.Time{}
	startDelay := time.Duration(sim.Random.Int64N(int64(time.Second)))
	if sim.Now.UnixMilli() > Epoch {
		startDelay = 0
	}
	incarnation := n.incarnation
	sim.AfterFunc(startDelay, func() { n.deliverTo(incarnation, dtstate.TimerFired{}) })
}

// Kill ends the router without a graceful stop.
func (n *Node) Kill() {
	n.Alive = false
	n.incarnation++
	n.pending = nil
	n.sim.dropAttempts(n)
}

// Stop stops the router gracefully; callers still reach it for the drain time.
func (n *Node) Stop() {
	const drainTime = 300 * time.Millisecond
	n.Deliver(dtstate.StopRequested{})
	incarnation := n.incarnation
	n.sim.AfterFunc(drainTime, func() { n.deliverTo(incarnation, dtstate.IntakeClosed{}) })
}

// Pause suspends the router for d and delivers the events of that time afterwards.
func (n *Node) Pause(d time.Duration) {
	n.paused = true
	incarnation := n.incarnation
	n.sim.AfterFunc(d, func() {
		if n.incarnation != incarnation {
			return
		}
		n.paused = false
		pending := n.pending
		n.pending = nil
		for _, ev := range pending {
			n.deliverTo(incarnation, ev)
		}
	})
}

// deliverTo delivers an event unless the router has restarted since the incarnation.
func (n *Node) deliverTo(incarnation int, ev dtstate.Event) {
	if n.incarnation == incarnation {
		n.Deliver(ev)
	}
}

// Deliver passes an event to the router's reducer and executes the resulting effects.
func (n *Node) Deliver(ev dtstate.Event) {
	if !n.Alive {
		return
	}
	if n.paused {
		n.pending = append(n.pending, ev)
		return
	}
	n.Steps++
	effects := append([]dtstate.Effect(nil), n.State.Step(ev, n.sim.Now)...)
	for _, e := range effects {
		n.execute(e)
	}
}

// execute performs one effect of the reducer.
func (n *Node) execute(e dtstate.Effect) {
	sim := n.sim
	switch e := e.(type) {
	case dtstate.SendPeer:
		sim.sendPeer(n, e)
	case dtstate.SetTimer:
		n.setTimer(e.At)
	case dtstate.PlatformCall:
		sim.Platform.call(n, e)
	case dtstate.Dispatch:
		sim.dispatch(n, e)
	case dtstate.Probe:
		sim.probe(n, e)
	case dtstate.DecodeConfig:
		incarnation := n.incarnation
		sim.AfterFunc(0, func() { n.deliverTo(incarnation, sim.Platform.decodeConfig(e.Record)) })
	case dtstate.Refuse:
		sim.refuseCall(e.Refusal)
	case dtstate.AnswerOrder:
		sim.replayAnswer(e)
	case dtstate.Cancel:
		sim.cancel(e)
	case dtstate.RecordEvent:
		if sim.Trace != nil {
			sim.Trace(sim.Now, n, e)
		}
	case dtstate.Exit:
		n.Alive, n.Stopped = false, true
		n.incarnation++
	}
}

// setTimer replaces the router's only timer.
func (n *Node) setTimer(at time.Time) {
	n.wakeAt = at
	incarnation := n.incarnation
	n.sim.AfterFunc(at.Sub(n.sim.Now), func() {
		if n.incarnation == incarnation && n.wakeAt.Equal(at) {
			n.Deliver(dtstate.TimerFired{})
		}
	})
}

// sendPeer sends a message over the simulated network, encoded as on a real link.
func (sim *Simulation) sendPeer(from *Node, e dtstate.SendPeer) {
	to := sim.NodesByID[e.To]
	if e.To == "" {
		for _, n := range sim.Nodes {
			if n.address() == e.Address {
				to = n
			}
		}
	}
	if to == nil {
		return
	}
	message := e.Message
	if !sim.Settings.SkipEncoding {
		body, err := dtwire.Encode(e.Message)
		if err != nil {
			panic(err)
		}
		const frameHeaderSize = 12
		kind := dtwire.TrafficClass(e.Message)
		from.SentBytes[kind] += len(body) + frameHeaderSize
		from.SentMessages[kind]++
		if message, err = dtwire.Decode(body); err != nil {
			panic(err)
		}
	}
	if sim.IsPartitioned(from.Domain, to.Domain) || sim.chance(sim.Settings.LossRatio) {
		return
	}
	sim.deliverDelayed(from, to, message)
	if sim.chance(sim.Settings.DuplicateRatio) {
		sim.deliverDelayed(from, to, message)
	}
}

// deliverDelayed delivers a message after the network delay.
func (sim *Simulation) deliverDelayed(from, to *Node, m dtstate.Message) {
	incarnation := to.incarnation
	id := from.ID
	sim.AfterFunc(sim.networkDelay(from.Domain, to.Domain), func() {
		to.deliverTo(incarnation, dtstate.MessageReceived{From: id, Message: m})
	})
}

// networkDelay returns the one-way delay between two failure domains.
func (sim *Simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.jitter(sim.Settings.SameDomainDelay)
	}
	return sim.jitter(sim.Settings.CrossDomainDelay)
}
