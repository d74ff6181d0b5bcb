package dtservice

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// Settings configures a service.
type Settings struct {
	Server    string `json:"server"` // ID of the backend server.
	Address   string `json:"address"`
	CallMs    int    `json:"call_ms"`    // Duration of a call.
	RestartMs int    `json:"restart_ms"` // Time from a crash to the restart.
}

// Service is a simulated backend service.
type Service struct {
	Settings   Settings
	httpServer *dtlisten.Server
	mu         sync.Mutex
	startedAt  time.Time
	inFlight   uint32
	runCounts  map[string]int // By idempotency key.
}

// CallResponse is the body of the response to a call.
type CallResponse struct {
	Call     string `json:"call"`
	Key      string `json:"key"`
	RunCount int    `json:"run"` // Number of runs with this key so far; zero without a key.
	Server   string `json:"server"`
	Echo     string `json:"echo"` // Body of the request.
}

// New returns a service that listens on its address but does not serve yet.
func New(settings Settings) (*Service, error) {
	s := &Service{Settings: settings, startedAt: time.Now(), runCounts: map[string]int{}}
	httpServer, err := dtlisten.New(settings.Address, s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = httpServer
	s.Settings.Address = httpServer.Address
	return s, nil
}

// Start serves requests in the background until Stop.
func (s *Service) Start() { s.httpServer.Start() }

// Stop stops the service and waits for its background goroutines.
func (s *Service) Stop() { s.httpServer.Stop() }

// Crash resets all connections and restarts the service after Settings.RestartMs, without
// resetting the run counts.
func (s *Service) Crash() {
	s.httpServer.Crash()
	time.AfterFunc(time.Duration(max(s.Settings.RestartMs, 1))*time.Millisecond, func() {
		s.mu.Lock()
		s.startedAt = time.Now()
		s.mu.Unlock()
		_ = s.httpServer.Restart()
	})
}

// RunCounts returns the number of runs by idempotency key.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.runCounts))
	for k, n := range s.runCounts {
		counts[k] = n
	}
	return counts
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	call, isCall := strings.CutPrefix(path, dtapi.PathCalls+"/")
	switch {
	case path == dtapi.PathReport:
		dtlisten.WriteJSON(ctx, s.loadReport())
	case isCall:
		dtlisten.WriteJSON(ctx, s.runCall(ctx, call))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Service) loadReport() dtapi.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dtapi.ServerReport{Server: s.Settings.Server, Start: uint64(s.startedAt.UnixMilli()), Running: s.inFlight}
}

// runCall counts the run by its idempotency key and takes Settings.CallMs.
func (s *Service) runCall(ctx *fasthttp.RequestCtx, call string) CallResponse {
	key := string(ctx.Request.Header.Peek(dtapi.HeaderIdempotencyKey))
	body := string(ctx.PostBody())
	s.mu.Lock()
	s.inFlight++
	if key != "" {
		s.runCounts[key]++
	}
	runCount := s.runCounts[key]
	s.mu.Unlock()
	time.Sleep(time.Duration(s.Settings.CallMs) * time.Millisecond)
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	return CallResponse{Call: call, Key: key, RunCount: runCount, Server: s.Settings.Server, Echo: body}
}
