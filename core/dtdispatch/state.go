package dtdispatch

import (
	"cmp"
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// Bounds are the fleet-wide limits and timeouts.
type Bounds struct {
	RetryRatio        float64       // Maximum retries per request, in addition to RetrySlack.
	RetryWindow       time.Duration // Period over which requests and retries are counted.
	RetrySlack        float64       // Retries of a service per window allowed regardless of the number of requests.
	ColdFactor        float64       // Maximum request rate to a cold server as a multiple of its Service.ColdRate.
	ColdTolerance     float64       // Requests per second allowed in addition to that rate.
	ShutdownTimeout   time.Duration // Time from the stop signal until the process is killed.
	DrainTimeout      time.Duration // A draining server gets no new requests after this time.
	HeartbeatInterval time.Duration // Interval at which a server renews its entry in the store.
	MaxLoadFactor     float64       // Maximum load of a server as a multiple of the mean of its service, plus three requests.
	Rollout           dtrollout.Bounds
}

// Defaults for bounds that the settings omit.
const (
	defaultDrainTimeout      = 2 * time.Second
	defaultHeartbeatInterval = 1200 * time.Millisecond
	defaultMaxLoadFactor     = 2
)

// withDefaults sets the bounds that must not be zero, because intervals and load limits are
// derived from them.
func (b Bounds) withDefaults() Bounds {
	b.DrainTimeout = cmp.Or(b.DrainTimeout, defaultDrainTimeout)
	b.HeartbeatInterval = cmp.Or(b.HeartbeatInterval, defaultHeartbeatInterval)
	b.MaxLoadFactor = cmp.Or(b.MaxLoadFactor, defaultMaxLoadFactor)
	return b
}

// Settings are the local settings of a router, as opposed to the operators' configuration.
type Settings struct {
	RouterName string
	Address    string // Where other routers reach this one.
	// Addresses that this router listens on. A server that is listed at one of them gets no requests,
	// since they would come back to this router.
	OwnAddresses []string
	Domain       string
	Regions      map[string]string // Regions by failure domain.
	Bounds       Bounds
	Start        int64 // Start time in Unix milliseconds, which identifies the incarnation of the router.
	Rollouts     bool  // Orders to roll out a version are carried out.
	IsFirstStart bool  // The whole fleet may be starting for the first time; see State.isFirstStart.
	SharesRoom   bool  // Requests wait in this router while the servers have no room, and have shares of it; see Contention.
	ServerPace   PaceSetting
}

// State is the complete state of a router's reducer; only Step changes it.
type State struct {
	Settings          Settings
	StartedAt         time.Time
	Config            *Config
	LastRejection     ConfigRejection
	Roster            Roster
	OutOfService      OutOfService
	Loads             map[ServerID]*ServerLoad
	Health            map[ServerID]*ServerHealth
	ColdBudgets       map[ServerID]*ColdBudget
	ServerRates       map[ServerID]*ServerRate    // Of servers that have named a limit.
	BrittleServers    map[ServerID]*BrittleServer // Of servers that have said that they are brittle.
	RoomWaits         []RequestNumber             // Requests that wait for room at brittle servers.
	RoomShortAt       time.Time                   // When a request last had to wait for it.
	BrittleDemand     map[string]*Window          // Requests for services with brittle servers, by service.
	Contention        map[string]*Contention      // By service; empty unless Settings.SharesRoom.
	Notices           map[ServerID]*ServerNotice  // Of servers that have announced something, also after they have left the list.
	DomainHealth      map[string]*DomainHealth    // By failure domain.
	RetryBudgets      map[string]*RetryBudget     // By service.
	Crashes           CrashTracker
	ServerNews        ServerNews
	Reach             map[string]*Reach // By service.
	ReachSince        time.Time         // Failures of attempts that began before show no cut, since the router stood still until then.
	Tunnels           Tunnels
	Prompts           PromptIndex
	Requests          map[RequestNumber]*Request
	HeldStreams       map[RequestNumber]bool // Streams of which the relay has the first event; some may have been forwarded since.
	Membership        Membership
	Peers             Peers
	ServerListPolling ServerListPolling
	OperatorKeys      OperatorKeys
	StreamVersions    StreamVersions
	Resume            Resume
	Startup           Startup
	FleetLoad         FleetLoad
	Rollouts          Rollouts
	Capacity          Capacity
	Shutdown          Shutdown
	IsReady           bool
	IsStoreDown       bool   // The last call to the store failed.
	StoreEra          uint64 // Highest era that the store has named; zero if none.
	IsListIgnored     bool   // The last list read from the store was ignored as outdated.

	BudgetRouters int // Number of routers that share the fleet's budgets, as last logged.

	lastRateSeq    uint64    // Of ServerRates.
	lastBrittleSeq uint64    // Of BrittleServers.
	timerAt        time.Time // Time of the pending timer.
	effects        []Effect  // Effects of the current step.
}

// New returns the initial state of a router that starts at now.
func New(settings Settings, now time.Time) *State {
	settings.Bounds = settings.Bounds.withDefaults()
	membership := Membership{NextListAt: now.Add(initialRouterListDelay)}
	if settings.IsFirstStart {
		membership.ListedAt = now // Routers that have just started are not cut off.
	}
	return &State{
		Settings:   settings,
		StartedAt:  now,
		Membership: membership,
		Peers:      Peers{NextStatusAt: now.Add(minStatusInterval)},
		// Both are read at once. The zero time would leave them to the timer of the next task, if another event comes first.
		ServerListPolling: ServerListPolling{Polling: Polling{NextAt: now}},
		OperatorKeys:      OperatorKeys{Polling: Polling{NextAt: now}},
		Loads:             map[ServerID]*ServerLoad{},
		Health:            map[ServerID]*ServerHealth{},
		ColdBudgets:       map[ServerID]*ColdBudget{},
		ServerRates:       map[ServerID]*ServerRate{},
		BrittleServers:    map[ServerID]*BrittleServer{},
		BrittleDemand:     map[string]*Window{},
		Contention:        map[string]*Contention{},
		Notices:           map[ServerID]*ServerNotice{},
		DomainHealth:      map[string]*DomainHealth{},
		RetryBudgets:      map[string]*RetryBudget{},
		Reach:             map[string]*Reach{},
		Tunnels:           NewTunnels(),
		Crashes:           NewCrashTracker(Mix(HashString(settings.RouterName), uint64(settings.Start))),
		Requests:          map[RequestNumber]*Request{},
		HeldStreams:       map[RequestNumber]bool{},
	}
}

// Step applies an event at now and returns its effects, which are valid until the next call.
func (s *State) Step(ev Event, now time.Time) []Effect {
	s.effects = s.effects[:0]
	s.observeStandstill(now)
	switch ev := ev.(type) {
	case RequestArrived, CallerLeft:
		s.handleCallerEvent(ev, now)
	case ResponseStarted:
		s.handleResponseStarted(ev, now)
	case AttemptSilent:
		s.handleAttemptSilent(ev, now)
	case ResponseClosed:
		s.handleResponseClosed(ev, now)
	case AttemptEnded:
		s.handleAttemptEnded(ev, now)
	case TunnelRequested, TunnelDialed:
		s.handleTunnelEvent(ev, now)
	case ServerChecked:
		s.handleServerChecked(ev, now)
	case PeerMessageReceived, PeerMessageUnreadable:
		s.handlePeerEvent(ev, now)
	case StopRequested:
		s.handleStopRequested(now)
	case Paused:
		s.handlePaused(ev, now)
	case TimerFired:
		s.handleTimerFired(now)
	default:
		s.handlePlatformEvent(ev, now)
	}
	s.finishResume(now)
	s.endStartupHolds(now)
	s.endRoomWaits(now)
	s.endTurnWaits(now)
	s.noteGaps(now)
	s.endStandstill(now)
	if s.Roster.ListedAt.After(s.StreamVersions.checkedAt) {
		s.forwardHeldStreams(now)
	}
	s.StreamVersions.checkedAt = s.Roster.ListedAt
	s.updateReadiness()
	s.updateTimer(now)
	return s.effects
}

// handleCallerEvent applies an event of a caller that has no attempt yet.
func (s *State) handleCallerEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case RequestArrived:
		if s.isResuming(now) {
			s.hold(ev, now)
			return
		}
		s.handleRequestArrived(ev, now)
	case CallerLeft:
		s.handleCallerLeft(ev, now)
	}
}

// handlePlatformEvent applies an event that the platform adapter delivers.
func (s *State) handlePlatformEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case ConfigReceived, ConfigUnreadable:
		s.handleConfigEvent(ev, now)
	case ServersListed:
		s.markStoreUp()
		s.observeEra(ev.Revision.Era(), now)
		s.handleServersListed(ev, now)
	case DomainsOutOfServiceListed:
		s.markStoreUp()
		s.observeEra(ev.Revision.Era(), now)
		s.listOutOfService(ev.Domains, ev.Revision, now)
	case RolloutsListed, RolloutStatusStored, RolloutStatusFailed:
		s.handleRolloutEvent(ev, now)
	case OperatorKeysRead:
		s.markStoreUp()
		s.handleOperatorKeysRead(ev, now)
	case OperatorKeysFailed:
		s.handleOperatorKeysFailed(ev, now)
	case StoreEraRead:
		s.observeEra(ev.Era, now)
	case StoreFailed:
		s.markStoreDown(ev)
	case RoutersListed:
		s.markStoreUp()
		s.handleRoutersListed(ev, now)
	case RouterRegistered:
		s.Membership.IsNew = ev.IsNew
	case SettingsChanged:
		s.handleSettingsChanged(ev, now)
	case VersionRecordRead:
		s.markStoreUp()
		s.handleVersionRecordRead(ev, now)
	case VersionRecordWritten:
		s.markStoreUp()
		s.handleVersionRecordWritten(ev, now)
	case VersionRecordFailed:
		s.handleVersionRecordFailed(ev, now)
	case ListServersFailed:
		s.ServerListPolling.Fail(now)
		s.markStoreDown(StoreFailed{Call: "list_servers", Detail: ev.Detail})
	}
}

// handleSettingsChanged applies reloaded settings and keeps the requests and retries counted so
// far.
func (s *State) handleSettingsChanged(ev SettingsChanged, now time.Time) {
	s.Settings.Regions = ev.Regions
	s.Settings.Bounds = ev.Bounds.withDefaults()
	for _, b := range s.RetryBudgets {
		b.Resize(ev.Bounds.RetryWindow, now)
	}
	s.emit(LogRecord{Event: "settings", Detail: "in force"})
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// markStoreDown logs only the first of consecutive failed calls.
func (s *State) markStoreDown(ev StoreFailed) {
	if s.IsStoreDown {
		return
	}
	s.IsStoreDown = true
	s.emit(LogRecord{Event: "store_lost", Subject: ev.Call, Detail: ev.Detail})
}

// markStoreUp restarts the watch after an outage of the store.
func (s *State) markStoreUp() {
	if !s.IsStoreDown {
		return
	}
	s.IsStoreDown = false
	s.StreamVersions.ExceptionWrite.FailedAt = time.Time{} // Streams can't begin at other versions until it succeeds.
	s.emit(LogRecord{Event: "store_back"})
	s.emit(RestartWatch{})
}

// observeEra records the era that the store or a peer has named. In a new era the store may lack what it
// had before, and a watch that waits may be one of the lost history.
func (s *State) observeEra(era uint64, now time.Time) {
	if era <= s.StoreEra {
		return
	}
	isFirst := s.StoreEra == 0
	s.StoreEra = era
	if isFirst {
		return
	}
	s.emit(LogRecord{Event: "store_restored", Era: era, Revision: s.Roster.Revision})
	s.Roster.BeginEra(s.Settings.Bounds.HeartbeatInterval, now)
	s.Membership.RetainUntil = now.Add(routerRewritePeriod)
	s.rewriteVersionRecord(now)
	s.rewriteRollouts()
	s.emit(RestartWatch{})
}

// updateReadiness emits SetReady if the readiness of the router has changed.
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
	for _, at := range [...]time.Time{s.Shutdown.NextStepTime(), s.nextServerListAt(now), s.nextOperatorReadAt(now), s.nextResumeTime(), s.nextStartupEnd(), s.OutOfService.NextEnd(), s.nextVersionRecordAt(now), s.StreamVersions.nextRecordReadAt(), s.nextCollectionAt(), s.Membership.NextListAt, s.ServerNews.nextAt(), s.nextHoldEnd(now), s.nextReachCheckAt(), s.nextSuspectCheckAt(), s.nextRoomWaitAt(now), s.nextTurnAt(now), s.nextRolloutAt(now)} {
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

func (s *State) handleTimerFired(now time.Time) {
	s.timerAt = time.Time{}
	s.logRouterCount()
	s.continueShutdown(now)
	s.listRoutersIfDue(now)
	s.sendStatusIfDue(now)
	s.collectLoadsIfDue(now)
	s.listServersIfDue(now)
	s.readOperatorKeysIfDue(now)
	s.releaseHeldDomains(now)
	s.writeVersionRecordIfDue(now)
	s.readRecordIfDue(now)
	s.forwardHeldStreams(now)
	s.tellServerNewsIfDue(now)
	s.checkReachIfDue(now)
	s.checkSuspectsIfDue(now)
	s.forgetContention(now)
	s.judgeRolloutsIfDue(now)
}

func (s *State) serverLoad(id ServerID) *ServerLoad {
	return getOrCreate(s.Loads, id, func() *ServerLoad { return &ServerLoad{} })
}

func (s *State) serverHealth(id ServerID) *ServerHealth {
	return getOrCreate(s.Health, id, func() *ServerHealth { return &ServerHealth{} })
}

func (s *State) coldBudget(server *Server, now time.Time) *ColdBudget {
	return getOrCreate(s.ColdBudgets, server.ID, func() *ColdBudget {
		return NewColdBudget(HashString(s.Settings.RouterName+" "+string(server.ID)), now)
	})
}

func (s *State) domainHealth(domain string) *DomainHealth {
	return getOrCreate(s.DomainHealth, domain, func() *DomainHealth { return &DomainHealth{} })
}

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
