package dtengine

import (
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// Settings configures an engine. Zero values are replaced by defaults, except for Server,
// Address, Model, ColdMs and CheckFence.
type Settings struct {
	Server       string `json:"server"` // ID of the backend server.
	Address      string `json:"address"`
	Model        string `json:"model"`
	Slots        int    `json:"slots"`         // Number of requests that run at once.
	TokenMs      int    `json:"token_ms"`      // Time to generate one token of each running request.
	PrefillUs    int    `json:"prefill_us"`    // Time to process one uncached prompt token, in microseconds.
	CacheTokens  int    `json:"cache_tokens"`  // Size of the prefix cache, in tokens.
	ColdMs       int    `json:"cold_ms"`       // Time that the engine is cold after a start.
	ColdCap      int    `json:"cold_cap"`      // Number of requests to send to a cold engine; not enforced here.
	ColdSlowdown int    `json:"cold_slowdown"` // Factor by which a cold engine is slower.
	ReportLagMs  int    `json:"report_lag_ms"` // Maximum age of the load report.
	RestartMs    int    `json:"restart_ms"`    // Time from a crash to the restart.
	CheckFence   bool   `json:"check_fence"`   // Whether outdated fencing numbers are rejected.
}

// Defaults of Settings, and the retention of streams.
const (
	defaultSlots        = 16
	defaultTokenMs      = 5
	defaultPrefillUs    = 10
	defaultCacheTokens  = 1 << 20
	defaultColdCap      = 2
	defaultColdSlowdown = 10
	defaultReportLagMs  = 200
	defaultRestartMs    = 1500
	streamRetention     = 10 * time.Second // Time since the last read that a stream can be resumed.
)

// CrashTrigger is a text that crashes the engine when a prompt contains it.
const CrashTrigger = "crash-this-engine"

// Stats holds the counters of an engine since its process started; simulated crashes do
// not reset them.
type Stats struct {
	Server          string         `json:"server"`
	Requests        int            `json:"requests"`
	Crashes         int            `json:"crashes"`
	Cancelled       int            `json:"cancelled"`
	PromptTokens    int            `json:"prompt_tokens"`
	CachedTokens    int            `json:"hit_tokens"`
	MaxColdRequests int            `json:"cold_most"` // Largest number of requests running or waiting while cold.
	Running         int            `json:"running"`   // Requests running or waiting now.
	Model           string         `json:"model"`
	Runs            map[string]int `json:"runs,omitempty"` // Unused; engines run no service calls.
}

// Engine is a simulated model engine.
type Engine struct {
	Settings     Settings
	httpServer   *dtlisten.Server
	mu           sync.Mutex
	startedAt    time.Time
	coldSince    time.Time
	coldDuration time.Duration
	model        string
	fence        uint64 // Highest fencing number accepted.
	cache        *Cache
	streams      map[string]*stream
	running      []*stream          // The batch, at most Settings.Slots streams.
	waiting      []*stream          // Streams queued for a slot.
	loadReport   dtapi.ServerReport // Last report, taken at reportedAt.
	reportedAt   time.Time
	stats        Stats
	cacheEvents  []CacheEvent
	wake         chan struct{} // Wakes runBatch when a stream is queued.
	stop         chan struct{} // Closed by Stop.
	wg           sync.WaitGroup
	// lastEventNumber is the number of the latest cache event. A crash does not reset it.
	lastEventNumber uint64
}

// New returns an engine that listens on its address but does not serve yet.
func New(cfg Settings) (*Engine, error) {
	cfg.setDefaults()
	e := &Engine{
		Settings: cfg, model: cfg.Model, cache: NewCache(cfg.CacheTokens),
		streams: map[string]*stream{}, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.stats.Server = cfg.Server
	e.startIncarnation(time.Now())
	httpServer, err := dtlisten.New(cfg.Address, e.handle)
	if err != nil {
		return nil, err
	}
	e.httpServer = httpServer
	e.Settings.Address = httpServer.Address
	return e, nil
}

func (cfg *Settings) setDefaults() {
	setDefault := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&cfg.Slots, defaultSlots)
	setDefault(&cfg.TokenMs, defaultTokenMs)
	setDefault(&cfg.PrefillUs, defaultPrefillUs)
	setDefault(&cfg.CacheTokens, defaultCacheTokens)
	setDefault(&cfg.ColdCap, defaultColdCap)
	setDefault(&cfg.ColdSlowdown, defaultColdSlowdown)
	setDefault(&cfg.ReportLagMs, defaultReportLagMs)
	setDefault(&cfg.RestartMs, defaultRestartMs)
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

// makeColdLocked implements MakeCold. The caller must hold e.mu, unless the engine is not
// in use yet.
func (e *Engine) makeColdLocked(now time.Time, d time.Duration) {
	e.cache = NewCache(e.Settings.CacheTokens)
	e.coldSince = now
	e.coldDuration = d
}

// MakeCold empties the cache and slows the engine down for d, as after a start. Unlike a
// restart, it does not show in the load report.
func (e *Engine) MakeCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.makeColdLocked(time.Now(), d)
}

// Start starts to serve requests and to run the batch in the background.
func (e *Engine) Start() {
	e.httpServer.Start()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.runBatch()
	}()
}

// Stop stops the engine and waits until its goroutines have ended.
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

// restart ends a simulated crash, unless the engine was stopped meanwhile.
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

// isCold reports whether the engine is cold.
func (e *Engine) isCold(now time.Time) bool { return now.Sub(e.coldSince) < e.coldDuration }

// runBatch runs one step of the batch every TokenMs until Stop. It blocks while no
// request is running or waiting.
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

// runStep fills free slots from the queue, advances every running stream by computeTime,
// and discards streams whose retention has passed. A cold engine gets less done in a
// step.
func (e *Engine) runStep(now time.Time, computeTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isCold(now) {
		e.stats.MaxColdRequests = max(e.stats.MaxColdRequests, len(e.running)+len(e.waiting))
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
			e.recordCached(s.prefixes, now)
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

// wakeBatch wakes runBatch if it is blocked.
func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
