package dtplatform

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// watchTimeout limits how long a watch waits for a change.
const watchTimeout = 20 * time.Second

// Server serves a Store over HTTP.
type Server struct {
	Store      *Store
	httpServer *dtlisten.Server
	stop       chan struct{} // Closed by Stop.
}

// New returns a server that listens on the address in cfg but does not serve yet.
func New(settings Settings) (*Server, error) {
	s := &Server{Store: NewStore(settings), stop: make(chan struct{})}
	httpServer, err := dtlisten.New(settings.Address, s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = httpServer
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.httpServer.Address }

// Start serves requests in the background until Stop.
func (s *Server) Start() { s.httpServer.Start() }

// Stop ends pending watches, stops the server and waits for its background goroutines.
func (s *Server) Stop() {
	close(s.stop)
	s.httpServer.Stop()
}

// injectedFault is the effect of the faults and rate limits on one call.
type injectedFault struct {
	unavailable  bool
	delay        time.Duration
	dropResponse bool
}

// admit counts a call, also against its rate limit, and returns the fault to inject into it.
func (s *Store) admit(path string, write bool, now time.Time) injectedFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := &s.readLimiter
	if write {
		limiter = &s.writeLimiter
	}
	s.countCall(path, write)
	fault := injectedFault{delay: time.Duration(s.faults.DelayMs) * time.Millisecond}
	if !limiter.allow(now) {
		s.counts.RateLimited++
		fault.unavailable = true
	}
	fault.unavailable = fault.unavailable || s.faults.Outage
	fault.dropResponse = s.faults.LostResponseRatio > 0 && s.rng.Float64() < s.faults.LostResponseRatio
	if fault.dropResponse {
		s.counts.LostResponses++
	}
	return fault
}

func (s *Store) countCall(path string, write bool) {
	switch {
	case write:
		s.counts.Writes++
	case path == dtapi.PathWatch:
		s.counts.Watches++
	case path == dtapi.PathHosts:
		s.counts.HostLists++
	default:
		s.counts.Reads++
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	fault := s.Store.admit(path, ctx.IsPut(), time.Now())
	if fault.delay > 0 {
		time.Sleep(fault.delay)
	}
	if fault.unavailable {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.route(ctx, path)
	if fault.dropResponse { // The write, if any, has already taken effect.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx, path string) {
	key := string(ctx.QueryArgs().Peek("key"))
	now := time.Now()
	switch {
	case path == dtapi.PathKey && ctx.IsPut():
		s.handlePut(ctx, now)
	case path == dtapi.PathKey:
		dtlisten.WriteJSON(ctx, s.Store.Get(key, now))
	case path == dtapi.PathList:
		dtlisten.WriteJSON(ctx, s.Store.List(key, now))
	case path == dtapi.PathHosts:
		dtlisten.WriteJSON(ctx, s.Store.Hosts(now))
	case path == dtapi.PathWatch:
		revision, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("revision")), 10, 64)
		dtlisten.WriteJSON(ctx, s.waitForChange(key, revision))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx, now time.Time) {
	var req dtapi.PutRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	kv, ok := s.Store.Put(req, now)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	dtlisten.WriteJSON(ctx, kv)
}

// waitForChange returns the value of a key once its revision differs from the given one,
// or its current value after watchTimeout.
func (s *Server) waitForChange(key string, revision uint64) dtapi.KeyValue {
	deadline := time.After(watchTimeout)
	for {
		changed := s.Store.Changed()
		kv := s.Store.Get(key, time.Now())
		if kv.Revision != revision {
			return kv
		}
		select {
		case <-changed:
		case <-deadline:
			return kv
		case <-s.stop:
			return kv
		}
	}
}
