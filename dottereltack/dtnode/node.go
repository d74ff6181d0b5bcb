package dtnode

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/core/dtrollout"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
	"github.com/dottereltack/dottereltack/dottereltack/dtlog"
	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
	"github.com/dottereltack/dottereltack/dottereltack/dtmesh"
	"github.com/dottereltack/dottereltack/dottereltack/dtmeter"
	"github.com/dottereltack/dottereltack/dottereltack/dtrelay"
	"github.com/dottereltack/dottereltack/dottereltack/dttunnel"
)

// maxIdleTime is the longest time between two steps of the reducer, whose timer fires more often,
// unless the process is paused.
const maxIdleTime = 2 * time.Second

// drainTimeout limits the time in which callers get their last responses once the reducer has ended.
const drainTimeout = 100 * time.Millisecond

// tunnelStopMargin is the time between the end of the tunnels of a router that stops, and its kill.
const tunnelStopMargin = 700 * time.Millisecond

// requestQueueCapacity is the number of new requests that may wait for the reducer.
const requestQueueCapacity = 512

// decoder parses the text of a configuration.
type decoder interface {
	Decode(source []byte) (*dtdispatch.Config, error)
}

// lister reads lists, the operators' keys and the record of streams' versions from the store, writes that
// record and the status of roll-outs, and posts the results or the failure as events; RestartWatch must not block, and Close ends all calls.
type lister interface {
	ListServers(wait time.Duration)
	ListRouters()
	ReadOperatorKeys(wait time.Duration)
	ReadVersionRecord()
	WriteVersionRecord(part dtdispatch.RecordPart, record dtdispatch.VersionRecord)
	WriteRolloutStatus(order dtrollout.Order, state dtrollout.State, begunAt time.Time)
	RestartWatch()
	Close()
}

// Settings configures a node.
type Settings struct {
	State          dtdispatch.Settings
	CallersAddress string    // Listen address for callers.
	PeersAddress   string    // Listen address for other routers.
	LogOutput      io.Writer // Destination of log lines.
	MemoryBytes    int64     // That the process may use; zero for that of the machine.
	MaxDescriptors int       // That the process may open; zero for the limit of the operating system.
}

// Loop is the reducer's loop of a Node.
type Loop = dtloop.Loop[*dtdispatch.State, dtdispatch.Event, dtdispatch.Effect]

// Node runs the control loop, the relay and the links to peers of one router process.
type Node struct {
	Loop      *Loop
	Relay     *dtrelay.Relay
	Mesh      *dtmesh.Mesh
	Tunnels   *dttunnel.Server
	Meter     *dtmeter.Meter
	Log       *log.Logger
	Limits    dtintake.Limits
	budget    *dtbudget.Budget
	decoder   decoder
	lister    lister
	logWriter *dtlog.Writer
	wg        conc.WaitGroup
	cancel    context.CancelFunc
	ready     atomic.Bool
	gauges    gauges
	stopped   chan int // Receives the number of abandoned requests.

	tunnelStopTime time.Duration // How long the requests of other routers may take once this one stops.
}

// New returns a node that listens on its addresses but does not run yet.
func New(settings Settings, d dtrelay.Dialect, dec decoder, now time.Time) (*Node, error) {
	n := &Node{Meter: dtmeter.New(), decoder: dec, stopped: make(chan int, 1), tunnelStopTime: settings.State.Bounds.ShutdownTimeout - tunnelStopMargin}
	n.gauges.register(n.Meter.Set)
	n.logWriter = dtlog.NewWriter(settings.LogOutput)
	n.Log = log.NewWithOptions(n.logWriter, log.Options{
		ReportTimestamp: true, TimeFormat: dtlog.TimeFormat, Formatter: log.LogfmtFormatter,
	}).With("router", settings.State.RouterName)
	binding := dtloop.TimerBinding[dtdispatch.Event, dtdispatch.Effect]{
		Deadline: timerDeadline, Event: dtdispatch.TimerFired{},
		MaxIdle: maxIdleTime,
		Paused: func(gap, uncounted time.Duration) dtdispatch.Event {
			return dtdispatch.Paused{Gap: gap, Uncounted: uncounted}
		},
	}
	n.Loop = dtloop.New(dtdispatch.New(settings.State, now), binding, requestQueueCapacity)
	var err error
	n.Limits = dtintake.LimitsFor(dtbudget.LimitsOrMachine(settings.MemoryBytes, settings.MaxDescriptors))
	n.budget = dtbudget.New(n.Limits, dtbudget.WithObserver(n))
	n.budget.Register(n.Meter.Set, n.Limits)
	n.Relay, err = dtrelay.New(settings.CallersAddress, d, n.Loop, dtrelay.WithName(settings.State.RouterName), dtrelay.WithBudget(n.budget))
	if err != nil {
		return nil, err
	}
	n.Tunnels = dttunnel.NewServer(n.Loop, n.Meter, dttunnel.WithMaxTunnels(n.Limits.MaxTunnels), dttunnel.WithReceiveBuffers(n.budget.Tunnels()))
	n.Meter.Set.NewGauge("dottereltack_tunnels_open", func() float64 { return float64(n.Tunnels.Open()) })
	n.Mesh, err = dtmesh.New(settings.State.RouterName, settings.PeersAddress, n.Loop, dtmesh.WithTunnels(n.Tunnels), dtmesh.WithMeter(n.Meter),
		dtmesh.WithMaxInbound(n.Limits.MaxPeers+n.Limits.MaxTunnels), dtmesh.WithReceiveBuffers(n.budget.Peers()))
	if err != nil {
		n.Relay.Close()
		return nil, err
	}
	return n, nil
}

// timerDeadline returns the time of a SetTimer effect, or false for other effects.
func timerDeadline(e dtdispatch.Effect) (time.Time, bool) {
	t, ok := e.(dtdispatch.SetTimer)
	return t.At, ok
}

// Start runs the node in the background; l reads the lists of servers and routers for it.
func (n *Node) Start(ctx context.Context, l lister) {
	n.lister = l
	ctx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	n.wg.Go(func() { n.Loop.Run(ctx, n) })
	n.Mesh.Start()
	n.Relay.Start()
	n.Log.Info("event", "step", "start", "callers", n.Relay.Address(), "peers", n.Mesh.Address(), "features", dtdispatch.OwnFeatures.String())
}

// Ready reports whether the node accepts new callers.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stop shuts the node down gracefully: it waits for requests in flight, also those of other routers, up to the
// shutdown timeout and returns the number of requests that it abandoned.
func (n *Node) Stop() int {
	n.Relay.DisableKeepAlives()
	n.Loop.Post(dtdispatch.StopRequested{})
	drained := make(chan struct{})
	n.wg.Go(func() {
		defer close(drained)
		n.Tunnels.Drain(n.tunnelStopTime)
	})
	abandoned := <-n.stopped
	<-drained
	n.Log.Info("event", "step", "stopped", "open", abandoned)
	n.Relay.Drain(drainTimeout)
	n.Relay.Close()
	n.Mesh.Close()
	n.cancel()
	n.lister.Close()
	n.wg.Wait()
	return abandoned
}

// Close writes the queued log lines and closes the log.
func (n *Node) Close() { n.logWriter.Close() }

// Perform carries out an effect without blocking the loop.
func (n *Node) Perform(e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.SendRequest:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.Refuse:
		n.Meter.CountRefusal(e.Reason.String(), ran(e.MayHaveRun))
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.CancelAttempt:
		n.Relay.CancelAttempt(e.Number)
	case dtdispatch.KeepWaiting:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.EndAttempt:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.CompleteResponse:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.ForwardStream:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.ForwardFailure:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.AbortResponse:
		n.Relay.Deliver(e.Number, e)
	case dtdispatch.LogRecord:
		n.record(&e)
	case dtdispatch.SendToPeers:
		if err := n.Mesh.Send(e.To, e.Message); err != nil {
			n.Log.Warn("event", "step", "tell", "peer", e.To, "error", err.Error())
		}
	default:
		n.performOther(e)
	}
}

// performOther carries out the remaining effects. The switch is split to keep each function
// short.
func (n *Node) performOther(e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.PublishConfig:
		n.Relay.SetLimits(e.Config.Limits)
	case dtdispatch.SetReady:
		n.ready.Store(e.Ready)
		n.Log.Info("event", "step", "ready", "ready", e.Ready)
	case dtdispatch.CloseIdleConns:
		n.Relay.CloseIdleConnections(time.Now())
	case dtdispatch.ListServers:
		n.wg.Go(func() { n.lister.ListServers(e.Wait) })
	case dtdispatch.ListRouters:
		n.wg.Go(n.lister.ListRouters)
	case dtdispatch.ReadOperatorKeys:
		n.wg.Go(func() { n.lister.ReadOperatorKeys(e.Wait) })
	case dtdispatch.ReadVersionRecord:
		n.wg.Go(n.lister.ReadVersionRecord)
	case dtdispatch.WriteVersionRecord:
		n.wg.Go(func() { n.lister.WriteVersionRecord(e.Part, e.Record) })
	case dtdispatch.WriteRolloutStatus:
		n.wg.Go(func() { n.lister.WriteRolloutStatus(e.Order, e.State, e.BegunAt) })
	case dtdispatch.RestartWatch:
		n.lister.RestartWatch()
	case dtdispatch.SetPeerLinks:
		n.Mesh.SetPeers(e.Addresses, e.Onward)
	case dtdispatch.CheckServer:
		n.wg.Go(func() { n.Loop.Post(n.Relay.Check(&e)) })
	case dtdispatch.OpenTunnel, dtdispatch.RefuseTunnel:
		n.performTunnel(e)
	case dtdispatch.DecodeConfig:
		n.decodeConfig(e)
	case dtdispatch.Exit:
		n.stopped <- e.Abandoned
	}
}

// performTunnel carries out the effects of a router that opens tunnels for others.
func (n *Node) performTunnel(e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.OpenTunnel:
		n.Tunnels.Deliver(e.Number, e)
	case dtdispatch.RefuseTunnel:
		n.Tunnels.Deliver(e.Number, e)
	}
}

// decodeConfig parses a configuration received from a peer in the background and posts it to
// the reducer.
func (n *Node) decodeConfig(e dtdispatch.DecodeConfig) {
	n.wg.Go(func() {
		config, err := n.decoder.Decode(e.Source)
		if err != nil {
			n.Loop.Post(dtdispatch.ConfigUnreadable{From: e.From, Detail: err.Error()})
			return
		}
		n.Loop.Post(dtdispatch.ConfigReceived{Config: config, From: e.From})
	})
}
