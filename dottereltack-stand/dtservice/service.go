package dtservice

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// Settings is how one service behaves; times are in milliseconds.
type Settings struct {
	Server    string `json:"server"`
	Address   string `json:"address"`
	CallMs    int    `json:"call_ms"`
	RestartMs int    `json:"restart_ms"`
}

// Service is one stand-in for a plain service.
type Service struct {
	Settings Settings
	web      *dtlisten.Server
	mu       sync.Mutex
	start    time.Time
	running  uint32
	runs     map[string]int
}

// Answer is the body of a call's answer.
type Answer struct {
	Call   string `json:"call"`
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Server string `json:"server"`
	Echo   string `json:"echo"`
}

// New returns a service that listens but does not run yet.
func New(cfg Settings) (*Service, error) {
	s := &Service{Settings: cfg, start: time.Now(), runs: map[string]int{}}
	web, err := dtlisten.New(cfg.Address, s.handle)
	if err != nil {
		return nil, err
	}
	s.web = web
	s.Settings.Address = web.Address
	return s, nil
}

// Start serves in the background.
func (s *Service) Start() { s.web.Start() }

// Stop ends the service and waits for it.
func (s *Service) Stop() { s.web.Stop() }

// Crash loses every connection; what has run stays counted.
func (s *Service) Crash() {
	s.web.Crash()
	time.AfterFunc(time.Duration(max(s.Settings.RestartMs, 1))*time.Millisecond, func() {
		s.mu.Lock()
		s.start = time.Now()
		s.mu.Unlock()
		_ = s.web.Restart()
	})
}

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	call, isCall := strings.CutPrefix(path, dtapi.PathCalls+"/")
	switch {
	case path == dtapi.PathReport:
		dtlisten.Reply(ctx, s.report())
	case isCall:
		dtlisten.Reply(ctx, s.run(ctx, call))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Service) report() dtapi.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dtapi.ServerReport{Server: s.Settings.Server, Start: uint64(s.start.UnixMilli()), Running: s.running}
}

// run counts one run of a call and takes CallMs for it.
func (s *Service) run(ctx *fasthttp.RequestCtx, call string) Answer {
	key := string(ctx.Request.Header.Peek(dtapi.HeaderIdempotencyKey))
	body := string(ctx.PostBody())
	s.mu.Lock()
	s.running++
	if key != "" {
		s.runs[key]++
	}
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(time.Duration(s.Settings.CallMs) * time.Millisecond)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	return Answer{Call: call, Key: key, Run: n, Server: s.Settings.Server, Echo: body}
}
