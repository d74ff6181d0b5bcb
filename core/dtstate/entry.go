package dtstate

import (
	"sort"
	"time"
)

// Timeouts, intervals and bounds of requests at their entry router.
const (
	slotRequestTimeout   = 300 * time.Millisecond  // After this time, a slot is requested from another owner.
	queuedCheckInterval  = 500 * time.Millisecond  // Between two requests for the slot that a queued request waits for.
	verdictTimeout       = time.Second             // After this time, the answer is resumed without a verdict.
	avoidPeriod          = time.Second             // Peers that did not respond are avoided for this time.
	claimTimeout         = 2500 * time.Millisecond // Wait for a claim that this router writes itself; 2 s longer if another was asked first.
	remoteClaimTimeout   = 500 * time.Millisecond  // After this time, the entry router writes the claim itself.
	sendTimeout          = 2 * time.Second         // A request that could not be sent in time is not sent at all.
	deadlineSlack        = 300 * time.Millisecond  // Leaves the owner time to deny a request at its deadline.
	minRequestRetryDelay = 50 * time.Millisecond   // Doubled with each retry.
	maxAttempts          = 8
	maxRetries           = 3
	maxResumes           = 3 // Of a cut answer at the same server.
	maxRetryBudget       = 50
	heartbeatsPerRenewal = 3
	maxSlotsPerRenewal   = 256
)

// Phase is the state of a request at its entry router.
type Phase uint8

// Phases of a request.
const (
	PhaseClaiming        Phase = iota // Waiting for the claim on its order key.
	PhaseRequestingSlot               // Waiting for an owner to grant a slot.
	PhaseRunning                      // Sent to a backend server.
	PhaseAwaitingVerdict              // Its answer was cut; waiting for the verdict on the server.
	PhaseBackoff                      // Waiting before the next attempt.
)

// Request is a caller's request at its entry router.
type Request struct {
	RequestArrived
	Phase   Phase
	Attempt uint32 // Number of the current attempt.
	// Owner is the router that the slot was requested from or granted by; while the claim
	// is pending, it is the router that writes the page of the order key.
	Owner              RouterID
	Server             ServerID   // The server of the current or last attempt.
	TriedServers       []ServerID // Servers that failed or rejected an earlier attempt.
	Offset             uint32     // Tokens of the answer passed on to the caller so far.
	Crashes            uint8      // Backend servers known to have crashed while they ran it.
	Retries            int        // While the claim is pending, 1 means that its timer is not extended again.
	Resumes            int
	Answered           bool // The first byte of an answer has arrived.
	UnresolvedAttempts int  // Attempts that may have executed and whose outcome is not known.
	Queued             bool // The owner has confirmed that the request waits, since the last slot request.
	Claimed            bool // This request holds the claim on its order key.
	IsQuery            bool // Only reads the state of an order key.
	// A resend of a running order polls for the outcome until outcomeDeadline.
	outcomeDeadline time.Time
	pollingOutcome  bool
	foundRunning    bool   // Another request with the same order key was running when last checked.
	timerNumber     uint64 // Number of its current timer; other timers are ignored.
}

// EntryState is the state of this router as entry router: the requests in flight whose
// callers are connected to it.
type EntryState struct {
	Requests        map[RequestID]*Request
	RetryBudget     float64 // Retries available now: none at first; each completed request adds a fraction of one.
	SoundParts      SoundParts
	lastTimerNumber uint64
}

func (e *EntryState) init() {
	e.Requests = map[RequestID]*Request{}
}

// handleRequestArrived admits a caller's request and starts to process it, or refuses it.
func (s *State) handleRequestArrived(ev RequestArrived, now time.Time) {
	s.Fleet.refresh(s, now)
	r := &Request{RequestArrived: ev}
	if reason := s.admissionRefusal(r, now); reason != ReasonNone {
		s.refuse(r, reason, 0, now)
		return
	}
	s.Entry.Requests[ev.Request] = r
	switch {
	case ev.Order != nil:
		s.claimOrder(r, now)
	case ev.Resume != nil:
		s.resumeForCaller(r, now)
	default:
		s.requestSlot(r, now)
	}
}

// resumeForCaller continues an answer from an earlier connection of the caller.
func (s *State) resumeForCaller(r *Request, now time.Time) {
	r.Server = r.RequestArrived.Resume.Server
	r.Offset = r.RequestArrived.Resume.Offset
	r.UnresolvedAttempts++
	sv := s.Fleet.Servers[r.Server]
	if sv == nil || sv.Group != r.Group {
		s.refuseAdmitted(r, ReasonAnswerCut, now)
		return
	}
	s.resumeAnswer(r, now)
}

// admissionRefusal returns the reason to refuse a new request, or ReasonNone.
func (s *State) admissionRefusal(r *Request, now time.Time) Reason {
	switch {
	case s.Stopping:
		return ReasonStopping
	case s.Config.Site == nil:
		return ReasonNoConfig
	case len(s.Entry.Requests) >= s.Config.Limits().MaxRequestsInFlight:
		return ReasonOverload
	case s.crashCount(r.Digest) >= poisonCrashThreshold || s.hasDeadlyPart(r, now):
		return ReasonPoison
	}
	if _, ok := s.Config.Group(r.Group); !ok {
		return ReasonUnknownGroup
	}
	if r.Order != nil {
		return s.checkOrderKey(r.Order, now)
	}
	return ReasonNone
}

// requestSlot requests a slot from the owner of the home server of the request's chat.
func (s *State) requestSlot(r *Request, now time.Time) {
	g := s.Fleet.Groups[r.Group]
	if g == nil || len(g.Candidates) == 0 {
		s.refuseAdmitted(r, ReasonNoServer, now)
		return
	}
	if r.Attempt >= maxAttempts || now.After(r.Deadline) {
		s.refuseAdmitted(r, ReasonDeadline, now)
		return
	}
	home := s.homeServer(g, r.Chat, r.TriedServers, now)
	if home == nil && len(r.TriedServers) > 0 {
		r.TriedServers = nil
		home = s.homeServer(g, r.Chat, nil, now)
	}
	r.Phase = PhaseRequestingSlot
	r.Queued = false
	if home == nil {
		r.Phase = PhaseBackoff
		s.setRequestTimer(r, avoidPeriod/2, now)
		return
	}
	r.Attempt++
	r.Owner = home.Shard.Owner
	s.Entry.lastTimerNumber++
	r.timerNumber = s.Entry.lastTimerNumber
	s.setSlotRequestTimer(now, r.Request, r.timerNumber)
	s.send(r.Owner, s.newSlotRequest(r, now), now)
}

func (s *State) newSlotRequest(r *Request, now time.Time) *SlotRequest {
	return &SlotRequest{
		EntryRouter: s.Settings.Self, Request: r.Request, Attempt: r.Attempt, Account: r.Account,
		Group: r.Group, Chat: r.Chat, Digest: r.Digest, Class: r.Class, Work: r.Work,
		RemainingMs: uint32(max(r.Deadline.Sub(now).Milliseconds(), 0)),
		Crashes:     max(r.Crashes, s.crashCount(r.Digest)), TriedServers: r.TriedServers,
	}
}

// setRequestTimer replaces the timer of a request.
func (s *State) setRequestTimer(r *Request, d time.Duration, now time.Time) {
	s.Entry.lastTimerNumber++
	r.timerNumber = s.Entry.lastTimerNumber
	s.setTimer(now, d, timerRequest, string(r.Request), r.timerNumber)
}

// handleRequestTimer advances a request whose current timer has expired.
func (s *State) handleRequestTimer(id RequestID, n uint64, now time.Time) {
	r := s.Entry.Requests[id]
	if r == nil || r.timerNumber != n {
		return
	}
	switch r.Phase {
	case PhaseClaiming:
		s.handleClaimTimer(r, now)
	case PhaseRequestingSlot:
		s.handleSlotRequestTimer(r, now)
	case PhaseAwaitingVerdict:
		s.resumeAnswer(r, now)
	case PhaseBackoff:
		s.requestSlot(r, now)
	case PhaseRunning:
	}
}

// handleSlotRequestTimer keeps a queued request waiting up to its deadline, and requests a
// slot from another owner if the current one has not responded. The request is repeated while
// it is queued, since its owner may have restarted, or a link may have dropped the grant.
func (s *State) handleSlotRequestTimer(r *Request, now time.Time) {
	member := s.Members.ByID[r.Owner]
	lost := member == nil || !member.IsServing()
	switch {
	case r.Queued && !lost && now.Before(r.Deadline.Add(deadlineSlack)):
		r.Queued = false
		s.setRequestTimer(r, queuedCheckInterval, now)
		s.send(r.Owner, s.newSlotRequest(r, now), now)
	case r.Queued && !lost:
		s.refuseAdmitted(r, ReasonDeadline, now)
	default:
		s.Members.AvoidUntil[r.Owner] = now.Add(avoidPeriod)
		s.recordEvent("ask_unanswered", string(r.Owner), r.Request, "")
		s.resetLink(r.Owner, now)
		s.requestSlot(r, now)
	}
}

func (s *State) handleSlotQueued(from RouterID, m *SlotQueued) {
	r := s.Entry.Requests[m.Request]
	if r != nil && r.Attempt == m.Attempt && r.Phase == PhaseRequestingSlot {
		r.Queued = true
		r.Owner = from
	}
}

// handleSlotGrant dispatches the request to the granted server, or releases a slot that
// is no longer needed. A repeated grant is ignored.
func (s *State) handleSlotGrant(from RouterID, m *SlotGrant, now time.Time) {
	r := s.Entry.Requests[m.Request]
	current := r != nil && r.Attempt == m.Attempt
	if current && r.Phase != PhaseRequestingSlot && r.Server == m.Server {
		return
	}
	sv := s.Fleet.Servers[m.Server]
	if !current || r.Phase != PhaseRequestingSlot || sv == nil {
		s.send(from, &SlotReleased{Request: m.Request, Attempt: m.Attempt, Server: m.Server, Outcome: OutcomeUnused}, now)
		return
	}
	r.Owner = from
	r.Server = m.Server
	s.dispatch(r, sv, false, now)
}

// dispatch sends the request to a server; from here on it may have executed.
func (s *State) dispatch(r *Request, sv *BackendServer, resume bool, now time.Time) {
	r.Phase = PhaseRunning
	r.timerNumber = 0
	r.UnresolvedAttempts++
	s.recordEvent("dispatch", string(sv.ID), r.Request, "")
	s.emit(Dispatch{
		Request: r.Request, Attempt: r.Attempt, Server: sv.ID, Address: sv.Address,
		Offset: r.Offset, Resume: resume, SendBefore: now.Add(sendTimeout),
	})
}

// handleSlotDenial requests a slot elsewhere if the owner no longer serves the request,
// and refuses the request otherwise.
func (s *State) handleSlotDenial(from RouterID, m *SlotDenial, now time.Time) {
	r := s.Entry.Requests[m.Request]
	if r == nil || r.Attempt != m.Attempt || r.Phase != PhaseRequestingSlot {
		return
	}
	if m.Reason == ReasonMoved {
		s.Members.AvoidUntil[from] = now.Add(avoidPeriod)
		s.requestSlot(r, now)
		return
	}
	s.refuseAdmittedAfter(r, m.Reason, time.Duration(m.RetryAfterMs)*time.Millisecond, now)
}

func (s *State) handleFirstByte(ev FirstByte, now time.Time) {
	r := s.Entry.Requests[ev.Request]
	if r == nil || r.Attempt != ev.Attempt {
		return
	}
	r.Answered = true
	s.markPartsSound(r, now)
	wait := uint32(ev.Wait.Milliseconds())
	s.send(r.Owner, &SlotStarted{Request: r.Request, Attempt: r.Attempt, Server: r.Server, WaitMs: wait}, now)
}

// requestSlotsElsewhere requests new slots for all requests that wait for an unreachable
// owner.
func (s *State) requestSlotsElsewhere(owner RouterID, now time.Time) {
	var waiting []*Request
	for _, r := range s.Entry.Requests {
		if r.Owner == owner && r.Phase == PhaseRequestingSlot {
			waiting = append(waiting, r)
		}
	}
	sortRequests(waiting)
	s.Fleet.refresh(s, now)
	for _, r := range waiting {
		s.requestSlot(r, now)
	}
}

// sortRequests sorts requests by ID, so that the effects do not depend on map order.
func sortRequests(list []*Request) {
	sort.Slice(list, func(i, j int) bool { return list[i].Request < list[j].Request })
}

func (r *Request) slot() Slot {
	return Slot{
		Request: r.Request, Attempt: r.Attempt, Server: r.Server, Account: r.Account,
		Work: r.Work, Digest: r.Digest, Class: r.Class,
	}
}

// renewSlots reports to each owner which of its slots are still in use; the others expire.
func (s *State) renewSlots(now time.Time) {
	if s.Members.Heartbeats%heartbeatsPerRenewal != 0 {
		return
	}
	var running []*Request
	for _, r := range s.Entry.Requests {
		if r.Phase == PhaseRunning {
			running = append(running, r)
		}
	}
	sortRequests(running)
	slots := map[RouterID][]Slot{}
	for _, r := range running {
		owner := r.Owner
		if sv := s.Fleet.Servers[r.Server]; sv != nil && sv.Shard != nil && sv.Shard.Owner != "" {
			owner = sv.Shard.Owner
		}
		r.Owner = owner
		slots[owner] = append(slots[owner], r.slot())
	}
	for _, owner := range append([]RouterID(nil), s.Members.Serving...) {
		for list := slots[owner]; len(list) > 0; {
			n := min(len(list), maxSlotsPerRenewal)
			s.send(owner, &SlotRenewal{Slots: list[:n:n]}, now)
			list = list[n:]
		}
	}
}
