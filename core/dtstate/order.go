package dtstate

import (
	"strconv"
	"time"
)

// Timeouts, intervals and bounds of orders.
const (
	orderPagesPerBucket   = 16                    // Pages for the keys made in one time bucket.
	orderBucketSpan       = 10 * time.Second      // Length of a time bucket; keys made in one bucket share its pages.
	maxKeyClockSkew       = time.Minute           // How far in the future the time of a key may lie.
	orderPageRetention    = 10 * time.Minute      // How long a page is kept beyond the period in which its keys may be used.
	maxOrderRunTime       = 60 * time.Second      // Age at which the outcome of a claimed order counts as unknown.
	pageWriteInterval     = 50 * time.Millisecond // Minimum time between two writes of a page.
	minPageRetryDelay     = 100 * time.Millisecond
	maxPageRetryDelay     = 2 * time.Second
	maxPageAge            = 200 * time.Millisecond // An older copy is read again, unless it grants the claim.
	pageOpTimeout         = 2 * time.Second        // How long an operation waits for the platform.
	outcomeResendInterval = time.Second
	outcomePollInterval   = 100 * time.Millisecond // How often a resend of a running order checks for the outcome.
	outcomePollTimeout    = 3 * time.Second        // How long a resend of a running order waits for the outcome.
	outcomeResendTimeout  = 2 * time.Minute
	maxUnrecordedOutcomes = 4096
	maxOrderPages         = 256
	maxOpsPerPage         = 2048
	maxStoredAnswerBytes  = 2048
)

// OrderState is the state of an order key in the platform.
type OrderState uint8

// States of an order.
const (
	OrderNone    OrderState = iota
	OrderClaimed            // Claimed; the outcome is not known yet.
	OrderDone
	OrderReleased // Proved not to have run.
)

// String returns the state as shown to callers and operators.
func (o OrderState) String() string {
	return [...]string{"none", "claimed", "done", "not_run"}[o]
}

// ClaimOp is the operation of a ClaimRequest.
type ClaimOp uint8

// Operations on a claim.
const (
	ClaimAcquire  ClaimOp = iota
	ClaimComplete         // Records the answer of an order that ran.
	ClaimRelease          // Records that the order did not run.
	ClaimRead
)

// ClaimResult is the result of a ClaimRequest.
type ClaimResult uint8

// Results of a ClaimRequest.
const (
	ClaimAcquired ClaimResult = iota
	ClaimFoundDone
	ClaimFoundRunning // Another request holds the claim.
	ClaimFoundUnknown // Another request claimed the key more than maxOrderRunTime ago.
	ClaimBodyMismatch
	ClaimUnavailable // The platform did not respond in time, or too much is pending.
	ClaimRecorded    // The outcome is stored, or the request holds no open claim.
	ClaimNotFound
	ClaimFoundReleased
)

// ClaimRow is the state of one order key in a page.
type ClaimRow struct {
	Account ClientAccount
	Key     string
	Request RequestID // The request that holds the claim.
	Body    uint64    // Hash of the request body.
	AtMs    uint64    // When it was claimed, in Unix milliseconds.
	State   OrderState
	Status  int
	Answer  []byte
}

// ClaimPage holds the claims of one page: a part of the keys made in one time bucket.
type ClaimPage struct {
	Rows []ClaimRow
}

// pendingOp is a ClaimRequest that waits for its page, with the reply to send after the
// write that it depends on. In Orders.Outcomes it is an outcome that is resent until
// confirmed, and receivedAt is when it was first sent.
type pendingOp struct {
	request    *ClaimRequest
	receivedAt time.Time
	result     ClaimResult
	row        ClaimRow
}

// OrderPage is this router's copy of a claim page with the operations that wait for it.
type OrderPage struct {
	Key           string
	Revision      uint64
	Loaded        bool // Rows and Revision match the platform's page, as far as is known.
	ReadAt        time.Time
	ReadStartedAt time.Time // When the latest read from the platform began.
	Rows          []ClaimRow
	Pending       []pendingOp // Operations that are not applied yet.
	Writing       []pendingOp // Operations that the current write includes.
	CallPending   bool        // A platform call for the page is in progress.
	NextCallAt    time.Time
	Failures      int // Successive failed calls.
	LastUsedAt    time.Time
}

// Orders holds the claim pages that this router writes and the outcomes that the platform
// has not recorded yet.
type Orders struct {
	Pages          map[string]*OrderPage
	Outcomes       map[RequestID]*pendingOp // Outcomes that are not confirmed yet.
	OutcomeIDs     []RequestID              // Keys of Outcomes, oldest first.
	WriteCount     uint64
	pagesToAdvance []*OrderPage // Advanced at the end of the step.
	lastResendAt   time.Time
}

func (o *Orders) init() {
	o.Pages = map[string]*OrderPage{}
	o.Outcomes = map[RequestID]*pendingOp{}
}

// UnrecordedOutcomes returns the number of outcomes that are not confirmed yet.
func (o *Orders) UnrecordedOutcomes() int { return len(o.Outcomes) }

// checkOrderKey returns the reason to refuse an order key, or ReasonNone.
func (s *State) checkOrderKey(k *OrderKey, now time.Time) Reason {
	window := time.Duration(s.Config.Limits().OrderWindowSeconds) * time.Second
	switch {
	case k.Key == "" || k.CreatedAt.After(now.Add(maxKeyClockSkew)):
		return ReasonKeyInvalid
	case now.Sub(k.CreatedAt) > window:
		return ReasonKeyExpired
	}
	return ReasonNone
}

// orderPageKey returns the platform key of the page that holds an order key.
func orderPageKey(a ClientAccount, key string, createdAtMs int64) string {
	bucket := createdAtMs / orderBucketSpan.Milliseconds()
	index := HashString("order", string(a), key) % orderPagesPerBucket
	return "orders/" + strconv.FormatInt(bucket, 10) + "/" + formatUint(index)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// pageWriter returns the router that writes a page: the first by rendezvous hashing among
// the reachable routers of the region, or this router while it stops or reaches none.
func (s *State) pageWriter(page string, now time.Time) RouterID {
	if s.Stopping {
		return s.Settings.Self
	}
	var candidates []RouterID
	for _, id := range s.Members.Serving {
		m := s.Members.ByID[id]
		if m.Region == s.Settings.Region && s.DomainReachable(m.Domain, now) && !s.isAvoided(id, now) {
			candidates = append(candidates, id)
		}
	}
	if id := s.topRouter(HashString(page), candidates); id != "" {
		return id
	}
	return s.Settings.Self
}

func (s *State) newClaimRequest(r *Request, op ClaimOp) *ClaimRequest {
	return &ClaimRequest{
		EntryRouter: s.Settings.Self, Request: r.Request, Op: op, Account: r.Account,
		Key: r.Order.Key, KeyCreatedAtMs: r.Order.CreatedAt.UnixMilli(), BodyHash: r.Order.BodyHash,
	}
}

// claimOrder requests the claim on an order's key; nothing is sent to a backend server
// before the claim is acquired.
func (s *State) claimOrder(r *Request, now time.Time) {
	r.Phase = PhaseClaiming
	m := s.newClaimRequest(r, ClaimAcquire)
	r.Owner = s.pageWriter(orderPageKey(m.Account, m.Key, m.KeyCreatedAtMs), now)
	if r.outcomeDeadline.IsZero() {
		r.outcomeDeadline = now.Add(outcomePollTimeout)
	}
	r.pollingOutcome = false
	s.setRequestTimer(r, remoteClaimTimeout, now)
	s.send(r.Owner, m, now)
}

// handleClaimTimer lets this router write the page itself if the page writer does not
// respond, and refuses the order if that fails too. For a resent order it repeats the
// claim, to poll for the outcome.
func (s *State) handleClaimTimer(r *Request, now time.Time) {
	if r.pollingOutcome {
		s.claimOrder(r, now)
		return
	}
	if r.Owner != s.Settings.Self {
		s.Members.AvoidUntil[r.Owner] = now.Add(avoidPeriod)
		r.Owner = s.Settings.Self
		s.setRequestTimer(r, claimTimeout-remoteClaimTimeout, now)
		s.send(r.Owner, s.newClaimRequest(r, ClaimAcquire), now)
		return
	}
	if !r.Claimed && r.Retries == 0 {
		r.Retries = 1
		s.setRequestTimer(r, claimTimeout-remoteClaimTimeout, now)
		return
	}
	if !r.IsQuery {
		s.recordOrderOutcome(r, ClaimRelease, 0, nil, now)
	}
	s.refuse(r, ReasonPlatformUnavailable, 0, now)
	s.removeRequest(r)
}

func (s *State) handleClaimReply(m *ClaimReply, now time.Time) {
	if m.Op == ClaimComplete || m.Op == ClaimRelease {
		s.confirmOutcome(m)
		return
	}
	r := s.Entry.Requests[m.Request]
	if r == nil || r.Phase != PhaseClaiming {
		return
	}
	if m.Op == ClaimRead {
		s.answerOrderQuery(r, m, now)
		return
	}
	s.applyClaimResult(r, m, now)
}

// applyClaimResult runs, answers or refuses an order according to the result of its claim,
// or polls for the outcome if another request with the same key is running.
func (s *State) applyClaimResult(r *Request, m *ClaimReply, now time.Time) {
	refusals := map[ClaimResult]Reason{
		ClaimFoundRunning: ReasonInProgress,
		ClaimFoundUnknown: ReasonOutcomeUnknown,
		ClaimBodyMismatch: ReasonKeyReused,
		ClaimUnavailable:  ReasonPlatformUnavailable,
	}
	if m.Result == ClaimFoundRunning && now.Before(r.outcomeDeadline) {
		r.pollingOutcome = true
		r.foundRunning = true
		s.setRequestTimer(r, outcomePollInterval, now)
		return
	}
	switch m.Result {
	case ClaimAcquired:
		r.Claimed = true
		r.Retries = 0
		s.requestSlot(r, now)
	case ClaimFoundDone:
		s.emit(AnswerOrder{Request: r.Request, Status: m.Status, Body: m.Answer, State: OrderDone})
		s.removeRequest(r)
	default:
		if m.Result == ClaimFoundUnknown || m.Result == ClaimFoundRunning {
			r.UnresolvedAttempts++
		}
		if m.Result == ClaimUnavailable {
			s.recordOrderOutcome(r, ClaimRelease, 0, nil, now)
		}
		s.refuse(r, refusals[m.Result], 0, now)
		s.removeRequest(r)
	}
}

// recordOrderOutcome records the outcome of an order in the platform; it is resent until
// confirmed.
func (s *State) recordOrderOutcome(r *Request, op ClaimOp, status int, answer []byte, now time.Time) {
	m := s.newClaimRequest(r, op)
	m.Status = status
	if len(answer) <= maxStoredAnswerBytes {
		m.Answer = answer
	}
	o := &s.Orders
	if len(o.OutcomeIDs) >= maxUnrecordedOutcomes {
		delete(o.Outcomes, o.OutcomeIDs[0])
		o.OutcomeIDs = o.OutcomeIDs[1:]
	}
	o.Outcomes[r.Request] = &pendingOp{request: m, receivedAt: now}
	o.OutcomeIDs = append(o.OutcomeIDs, r.Request)
	s.send(s.pageWriter(orderPageKey(m.Account, m.Key, m.KeyCreatedAtMs), now), m, now)
}

// confirmOutcome drops an outcome that is recorded or has no open claim.
func (s *State) confirmOutcome(m *ClaimReply) {
	if m.Result == ClaimUnavailable {
		return
	}
	delete(s.Orders.Outcomes, m.Request)
}

// resendOutcomes resends unconfirmed outcomes and drops those past their timeout.
func (s *State) resendOutcomes(now time.Time) {
	o := &s.Orders
	if len(o.OutcomeIDs) == 0 || now.Sub(o.lastResendAt) < outcomeResendInterval {
		return
	}
	o.lastResendAt = now
	kept := o.OutcomeIDs[:0]
	for _, id := range o.OutcomeIDs {
		op := o.Outcomes[id]
		if op == nil {
			continue
		}
		if now.Sub(op.receivedAt) > outcomeResendTimeout {
			delete(o.Outcomes, id)
			s.recordEvent("outcome_not_recorded", "", id, "")
			continue
		}
		kept = append(kept, id)
		if now.Sub(op.receivedAt) > outcomeResendInterval {
			m := op.request
			s.send(s.pageWriter(orderPageKey(m.Account, m.Key, m.KeyCreatedAtMs), now), m, now)
		}
	}
	o.OutcomeIDs = kept
}

// handleOrderQueried reads the state of an order key for a caller.
func (s *State) handleOrderQueried(ev OrderQueried, now time.Time) {
	r := &Request{RequestArrived: RequestArrived{Request: ev.Request, Account: ev.Account, Order: &ev.Order}}
	s.Entry.Requests[ev.Request] = r
	r.Phase = PhaseClaiming
	r.IsQuery = true
	r.Owner = s.Settings.Self
	r.Retries = 1
	s.setRequestTimer(r, claimTimeout, now)
	s.handleClaimRequest(s.newClaimRequest(r, ClaimRead), now)
}

func (s *State) answerOrderQuery(r *Request, m *ClaimReply, now time.Time) {
	if m.Result == ClaimUnavailable {
		s.refuse(r, ReasonPlatformUnavailable, 0, now)
		s.removeRequest(r)
		return
	}
	state := OrderNone
	switch m.Result {
	case ClaimFoundDone:
		state = OrderDone
	case ClaimFoundRunning, ClaimFoundUnknown:
		state = OrderClaimed
	case ClaimFoundReleased:
		state = OrderReleased
	default:
	}
	s.emit(AnswerOrder{Request: r.Request, Status: m.Status, Body: m.Answer, State: state})
	s.removeRequest(r)
}
