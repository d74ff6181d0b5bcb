package dtstate

import (
	"math/rand/v2"
	"time"
)

// Settings holds the startup parameters of a router, which learns everything else from
// other routers and the platform.
type Settings struct {
	Self             RouterID
	Address          string // Address that other routers connect to.
	OperatorsAddress string // Address that operators connect to.
	Domain           FailureDomain
	Region           Region
	Start            uint64   // Incarnation of the router: its start time in Unix milliseconds.
	Seeds            []string // Addresses of routers to join.
}

// State is the complete control state of one router; only Step changes it.
type State struct {
	Settings      Settings
	Config        ConfigState
	Gossip        GossipTable
	Members       Membership
	Fleet         Fleet
	Entry         EntryState
	Owner         OwnerState
	Orders        Orders
	Ledger        Ledger
	Leader        LeaderState
	Timers        Timers
	PlatformCalls PlatformCalls
	Stopping      bool // Set while the router shuts down gracefully.
	ExitEmitted   bool
	// IntakeClosed is set once no caller can send requests any more; before that the router
	// may refuse some and must not exit.
	IntakeClosed  bool
	DrainTimedOut bool // Requests are no longer waited for unless they run at a server.

	random  *rand.Rand
	effects []Effect
}

// Option configures the State that New returns.
type Option func(*State)

// WithSeed seeds the random number generator of the state.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the initial state of a router that starts at now.
func New(settings Settings, now time.Time, options ...Option) *State {
	s := &State{Settings: settings}
	s.random = rand.New(rand.NewPCG(settings.Start, HashString(string(settings.Self))))
	for _, o := range options {
		o(s)
	}
	s.Gossip.init()
	s.Fleet.init()
	s.Entry.init()
	s.Owner.init()
	s.Orders.init()
	s.Ledger.init()
	s.initMembership(now)
	s.setTimer(now, 0, timerHeartbeat, "", 0)
	return s
}

// Step applies one event at now and returns the effects, which stay valid until the next
// Step.
func (s *State) Step(ev Event, now time.Time) []Effect {
	s.effects = s.effects[:0]
	s.applyEvent(ev, now)
	if s.DrainTimedOut {
		s.refuseWaiting(now)
	}
	s.flushGossip(now)
	s.flushOrderPages(now)
	s.scheduleWake(now)
	s.finishShutdown()
	return s.effects
}

func (s *State) applyEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case RequestArrived:
		s.handleRequestArrived(ev, now)
	case FirstByte:
		s.handleFirstByte(ev, now)
	case AttemptEnded:
		s.handleAttemptEnded(ev, now)
	case MessageReceived:
		s.handleMessage(ev.From, ev.Message, now)
	case ProbeCompleted:
		s.handleProbeCompleted(ev, now)
	case PlatformCallCompleted:
		s.handlePlatformCallCompleted(ev, now)
	case LinkChanged:
		s.handleLinkChanged(ev, now)
	case ConfigDecoded:
		s.handleConfigDecoded(ev, now)
	case DomainSwitched:
		s.handleDomainSwitched(ev, now)
	case OrderQueried:
		s.handleOrderQueried(ev, now)
	case RefusalReported:
		s.handleRefusalReported(ev, now)
	case TimerFired:
		s.runTimers(now)
	case StopRequested:
		s.handleStopRequested(now)
	case IntakeClosed:
		s.IntakeClosed = true
	case DrainTimedOut:
		s.DrainTimedOut = true
	}
}

func (s *State) handleMessage(from RouterID, m Message, now time.Time) {
	s.recordPeerHeard(from, now)
	switch m := m.(type) {
	case *SlotRequest:
		s.handleSlotRequest(m, now)
	case *SlotGrant:
		s.handleSlotGrant(from, m, now)
	case *SlotQueued:
		s.handleSlotQueued(from, m)
	case *SlotDenial:
		s.handleSlotDenial(from, m, now)
	case *SlotStarted:
		s.handleSlotStarted(m)
	case *SlotReleased:
		s.handleSlotReleased(from, m, now)
	case *ServerVerdict:
		s.handleServerVerdict(m, now)
	case *SlotRenewal:
		s.handleSlotRenewal(from, m, now)
	case *Loads:
		s.handleLoads(m.Servers, now)
	case *ClaimRequest:
		s.handleClaimRequest(m, now)
	case *ClaimReply:
		s.handleClaimReply(m, now)
	case *ModelMismatch:
		s.handleModelMismatch(m, now)
	case *RefusalReplica:
		s.handleRefusalReplica(from, m, now)
	case *RefusalStored:
		s.handleRefusalStored(m)
	default:
		s.handleMembershipMessage(from, m, now)
	}
}

// send sends m to another router, or handles it at once if the recipient is this router.
func (s *State) send(to RouterID, m Message, now time.Time) {
	if to == s.Settings.Self {
		s.handleMessage(to, m, now)
		return
	}
	member := s.Members.ByID[to]
	if member == nil {
		return
	}
	s.emit(SendPeer{To: to, Address: member.Address, Message: m})
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// recordEvent adds an event to the timeline.
func (s *State) recordEvent(name, subject string, r RequestID, detail string) {
	s.emit(RecordEvent{Name: name, Subject: subject, Request: r, Detail: detail})
}

// handleStopRequested begins the graceful shutdown: the router leaves the membership first
// and then completes the requests in flight.
func (s *State) handleStopRequested(now time.Time) {
	if s.Stopping {
		return
	}
	s.Stopping = true
	s.recordEvent("stop", "", "", "leaving")
	s.leave(now)
	s.denyAllWaiting(now)
}

// refuseWaiting refuses the requests that do not run at a server.
func (s *State) refuseWaiting(now time.Time) {
	var waiting []*Request
	for _, r := range s.Entry.Requests {
		if r.Phase != PhaseRunning {
			waiting = append(waiting, r)
		}
	}
	sortRequests(waiting)
	for _, r := range waiting {
		switch {
		case r.foundRunning && r.Phase == PhaseClaiming:
			s.refuseAdmitted(r, ReasonInProgress, now)
		case r.Phase == PhaseClaiming && !r.IsQuery:
			s.recordOrderOutcome(r, ClaimRelease, 0, nil, now)
			s.refuseAdmitted(r, ReasonStopping, now)
		default:
			s.refuseAdmitted(r, ReasonStopping, now)
		}
	}
}

// finishShutdown emits Exit once no request, unrecorded outcome or unstored refusal is left
// and no caller can send new requests.
func (s *State) finishShutdown() {
	if !s.Stopping || !s.IntakeClosed || s.ExitEmitted {
		return
	}
	if len(s.Entry.Requests) > 0 || s.Orders.UnrecordedOutcomes() > 0 || s.Ledger.Unstored() > 0 || s.Ledger.ReplicaCount() > 0 {
		return
	}
	s.ExitEmitted = true
	s.emit(Exit{})
}
