package dtdispatch

import (
	"cmp"
	"time"
)

// Bounds are the service-level guarantees that the reducer keeps, for the fleet as a whole.
type Bounds struct {
	RetryRatio        float64
	RetryWindow       time.Duration
	RetrySlack        float64
	ColdFactor        float64
	ColdTolerance     float64
	ShutdownTimeout   time.Duration // From the stop signal until the process is killed.
	DrainTimeout      time.Duration // A draining server gets no new requests after this time.
	HeartbeatInterval time.Duration // Interval at which a server renews its entry in the store.
	SkewFactor        float64       // Maximum load of a server as a multiple of the mean of its service, plus three requests.
}

// Defaults for settings that omit a bound: the values of the first deployments.
const (
	defaultDrainTimeout      = 2 * time.Second
	defaultHeartbeatInterval = 1200 * time.Millisecond
	defaultSkewFactor        = 2
)

// withDefaults returns the bounds with defaults for the values that intervals and load limits
// are derived from.
func (b Bounds) withDefaults() Bounds {
	b.DrainTimeout = cmp.Or(b.DrainTimeout, defaultDrainTimeout)
	b.HeartbeatInterval = cmp.Or(b.HeartbeatInterval, defaultHeartbeatInterval)
	b.SkewFactor = cmp.Or(b.SkewFactor, defaultSkewFactor)
	return b
}

// Settings holds the local settings of a router, as opposed to the operators' configuration.
type Settings struct {
	RouterName string
	Address    string // Where other routers reach this one.
	Domain     string
	Regions    map[string]string // Regions by failure domain.
	Bounds     Bounds
	Start      int64 // Incarnation: the start time in Unix milliseconds.
}

// State is the complete state of a router's reducer; only Step changes it.
type State struct {
	Settings     Settings
	Config       *Config
	Roster       Roster
	Loads        map[ServerID]*ServerLoad
	Health       map[ServerID]*ServerHealth
	ColdBudgets  map[ServerID]*ColdBudget
	DomainHealth map[string]*DomainHealth // By failure domain.
	RetryBudgets map[string]*RetryBudget  // By service.
	Crashes      CrashTracker
	Prompts      PromptIndex
	Requests     map[RequestNumber]*Request
	Membership   Membership
	Peers        Peers
	ListPolling  ListPolling
	FleetLoad    FleetLoad
	Shutdown     Shutdown
	IsReady      bool
	StoreDown    bool // The last call to the store failed.

	timerAt time.Time // Time of the pending timer.
	effects []Effect  // Effects of the current step.
}

// New returns the initial state of a router that starts at now.
func New(settings Settings, now time.Time) *State {
	settings.Bounds = settings.Bounds.withDefaults()
	return &State{
		Settings:     settings,
		Membership:   Membership{NextListAt: now.Add(initialListDelay)},
		Peers:        Peers{NextStatusAt: now.Add(minStatusInterval)},
		Loads:        map[ServerID]*ServerLoad{},
		Health:       map[ServerID]*ServerHealth{},
		ColdBudgets:  map[ServerID]*ColdBudget{},
		DomainHealth: map[string]*DomainHealth{},
		RetryBudgets: map[string]*RetryBudget{},
		Requests:     map[RequestNumber]*Request{},
	}
}

// Step applies an event at now and returns its effects, which are valid until the next call.
func (s *State) Step(ev Event, now time.Time) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case RequestArrived:
		s.handleRequestArrived(ev, now)
	case ResponseStarted:
		s.handleResponseStarted(ev, now)
	case AttemptEnded:
		s.handleAttemptEnded(ev, now)
	case ServerChecked:
		s.handleServerChecked(ev, now)
	case PeerMessageReceived:
		s.handlePeerMessage(ev.Message, now)
	case StopRequested:
		s.handleStopRequested(now)
	case TimerFired:
		s.handleTimerFired(now)
	default:
		s.handlePlatformEvent(ev, now)
	}
	s.updateReadiness()
	s.updateTimer(now)
	return s.effects
}

// handlePlatformEvent applies an event that the platform adapter delivers.
func (s *State) handlePlatformEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case ConfigReceived:
		s.handleConfigReceived(ev.Config)
	case ServersListed:
		s.markStoreUp()
		s.handleServersListed(ev, now)
	case OutOfServiceListed:
		s.markStoreUp()
		s.setOutOfService(ev.Domains, ev.Revision)
	case StoreFailed:
		s.markStoreDown(ev)
	case RoutersListed:
		s.markStoreUp()
		s.handleRoutersListed(ev, now)
	case SettingsChanged:
		s.handleSettingsChanged(ev, now)
	case ListServersFailed:
		s.scheduleListRetry(now)
		s.markStoreDown(StoreFailed{Call: "list_servers", Detail: ev.Detail})
	}
}

// handleSettingsChanged applies reloaded settings. Requests and retries already counted still
// count.
func (s *State) handleSettingsChanged(ev SettingsChanged, now time.Time) {
	s.Settings.Regions = ev.Regions
	s.Settings.Bounds = ev.Bounds.withDefaults()
	for _, b := range s.RetryBudgets {
		b.Resize(ev.Bounds.RetryWindow, now)
	}
	s.emit(LogEvent{Step: "settings", Detail: "in force"})
}

// emit adds an effect to the current step.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// handleConfigReceived activates a configuration unless its version is lower than or equal to
// the active one.
func (s *State) handleConfigReceived(config *Config) {
	if s.Config != nil && config.Version <= s.Config.Version {
		return
	}
	s.Config = config
	s.emit(PublishConfig{Config: config})
	s.emit(LogEvent{Step: "configuration", Detail: "in force", ConfigVersion: config.Version})
}

// setOutOfService sets the failure domains that are out of service.
func (s *State) setOutOfService(domains []string, revision uint64) {
	if !s.Roster.SetOutOfService(domains, revision) {
		return
	}
	for _, domain := range sortedKeys(s.Roster.OutOfService) {
		s.emit(LogEvent{Step: "domain_out", Peer: domain})
	}
	if len(domains) == 0 {
		s.emit(LogEvent{Step: "domains_back"})
	}
}

// markStoreDown logs the first of several consecutive failed calls.
func (s *State) markStoreDown(ev StoreFailed) {
	if s.StoreDown {
		return
	}
	s.StoreDown = true
	s.emit(LogEvent{Step: "store_lost", Peer: ev.Call, Detail: ev.Detail})
}

// markStoreUp logs the recovery of the store and restarts the watch.
func (s *State) markStoreUp() {
	if !s.StoreDown {
		return
	}
	s.StoreDown = false
	s.emit(LogEvent{Step: "store_back"})
	s.emit(RestartWatch{})
}

// updateReadiness tells the load balancer's probe whether the router accepts callers.
func (s *State) updateReadiness() {
	ready := s.Config != nil && len(s.Roster.Servers) > 0 && !s.Shutdown.Requested
	if ready == s.IsReady {
		return
	}
	s.IsReady = ready
	s.emit(SetReady{Ready: ready})
}

// updateTimer requests a timer for the next task if its time has changed.
func (s *State) updateTimer(now time.Time) {
	next := s.Peers.NextStatusTime()
	for _, at := range [...]time.Time{s.Shutdown.NextStepTime(), s.nextServerListAt(now), s.FleetLoad.NextAt, s.Membership.NextListAt} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if next.Equal(s.timerAt) && next.After(now) {
		return
	}
	s.timerAt = next
	s.emit(SetTimer{At: next})
}

// handleTimerFired performs the tasks that are due.
func (s *State) handleTimerFired(now time.Time) {
	s.timerAt = time.Time{}
	s.continueShutdown(now)
	s.listRoutersIfDue(now)
	s.sendStatusIfDue(now)
	s.collectLoadsIfDue(now)
	s.listServersIfDue(now)
}

// serverLoad returns the load entry of a server.
func (s *State) serverLoad(id ServerID) *ServerLoad {
	return getOrCreate(s.Loads, id, func() *ServerLoad { return &ServerLoad{} })
}

// serverHealth returns the health entry of a server.
func (s *State) serverHealth(id ServerID) *ServerHealth {
	return getOrCreate(s.Health, id, func() *ServerHealth { return &ServerHealth{} })
}

// coldBudget returns this router's budget for a cold server.
func (s *State) coldBudget(server *Server, now time.Time) *ColdBudget {
	return getOrCreate(s.ColdBudgets, server.ID, func() *ColdBudget {
		return NewColdBudget(HashString(s.Settings.RouterName+" "+string(server.ID)), now)
	})
}

// domainHealth returns the health entry of a failure domain.
func (s *State) domainHealth(domain string) *DomainHealth {
	return getOrCreate(s.DomainHealth, domain, func() *DomainHealth { return &DomainHealth{} })
}

// retryBudget returns the retry budget of a service.
func (s *State) retryBudget(service string) *RetryBudget {
	return getOrCreate(s.RetryBudgets, service, func() *RetryBudget { return NewRetryBudget(s.Settings.Bounds) })
}

// getOrCreate returns the value of a key, creating it if needed.
func getOrCreate[K comparable, V any](m map[K]*V, key K, create func() *V) *V {
	v := m[key]
	if v == nil {
		v = create()
		m[key] = v
	}
	return v
}
