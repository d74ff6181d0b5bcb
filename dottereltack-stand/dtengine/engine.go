package dtengine

import (
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// Settings configures an engine; zero values are replaced by defaults, except for Server,
// Address, Model, ColdMs and CheckFencingNumber.
type Settings struct {
	Server             string `json:"server"` // ID of the backend server.
	Address            string `json:"address"`
	Model              string `json:"model"`
	Slots              int    `json:"slots"`         // Maximum number of requests that run at once.
	TokenMs            int    `json:"token_ms"`      // Time to generate one token of each running request.
	PrefillUs          int    `json:"prefill_us"`    // Time to process one uncached prompt token.
	CacheTokens        int    `json:"cache_tokens"`  // Size of the prefix cache.
	ColdMs             int    `json:"cold_ms"`       // Duration of the cold period after a start.
	ColdMaxInFlight    int    `json:"cold_cap"`      // Maximum number of requests to a cold engine; not enforced here.
	ColdSlowdown       int    `json:"cold_slowdown"` // Factor by which a cold engine is slower than a warm one.
	ReportLagMs        int    `json:"report_lag_ms"` // Maximum age of the load report.
	RestartMs          int    `json:"restart_ms"`    // Time from a crash to the restart.
	CheckFencingNumber bool   `json:"check_fence"`   // Whether model changes with an outdated fencing number are rejected.
}

// Defaults of Settings, and the retention of streams.
const (
	defaultSlots           = 16
	defaultTokenMs         = 5
	defaultPrefillUs       = 10
	defaultCacheTokens     = 1 << 20
	defaultColdMaxInFlight = 2
	defaultColdSlowdown    = 10
	defaultReportLagMs     = 200
	defaultRestartMs       = 1500
	streamRetention        = 10 * time.Second // Time after its last read for which a stream can be resumed.
)

// CrashTrigger is a text that crashes the engine if a chat request contains it.
const CrashTrigger = "crash-this-engine"

// Stats holds the counters of an engine, which simulated crashes do not reset.
type Stats struct {
	Server         string         `json:"server"`
	Requests       int            `json:"requests"`
	Crashes        int            `json:"crashes"`
	Cancelled      int            `json:"cancelled"`
	PromptTokens   int            `json:"prompt_tokens"`
	CachedTokens   int            `json:"hit_tokens"`
	MaxRunningCold int            `json:"cold_most"` // Maximum of Running while the engine was cold.
	Running        int            `json:"running"`   // Number of requests running or waiting.
	Model          string         `json:"model"`
	RunCounts      map[string]int `json:"runs,omitempty"` // Unused, as engines run no service calls.
}

// Engine is a simulated model engine.
type Engine struct {
	Settings      Settings
	httpServer    *dtlisten.Server
	mu            sync.Mutex
	startedAt     time.Time
	coldSince     time.Time
	coldDuration  time.Duration
	model         string
	fencingNumber uint64 // Highest one accepted.
	cache         *Cache
	streams       map[string]*stream
	running       []*stream          // At most Settings.Slots streams.
	waiting       []*stream          // Queue for a free slot.
	loadReport    dtapi.ServerReport // As of reportedAt.
	reportedAt    time.Time
	stats         Stats
	cacheEvents   []CacheEvent
	wake          chan struct{} // Wakes runBatch when a stream is queued.
	stop          chan struct{} // Closed by Stop.
	wg            sync.WaitGroup
	// lastEventNumber is the number of the latest cache event; a crash does not reset it.
	lastEventNumber uint64
}

// New returns an engine that listens on its address but does not serve yet.
func New(settings Settings) (*Engine, error) {
	settings.setDefaults()
	e := &Engine{
		Settings: settings, model: settings.Model, cache: NewCache(settings.CacheTokens),
		streams: map[string]*stream{}, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.stats.Server = settings.Server
	e.startIncarnation(time.Now())
	httpServer, err := dtlisten.New(settings.Address, e.handle)
	if err != nil {
		return nil, err
	}
	e.httpServer = httpServer
	e.Settings.Address = httpServer.Address
	return e, nil
}

func (s *Settings) setDefaults() {
	setDefault := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.TokenMs, defaultTokenMs)
	setDefault(&s.PrefillUs, defaultPrefillUs)
	setDefault(&s.CacheTokens, defaultCacheTokens)
	setDefault(&s.ColdMaxInFlight, defaultColdMaxInFlight)
	setDefault(&s.ColdSlowdown, defaultColdSlowdown)
	setDefault(&s.ReportLagMs, defaultReportLagMs)
	setDefault(&s.RestartMs, defaultRestartMs)
}

// startIncarnation resets the engine to the state after a process start: no streams, an
// empty cache, and cold for Settings.ColdMs.
func (e *Engine) startIncarnation(now time.Time) {
	e.startedAt = now
	e.makeColdLocked(now, time.Duration(e.Settings.ColdMs)*time.Millisecond)
	e.streams = map[string]*stream{}
	e.running = nil
	e.waiting = nil
	e.loadReport = dtapi.ServerReport{}
}

// makeColdLocked implements MakeCold. The caller must hold e.mu, except in New.
func (e *Engine) makeColdLocked(now time.Time, d time.Duration) {
	e.cache = NewCache(e.Settings.CacheTokens)
	e.coldSince = now
	e.coldDuration = d
}

// MakeCold empties the cache and slows the engine down for d, as a restart does, but does
// not change the start time in the load report.
func (e *Engine) MakeCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.makeColdLocked(time.Now(), d)
}

// Start serves requests and runs the batch in the background until Stop.
func (e *Engine) Start() {
	e.httpServer.Start()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.runBatch()
	}()
}

// Stop stops the engine and waits for its background goroutines.
func (e *Engine) Stop() {
	close(e.stop)
	e.httpServer.Stop()
	e.wg.Wait()
}

// Crash aborts all streams, resets all connections and restarts the engine after
// Settings.RestartMs.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.stats.Crashes++
	aborted := e.streams
	e.startIncarnation(time.Now())
	e.mu.Unlock()
	for _, s := range aborted {
		s.abort()
	}
	e.httpServer.Crash()
	time.AfterFunc(time.Duration(e.Settings.RestartMs)*time.Millisecond, e.restart)
}

// restart ends a simulated crash, unless the engine has been stopped.
func (e *Engine) restart() {
	select {
	case <-e.stop:
		return
	default:
	}
	e.mu.Lock()
	e.startIncarnation(time.Now())
	e.mu.Unlock()
	_ = e.httpServer.Restart()
}

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Model = e.model
	e.stats.Running = len(e.running) + len(e.waiting)
	return e.stats
}

func (e *Engine) isCold(now time.Time) bool { return now.Sub(e.coldSince) < e.coldDuration }

// runBatch runs a step of the batch every TokenMs until Stop, and blocks while there is
// no work.
func (e *Engine) runBatch() {
	stepInterval := time.Duration(e.Settings.TokenMs) * time.Millisecond
	for {
		e.mu.Lock()
		hasWork := len(e.running)+len(e.waiting) > 0
		e.mu.Unlock()
		if !hasWork {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(stepInterval):
			e.runStep(time.Now(), stepInterval)
		case <-e.stop:
			return
		}
	}
}

// runStep fills free slots from the queue, advances the running streams by computeTime, or
// less if the engine is cold, and discards streams whose retention has passed.
func (e *Engine) runStep(now time.Time, computeTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isCold(now) {
		e.stats.MaxRunningCold = max(e.stats.MaxRunningCold, len(e.running)+len(e.waiting))
		computeTime /= time.Duration(e.Settings.ColdSlowdown)
	}
	for len(e.waiting) > 0 && len(e.running) < e.Settings.Slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	active := e.running[:0]
	for _, s := range e.running {
		if s.advance(now, computeTime, time.Duration(e.Settings.TokenMs)*time.Millisecond) {
			active = append(active, s)
			continue
		}
		if s.finished {
			e.cache.Add(s.prefixes)
			e.recordCacheEvents(s.prefixes, now)
		}
	}
	e.running = active
	for id, s := range e.streams {
		if now.Sub(s.lastReadAt) > streamRetention && (s.finished || s.readers == 0) {
			s.cancelled = true
			delete(e.streams, id)
		}
	}
}

func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
