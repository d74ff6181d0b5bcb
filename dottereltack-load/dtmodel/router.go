package dtmodel

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
)

// Router is a simulated router that runs the real reducer on State.
type Router struct {
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
func (r *Router) Incarnation() int { return r.incarnation }

func (sim *Simulation) addRouter(domain, i int) {
	router := &Router{
		ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", domain, i)), Domain: DomainName(domain), Region: sim.region(domain),
		sim: sim, SentBytes: map[string]int{}, SentMessages: map[string]int{},
	}
	sim.Routers = append(sim.Routers, router)
	sim.RoutersByID[router.ID] = router
	router.Start()
}

func (r *Router) address() string { return "addr-" + string(r.ID) }

// Start begins a new incarnation with an empty state.
func (r *Router) Start() {
	sim := r.sim
	r.incarnation++
	r.Alive, r.Stopped, r.paused = true, false, false
	r.pending = nil
	var seeds []string
	for d := range sim.Settings.Domains {
		seeds = append(seeds, fmt.Sprintf("addr-r-%d-0", d), fmt.Sprintf("addr-r-%d-1", d))
	}
	r.State = dtstate.New(dtstate.Settings{
		Self: r.ID, Address: r.address(), Domain: dtstate.FailureDomain(r.Domain), Region: dtstate.Region(r.Region),
		Start: uint64(sim.Now.UnixMilli()) + uint64(r.incarnation), Seeds: seeds,
	}, sim.Now, dtstate.WithSeed(sim.Random.Uint64()))
	r.wakeAt = time.Time{}
	startDelay := time.Duration(sim.Random.Int64N(int64(time.Second)))
	if sim.Now.UnixMilli() > EpochMs {
		startDelay = 0
	}
	incarnation := r.incarnation
	sim.AfterFunc(startDelay, func() { r.deliverTo(incarnation, dtstate.TimerFired{}) })
}

// Kill ends the router without a graceful stop.
func (r *Router) Kill() {
	r.Alive = false
	r.incarnation++
	r.pending = nil
	r.sim.dropAttempts(r)
}

// Stop stops the router gracefully; callers still reach it for the grace period, and requests are waited for
// until the timeout.
func (r *Router) Stop() {
	const shutdownGracePeriod, shutdownTimeout = 300 * time.Millisecond, 15 * time.Second
	r.Deliver(dtstate.StopRequested{})
	incarnation := r.incarnation
	r.sim.AfterFunc(shutdownGracePeriod, func() { r.deliverTo(incarnation, dtstate.IntakeClosed{}) })
	r.sim.AfterFunc(shutdownTimeout, func() { r.deliverTo(incarnation, dtstate.DrainTimedOut{}) })
}

// Pause suspends the router for d and delivers the events of that time afterwards.
func (r *Router) Pause(d time.Duration) {
	r.paused = true
	incarnation := r.incarnation
	r.sim.AfterFunc(d, func() {
		if r.incarnation != incarnation {
			return
		}
		r.paused = false
		pending := r.pending
		r.pending = nil
		for _, ev := range pending {
			r.deliverTo(incarnation, ev)
		}
	})
}

// deliverTo delivers an event unless the router has restarted since the incarnation.
func (r *Router) deliverTo(incarnation int, ev dtstate.Event) {
	if r.incarnation == incarnation {
		r.Deliver(ev)
	}
}

// Deliver passes an event to the router's reducer and executes the resulting effects.
func (r *Router) Deliver(ev dtstate.Event) {
	if !r.Alive {
		return
	}
	if r.paused {
		r.pending = append(r.pending, ev)
		return
	}
	r.Steps++
	effects := append([]dtstate.Effect(nil), r.State.Step(ev, r.sim.Now)...)
	for _, e := range effects {
		r.execute(e)
	}
}

func (r *Router) execute(e dtstate.Effect) {
	sim := r.sim
	switch e := e.(type) {
	case dtstate.SendPeer:
		sim.sendPeer(r, e)
	case dtstate.SetTimer:
		r.setTimer(e.At)
	case dtstate.PlatformCall:
		sim.Platform.call(r, e)
	case dtstate.Dispatch:
		sim.dispatch(r, e)
	case dtstate.Probe:
		sim.probe(r, e)
	case dtstate.DecodeConfig:
		incarnation := r.incarnation
		sim.AfterFunc(0, func() { r.deliverTo(incarnation, sim.Platform.decodeConfig(e.Record)) })
	case dtstate.Refuse:
		sim.refuseRequest(e.Refusal)
	case dtstate.AnswerOrder:
		sim.replayAnswer(e)
	case dtstate.Cancel:
		sim.cancel(e)
	case dtstate.RecordEvent:
		if sim.Trace != nil {
			sim.Trace(sim.Now, r, e)
		}
	case dtstate.Exit:
		r.Alive, r.Stopped = false, true
		r.incarnation++
	}
}

// setTimer replaces the router's only timer.
func (r *Router) setTimer(at time.Time) {
	r.wakeAt = at
	incarnation := r.incarnation
	r.sim.AfterFunc(at.Sub(r.sim.Now), func() {
		if r.incarnation == incarnation && r.wakeAt.Equal(at) {
			r.Deliver(dtstate.TimerFired{})
		}
	})
}

// sendPeer sends a message over the simulated network, encoded as on a real link.
func (sim *Simulation) sendPeer(from *Router, e dtstate.SendPeer) {
	to := sim.RoutersByID[e.To]
	if e.To == "" {
		for _, router := range sim.Routers {
			if router.address() == e.Address {
				to = router
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
	if sim.IsPartitioned(from.Domain, to.Domain) || sim.chance(sim.Settings.LostMessageRatio) {
		return
	}
	sim.deliverDelayed(from, to, message)
	if sim.chance(sim.Settings.DuplicateMessageRatio) {
		sim.deliverDelayed(from, to, message)
	}
}

func (sim *Simulation) deliverDelayed(from, to *Router, m dtstate.Message) {
	incarnation := to.incarnation
	id := from.ID
	sim.AfterFunc(sim.networkDelay(from.Domain, to.Domain), func() {
		to.deliverTo(incarnation, dtstate.MessageReceived{From: id, Message: m})
	})
}

// networkDelay returns the one-way delay between two failure domains, with jitter.
func (sim *Simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.jitter(sim.Settings.SameDomainDelay)
	}
	return sim.jitter(sim.Settings.CrossDomainDelay)
}
