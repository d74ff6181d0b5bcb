package dtgate

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtbudget"
)

// Limits and timeouts of callers' connections, and the format of request IDs.
const (
	maxHeaderBytes      = 16 << 10
	readTimeout         = 30 * time.Second
	idleTimeout         = 2 * time.Minute
	callerWriteTimeout  = 30 * time.Second
	requestIDBase       = 36 // Numeric base of the numbers in request IDs.
	maxConns            = 64 << 10
	shutdownGracePeriod = 300 * time.Millisecond // Before the listener is closed.
	closeTimeout        = 100 * time.Millisecond // For writing the last responses.
	closeCheckInterval  = 5 * time.Millisecond
)

// eventQueue passes events to the reducer. Offer returns false if the queue is full.
type eventQueue interface {
	Post(ev dtstate.Event)
	Offer(ev dtstate.Event) bool
}

// meter records the latency and outcomes of requests.
type meter interface {
	ObserveFirstByte(group string, d time.Duration)
	CountRequest(group, outcome string)
	CountRefusal(reason, ran string)
}

// failureRecorder records failures of requests and of the listener; id is empty if no request
// is concerned.
type failureRecorder interface {
	RecordFailure(step, peer string, id dtstate.RequestID, err error)
}

// Settings configures a Gateway.
type Settings struct {
	Router         string
	Start          uint64 // Start time of the process in Unix milliseconds, part of each request ID.
	MaxBodyBytes   int
	Budget         *dtbudget.Budget // Of callers' connections and requests; nil for none.
	ResumeTokenKey string           // Signs resume tokens; shared by the routers of a fleet.
}

// Gateway serves the HTTP API for callers of one router.
type Gateway struct {
	settings            Settings
	events              eventQueue
	serverClient        serverClient
	meter               meter
	failureRecorder     failureRecorder
	app                 *fiber.App
	site                atomic.Pointer[dtconfig.Site]     // Current configuration, nil at first.
	accountsByKeyDigest atomic.Pointer[map[string]string] // Names of client accounts by key digest.
	mu                  sync.Mutex                        // Guards exchanges.
	exchanges           map[dtstate.RequestID]*exchange
	lastRequestNumber   atomic.Uint64
	closing             chan struct{} // Closed by Close.
	// Close each caller's connection after its next response.
	keepAlivesDisabled atomic.Bool
	wg                 conc.WaitGroup
}

// New returns a gateway that accepts connections once Serve is called.
func New(settings Settings, events eventQueue, client serverClient, m meter, recorder failureRecorder) *Gateway {
	g := &Gateway{
		settings: settings, events: events, serverClient: client, meter: m, failureRecorder: recorder,
		exchanges: map[dtstate.RequestID]*exchange{}, closing: make(chan struct{}),
	}
	g.app = fiber.New(fiber.Config{
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		Concurrency:    maxConns,
		ErrorHandler:   g.handleError,
		// Without streams, the HTTP library takes an announced length, or that of a chunk, from memory before a byte has arrived.
		// The limit is that of what it reads ahead of the handler.
		StreamRequestBody: true, DisablePreParseMultipartForm: true, BodyLimit: 1,
	})
	g.registerRoutes()
	return g
}

// App returns the HTTP application, to which other routes may be added.
func (g *Gateway) App() *fiber.App { return g.app }

func (g *Gateway) registerRoutes() {
	g.app.Use(func(c fiber.Ctx) error {
		err := g.serve(c)
		if g.keepAlivesDisabled.Load() {
			c.RequestCtx().Response.SetConnectionClose()
		}
		return err
	})
	g.app.Post(dtapi.PathChat, g.handleChat)
	g.app.Get(dtapi.PathResume, g.handleResume)
	g.app.Post(dtapi.PathServices+"/:service/:call", g.handleServiceCall)
	g.app.Get(dtapi.PathOrders+"/:key", g.handleOrderStatus)
}

// serve reads the body of a request and has its handler serve it.
func (g *Gateway) serve(c fiber.Ctx) error {
	if reason := g.holdBody(c); reason != dtstate.ReasonNone {
		return g.refuseLocally(c, g.newExchange("", "", nil), "", reason)
	}
	return c.Next()
}

// Serve accepts connections of callers on ln in the background.
func (g *Gateway) Serve(ln net.Listener) {
	g.wg.Go(func() {
		err := g.app.Listener(&callerListener{ln, g.settings.Budget}, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil {
			g.recordFailure("serve_callers", ln.Addr().String(), "", err)
		}
	})
}

// Stop closes the listener, waits up to timeout for the requests in flight to end and returns
// the number of those that it abandons.
func (g *Gateway) Stop(timeout time.Duration) int {
	g.keepAlivesDisabled.Store(true)
	time.Sleep(shutdownGracePeriod) // Serve requests that have already been sent on open connections.
	err := g.app.ShutdownWithTimeout(timeout)
	abandoned := 0
	if err != nil {
		g.mu.Lock()
		abandoned = len(g.exchanges)
		g.mu.Unlock()
	}
	g.wg.Wait()
	return abandoned
}

// Close ends the connections of requests that are still waiting, and waits for closeTimeout at most until the last
// responses are written. It must be called once the reducer has ended, since what it decides is what callers are told.
func (g *Gateway) Close() {
	close(g.closing)
	for end := time.Now().Add(closeTimeout); g.app.Server().GetOpenConnectionsCount() > 0 && time.Now().Before(end); {
		time.Sleep(closeCheckInterval)
	}
}

// Configure sets the configuration for new requests.
func (g *Gateway) Configure(site *dtconfig.Site) {
	keys := map[string]string{}
	for name, a := range site.Accounts {
		for _, d := range a.KeyDigests {
			keys[d] = name
		}
	}
	g.accountsByKeyDigest.Store(&keys)
	g.site.Store(site)
}

// Deliver passes an effect of the reducer to the goroutine of its request.
func (g *Gateway) Deliver(id dtstate.RequestID, e dtstate.Effect) {
	g.mu.Lock()
	x := g.exchanges[id]
	g.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.effects <- e:
	default:
		g.recordFailure("decision_dropped", "", id, nil)
	}
}

// newRequestID returns a request ID that is unique in the fleet.
func (g *Gateway) newRequestID() dtstate.RequestID {
	n := g.lastRequestNumber.Add(1)
	return dtstate.RequestID(g.settings.Router + "." + strconv.FormatUint(g.settings.Start, requestIDBase) + "." + strconv.FormatUint(n, requestIDBase))
}

// newExchange returns a new exchange, registered so that Deliver finds it.
func (g *Gateway) newExchange(group, path string, body []byte) *exchange {
	x := &exchange{
		gateway: g, id: g.newRequestID(), group: group, path: path, body: body,
		arrivedAt: time.Now(), effects: make(chan dtstate.Effect, maxPendingEffects),
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.engineID = x.id
	x.sentHash.Reset()
	x.skippedHash.Reset()
	g.mu.Lock()
	g.exchanges[x.id] = x
	g.mu.Unlock()
	return x
}

// endExchange unregisters a request that has ended and counts its outcome.
func (g *Gateway) endExchange(x *exchange, outcome string) {
	x.cancel()
	g.mu.Lock()
	delete(g.exchanges, x.id)
	g.mu.Unlock()
	g.meter.CountRequest(g.metricGroup(x.group), outcome)
}

// metricGroup returns the metric label of a group. All groups that are not configured
// share one label, so that callers can't create an unbounded number of metrics.
func (g *Gateway) metricGroup(name string) string {
	if site := g.site.Load(); site != nil {
		if _, ok := site.Groups[name]; ok {
			return name
		}
	}
	return "unknown"
}

func (g *Gateway) post(ev dtstate.Event) { g.events.Post(ev) }

func (g *Gateway) recordFailure(step, peer string, id dtstate.RequestID, err error) {
	g.failureRecorder.RecordFailure(step, peer, id, err)
}
