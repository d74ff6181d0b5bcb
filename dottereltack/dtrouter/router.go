package dtrouter

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtgate"
	"github.com/dottereltack/dottereltack/dottereltack/dtlink"
	"github.com/dottereltack/dottereltack/dottereltack/dtmeter"
	"github.com/dottereltack/dottereltack/dottereltack/dtserver"
	"github.com/dottereltack/dottereltack/dottereltack/dtsocket"
	"github.com/dottereltack/dottereltack/dottereltack/dtstore"
	"github.com/dottereltack/dottereltack/dottereltack/dttimeline"
)

// timelineCapacity is the number of events that a router keeps in its timeline.
const timelineCapacity = 8192

// Router runs the control loop, the gateway for callers and the links to peers of one
// router process.
type Router struct {
	Host           dtconfig.Host
	Loop           *Loop
	Meter          *dtmeter.Meter
	Clock          *dttimeline.Clock
	Timeline       *dttimeline.Ring
	Store          *dtstore.Client
	Gateway        *dtgate.Gateway
	links          *dtlink.Transport
	servers        *dtserver.Client
	logger         *log.Logger
	callerListener net.Listener
	workers        conc.WaitGroup // Goroutines of effects that wait for the network.
	loopGoroutine  conc.WaitGroup
	cancel         context.CancelFunc
	stopped        chan int       // Signaled by the Exit effect.
	publishedSite  *dtconfig.Site // Configuration last passed to the gateway; used by the control loop only.
	ready          atomic.Bool
	stopping       atomic.Bool
}

// Option configures a Router in New.
type Option func(*Router)

// WithLogger sets the router's logger.
func WithLogger(l *log.Logger) Option { return func(r *Router) { r.logger = l } }

// New returns a router that listens on its addresses but does not run yet.
func New(host dtconfig.Host, now time.Time, options ...Option) (*Router, error) {
	r := &Router{
		Host: host, Meter: dtmeter.New(), Clock: &dttimeline.Clock{}, Timeline: dttimeline.NewRing(timelineCapacity),
		stopped: make(chan int, 1), logger: log.Default(),
	}
	for _, o := range options {
		o(r)
	}
	self := dtstate.RouterID(host.Router)
	budget := r.newBudget()
	maxPeers := 0
	if host.MaxDescriptors > 0 {
		maxPeers = budget.Limits().MaxPeers
	}
	links, err := dtlink.New(dtlink.Settings{
		Self: self, Address: host.PeersAddress, Keys: host.PeerKeys, ControlBytesPerSecond: host.ControlBytesPerSecond,
		MaxInbound: maxPeers, Buffers: budget.Peers(),
	}, r, r.Clock, r.Meter)
	if err != nil {
		return nil, err
	}
	r.links = links
	r.callerListener, err = dtsocket.Listen(host.CallersAddress, dtintake.NarrowReceiveBytes)
	if err != nil {
		links.Close()
		return nil, merry.Wrap(err, merry.WithValue("step", "listen_callers"), merry.WithValue("peer", host.CallersAddress))
	}
	start := uint64(now.UnixMilli())
	r.Loop = NewLoop(dtstate.New(dtstate.Settings{
		Self: self, Address: host.AdvertisedAddress(), OperatorsAddress: host.OperatorsAddress, Start: start,
		Domain: dtstate.FailureDomain(host.FailureDomain), Region: dtstate.Region(host.Region), Seeds: host.Seeds,
	}, now), host.QueueCapacity)
	r.servers = dtserver.New(host.PeersAddress, r.Meter, dtserver.WithReceiveBuffers(budget.Servers()))
	r.Store = dtstore.New(host.PlatformAddress, host.PeersAddress, r.Meter)
	r.Gateway = dtgate.New(dtgate.Settings{
		Router: host.Router, Start: start, MaxBodyBytes: host.MaxBodyBytes, ResumeTokenKey: host.PeerKeys[0], Budget: budget,
	}, r.Loop, r.servers, r.Meter, r)
	r.Gateway.AddHealthRoutes(r)
	return r, nil
}

// CallersAddress returns the address at which the router accepts callers.
func (r *Router) CallersAddress() string { return r.callerListener.Addr().String() }

// Start runs the router in the background; it fails if the TLS certificate can't be loaded.
func (r *Router) Start(ctx context.Context) error {
	ln, err := withTLS(r.callerListener, &r.Host)
	if err != nil {
		return err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.loopGoroutine.Go(func() { r.Loop.Run(ctx, r) })
	r.links.Start()
	r.Gateway.Serve(ln)
	r.logger.Info("event", "step", "start", "router", r.Host.Router, "domain", r.Host.FailureDomain, "callers", r.CallersAddress(), "peers", r.links.Address())
	return nil
}

// Stop shuts the router down gracefully: it leaves the fleet, waits for requests in flight
// up to the shutdown timeout and returns the number of requests that it abandoned.
func (r *Router) Stop() int {
	timeout := time.Duration(r.Host.ShutdownTimeoutMs) * time.Millisecond
	deadline := time.Now().Add(timeout)
	r.stopping.Store(true)
	r.Loop.Post(dtstate.StopRequested{})
	abandoned := r.Gateway.Stop(timeout)
	if abandoned > 0 {
		r.Loop.Post(dtstate.DrainTimedOut{})
	}
	r.Loop.Post(dtstate.IntakeClosed{})
	select {
	case <-r.stopped:
	case <-time.After(max(time.Until(deadline), time.Second)):
		r.logger.Warn("event", "step", "stop_bound", "router", r.Host.Router)
	}
	r.cancel()
	r.loopGoroutine.Wait()
	r.Gateway.Close()
	r.links.Close()
	r.servers.Close()
	r.Store.Close()
	r.workers.Wait()
	r.logger.Info("event", "step", "stopped", "router", r.Host.Router, "abandoned", abandoned)
	return abandoned
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready() bool { return r.ready.Load() && !r.stopping.Load() }

// HandleMessage implements dtlink.Handler.
func (r *Router) HandleMessage(from dtstate.RouterID, m dtstate.Message) {
	r.Loop.Post(dtstate.MessageReceived{From: from, Message: m})
}

// HandleFailure implements dtlink.Handler.
func (r *Router) HandleFailure(peer dtstate.RouterID, err error) {
	r.RecordFailure("link_lost", string(peer), "", err)
	if peer != "" {
		r.Loop.Post(dtstate.LinkChanged{Peer: peer})
	}
}

// HandleUnreadable implements dtlink.Handler.
func (r *Router) HandleUnreadable(from dtstate.RouterID, err error) {
	r.RecordFailure("peer_message_unreadable", string(from), "", err)
}

// RecordFailure records a failure outside the reducer in the timeline and the log.
func (r *Router) RecordFailure(step, peer string, id dtstate.RequestID, err error) {
	detail := ""
	if err != nil {
		detail = err.Error()
		if failedStep, ok := merry.Value(err, "step").(string); ok {
			detail = failedStep + ": " + detail
		}
	}
	r.recordEvent(step, peer, id, detail)
}

// recordEvent adds an event to the timeline and the log. Events of a request are logged at
// debug level only.
func (r *Router) recordEvent(step, peer string, id dtstate.RequestID, detail string) {
	r.addToTimeline(step, peer, id, detail)
	write := r.logger.Info
	if id != "" {
		write = r.logger.Debug
	}
	write("event", "step", step, "peer", peer, "request", string(id), "detail", detail)
}

func (r *Router) addToTimeline(step, peer string, id dtstate.RequestID, detail string) {
	r.Timeline.Add(dttimeline.Event{
		Time: r.Clock.Now(time.Now()), Router: r.Host.Router, Step: step, Peer: peer, Request: string(id), Detail: detail,
	})
}
