package dtnode

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/dottereltack/dtlog"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
	"github.com/dottereltack/dottereltack/dottereltack/dtmesh"
	"github.com/dottereltack/dottereltack/dottereltack/dtmeter"
	"github.com/dottereltack/dottereltack/dottereltack/dtrelay"
)

// queueRequests is how many new requests wait for the reducer.
const queueRequests = 512

// decoder turns a configuration's text into a site.
type decoder interface {
	Decode(source []byte) (*dtdispatch.Config, error)
}

// lister reads lists from the store and posts what it has read, or that it failed;
// WatchAnew does not block.
type lister interface {
	ListServers(wait time.Duration)
	ListRouters()
	WatchAnew()
}

// Settings is what a node has to be told.
type Settings struct {
	State   dtdispatch.Settings
	Callers string // Address that callers reach the router at.
	Peers   string // Address that other routers reach it at.
	Output  io.Writer
}

// Loop is the loop of a dispatching router.
type Loop = dtloop.Loop[*dtdispatch.State, dtdispatch.Event, dtdispatch.Effect]

// Node is one running router.
type Node struct {
	Loop    *Loop
	Relay   *dtrelay.Relay
	Mesh    *dtmesh.Mesh
	Meter   *dtmeter.Meter
	Log     *log.Logger
	decoder decoder
	lister  lister
	writer  *dtlog.Writer
	loop    conc.WaitGroup
	cancel  context.CancelFunc
	ready   atomic.Bool
	gauges  gauges
	stopped chan int
}

// New returns a node that holds its addresses but does not run yet.
func New(cfg Settings, d dtrelay.Dialect, dec decoder, now time.Time) (*Node, error) {
	n := &Node{Meter: dtmeter.New(), decoder: dec, stopped: make(chan int, 1)}
	n.gauges.register(n.Meter.Set)
	n.writer = dtlog.NewWriter(cfg.Output)
	n.Log = log.NewWithOptions(n.writer, log.Options{
		ReportTimestamp: true, TimeFormat: dtlog.TimeFormat, Formatter: log.LogfmtFormatter,
	}).With("router", cfg.State.RouterName)
	waker := dtloop.Waker[dtdispatch.Event, dtdispatch.Effect]{At: wakeAt, Woke: dtdispatch.TimerFired{}}
	n.Loop = dtloop.New(dtdispatch.New(cfg.State, now), waker, queueRequests)
	var err error
	n.Relay, err = dtrelay.New(cfg.Callers, d, n.Loop)
	if err != nil {
		return nil, err
	}
	n.Mesh, err = dtmesh.New(cfg.State.RouterName, cfg.Peers, n.Loop)
	if err != nil {
		n.Relay.Close()
		return nil, err
	}
	return n, nil
}

// wakeAt returns the time that a WakeAt effect names.
func wakeAt(e dtdispatch.Effect) (time.Time, bool) {
	w, ok := e.(dtdispatch.SetTimer)
	return w.At, ok
}

// Start runs the node in the background; l reads the list of servers for it.
func (n *Node) Start(ctx context.Context, l lister) {
	n.lister = l
	ctx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	n.loop.Go(func() { n.Loop.Run(ctx, n) })
	n.Mesh.Start()
	n.Relay.Start()
	n.Log.Info("event", "step", "start", "callers", n.Relay.Address(), "peers", n.Mesh.Address())
}

// Ready says whether the node takes new callers.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stop finishes what runs and returns how many requests were left open.
func (n *Node) Stop() int {
	n.Relay.DisableKeepAlives()
	n.Loop.Post(dtdispatch.StopRequested{})
	open := <-n.stopped
	n.Log.Info("event", "step", "stopped", "open", open)
	n.Relay.Close()
	n.Mesh.Close()
	n.cancel()
	n.loop.Wait()
	return open
}

// Close writes the last lines of the log.
func (n *Node) Close() { n.writer.Close() }

// Perform carries out one effect without holding up the loop.
func (n *Node) Perform(e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.SendRequest:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.Refuse:
		n.Meter.Refusal(e.Reason.String(), "no")
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.ForwardFailure:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.AbortResponse:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.LogEvent:
		n.record(&e)
	case dtdispatch.SendToPeers:
		if err := n.Mesh.Send(e.To, e.Message); err != nil {
			n.Log.Warn("event", "step", "tell", "peer", e.To, "error", err.Error())
		}
	default:
		n.performRest(e)
	}
}

// performRest goes on where Perform ends.
func (n *Node) performRest(e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.PublishConfig:
		n.Relay.SetLimits(e.Config.Limits)
	case dtdispatch.SetReady:
		n.ready.Store(e.Ready)
		n.Log.Info("event", "step", "ready", "ready", e.Ready)
	case dtdispatch.CloseIdleConns:
		n.Relay.CloseIdleConnections(time.Now())
	case dtdispatch.ListServers:
		n.loop.Go(func() { n.lister.ListServers(e.Wait) })
	case dtdispatch.ListRouters:
		n.loop.Go(n.lister.ListRouters)
	case dtdispatch.RestartWatch:
		n.lister.WatchAnew()
	case dtdispatch.SetPeerLinks:
		n.Mesh.SetPeers(e.Peers)
	case dtdispatch.CheckServer:
		n.loop.Go(func() {
			n.Loop.Post(dtdispatch.ServerChecked{Server: e.Server, Alive: n.Relay.CanConnect(e.Address)})
		})
	case dtdispatch.DecodeConfig:
		n.decode(e.Source)
	case dtdispatch.Stopped:
		n.stopped <- e.OpenRequests
	}
}

// decode offers a configuration that a peer has sent.
func (n *Node) decode(source []byte) {
	n.loop.Go(func() {
		site, err := n.decoder.Decode(source)
		if err != nil {
			n.Log.Warn("event", "step", "decode", "error", err.Error())
			return
		}
		n.Loop.Post(dtdispatch.ConfigReceived{Config: site})
	})
}
