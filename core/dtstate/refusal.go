package dtstate

import (
	"strconv"
	"time"
)

// Reason is the cause of a refusal.
type Reason uint8

// Reasons of refusals.
const (
	ReasonNone Reason = iota
	ReasonStopping
	ReasonNoConfig // The router has no configuration yet.
	ReasonOverload // Too many requests in flight at the entry router.
	ReasonQueueFull
	ReasonDeadline
	ReasonNoServer
	ReasonUnknownGroup
	ReasonPoison
	ReasonRetryBudget // No retries left.
	ReasonOutcomeUnknown
	ReasonInProgress // Another request with the same order key is running.
	ReasonKeyInvalid
	ReasonKeyExpired
	ReasonKeyReused
	ReasonPlatformUnavailable
	ReasonMoved // Between routers only: the owner is stopping.
	ReasonBadRequest
	ReasonUnauthorized
	ReasonTooLarge
	ReasonAnswerCut // An answer that a caller resumed can't be continued.
	reasonCount
)

// String returns the reason's code as shown to callers and operators.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "stopping", "not_ready", "overload", "queue_full", "deadline", "no_server",
		"unknown_group", "poison", "retry_budget", "outcome_unknown", "in_progress", "key_bad",
		"key_expired", "key_reused", "platform_unavailable", "moved", "bad_request",
		"unauthorized", "too_large", "answer_cut",
	}
	if r >= reasonCount {
		return "invalid"
	}
	return names[r]
}

// Execution states whether a refused request may have executed.
type Execution uint8

// Values of Execution.
const (
	NotExecuted Execution = iota // The request has certainly not run.
	ExecutionUnknown
)

// String returns the value as shown to callers and operators.
func (r Execution) String() string {
	if r == NotExecuted {
		return "not_run"
	}
	return "unknown"
}

// Refusal records one refused request.
type Refusal struct {
	Router  RouterID
	Start   uint64 // Incarnation of the router.
	Number  uint64 // Counts the refusals of the incarnation from 1.
	AtMs    uint64 // In Unix milliseconds.
	Request RequestID
	Account ClientAccount
	Reason  Reason
	Ran     Execution
	RetryMs uint32 // After which the caller may try again; zero if no time is suggested.
}

// ID returns the identifier of the refusal in the ledger, in logs and in responses to
// callers.
func (f *Refusal) ID() string {
	const base36, decimal = 36, 10
	return string(f.Router) + "/" + strconv.FormatUint(f.Start, base36) + "/" + strconv.FormatUint(f.Number, decimal)
}

// RefusalCount counts the refusals of one account and reason that are not listed
// individually.
type RefusalCount struct {
	Account ClientAccount
	Reason  Reason
	Ran     Execution
	Count   uint64
	FirstMs uint64 // Time of the first refusal in Unix milliseconds.
	LastMs  uint64 // Time of the last one.
}

// RefusalPage holds the refusals of one router incarnation numbered From to Through.
type RefusalPage struct {
	Router  RouterID
	Start   uint64 // Incarnation of the router.
	From    uint64
	Through uint64
	Items   []Refusal
	Counts  []RefusalCount
}

// RefusalBatch is the set of pages that a collector writes to the platform in one call.
type RefusalBatch struct {
	Pages []RefusalPage
}

// Intervals, timeouts and bounds of the ledger.
const (
	ledgerInterval        = 250 * time.Millisecond
	ledgerStoreInterval   = time.Second
	maxItemsPerPage       = 32              // Further refusals of a page are only counted.
	maxSealedPages        = 64              // Beyond that the two oldest pages are merged into counts.
	maxImmediatePages     = 8               // Pages in each ledgerInterval that are replicated at once, with one refusal each.
	selfStoreDelay        = 3 * time.Second // Age at which a router stores its own page itself, if no collector has.
	maxReplicaPages       = 512
	refusalRetention      = 7 * 24 * time.Hour
	maxCountsPerPage      = 256                       // Counts by account; those of further accounts are merged.
	otherAccounts         = ClientAccount("(others)") // Stands for the accounts beyond maxCountsPerPage.
	maxPagesPerBatch      = 64
	replicaResendInterval = 2 * time.Second
)

// Ledger holds the refusals that the platform has not stored yet: those of this router and
// the replicas that other routers have sent to it.
type Ledger struct {
	LastNumber   uint64
	Open         RefusalPage   // Page that the next refusals are added to.
	Sealed       []RefusalPage // Pages of this router that are not stored yet.
	Replicas     []RefusalPage // Pages that this router has to store, mostly of other routers.
	Batch        []RefusalPage // Pages of the write in progress, or to be repeated.
	BatchKey     string        // Platform key of the write in progress.
	BatchCount   uint64
	replicatedAt time.Time
	// Hash of the collectors that have the sealed pages; a change causes a resend.
	collectorsHash uint64
	immediatePages int // Pages that were replicated at once since the last timer.
	lastStoreAt    time.Time
	timerSet       bool
}

func (l *Ledger) init() {}

// Unstored returns the number of this router's refusals that are not stored yet.
func (l *Ledger) Unstored() uint64 {
	// Without an open page, From and Through are zero.
	n := l.Open.Through - min(l.Open.Through, max(l.Open.From, 1)-1)
	for _, p := range l.Sealed {
		n += p.Through - p.From + 1
	}
	return n
}

// Pages returns copies of all pages that are not stored yet, including replicas.
func (l *Ledger) Pages() []RefusalPage {
	var out []RefusalPage
	if l.Open.From > 0 {
		out = append(out, l.Open)
	}
	out = append(out, l.Sealed...)
	out = append(out, l.Replicas...)
	return append(out, l.Batch...)
}

// refuse refuses a request and records the refusal in the ledger.
func (s *State) refuse(r *Request, reason Reason, retryAfter time.Duration, now time.Time) {
	ran := NotExecuted
	// For these reasons, another request with the same order key may have executed.
	if r.UnresolvedAttempts > 0 || reason == ReasonInProgress || reason == ReasonKeyExpired {
		ran = ExecutionUnknown
	}
	f := s.addRefusal(r.Request, r.Account, reason, ran, retryAfter, now)
	s.emit(Refuse{Refusal: f})
}

// handleRefusalReported records a refusal that was decided outside the reducer.
func (s *State) handleRefusalReported(ev RefusalReported, now time.Time) {
	f := s.addRefusal(ev.Request, ev.Account, ev.Reason, NotExecuted, 0, now)
	s.emit(Refuse{Refusal: f})
}

// addRefusal numbers a refusal and adds it to the open page. The first maxImmediatePages
// in each ledgerInterval are replicated at once, before the effect that informs the
// caller; later ones wait for the ledger timer.
func (s *State) addRefusal(id RequestID, a ClientAccount, reason Reason, ran Execution, retryAfter time.Duration, now time.Time) Refusal {
	l := &s.Ledger
	l.LastNumber++
	f := Refusal{
		Router: s.Settings.Self, Start: s.Settings.Start, Number: l.LastNumber, AtMs: unixMs(now),
		Request: id, Account: a, Reason: reason, Ran: ran, RetryMs: uint32(retryAfter.Milliseconds()),
	}
	if l.Open.From == 0 {
		l.Open = RefusalPage{Router: f.Router, Start: f.Start, From: f.Number}
	}
	l.Open.Through = f.Number
	if len(l.Open.Items) < maxItemsPerPage {
		l.Open.Items = append(l.Open.Items, f)
	} else {
		l.Open.countRefusal(&f)
	}
	if l.immediatePages < maxImmediatePages {
		l.immediatePages++
		s.sealPage()
		s.replicatePage(&l.Sealed[len(l.Sealed)-1], now)
	}
	if !l.timerSet {
		l.timerSet = true
		s.setTimer(now, ledgerInterval, timerLedger, "", 0)
	}
	return f
}

func (p *RefusalPage) countRefusal(f *Refusal) {
	p.addCount(RefusalCount{Account: f.Account, Reason: f.Reason, Ran: f.Ran, Count: 1, FirstMs: f.AtMs, LastMs: f.AtMs})
}

// addCount merges a count into the page; beyond maxCountsPerPage accounts are counted
// together.
func (p *RefusalPage) addCount(c RefusalCount) {
	for i := range p.Counts {
		old := &p.Counts[i]
		if old.Account == c.Account && old.Reason == c.Reason && old.Ran == c.Ran {
			old.Count += c.Count
			old.FirstMs = min(old.FirstMs, c.FirstMs)
			old.LastMs = max(old.LastMs, c.LastMs)
			return
		}
	}
	if len(p.Counts) >= maxCountsPerPage && c.Account != otherAccounts {
		c.Account = otherAccounts
		p.addCount(c)
		return
	}
	p.Counts = append(p.Counts, c)
}

// merged returns a page that covers p and the next page, with their refusals only
// counted.
func (p *RefusalPage) merged(next *RefusalPage) RefusalPage {
	out := RefusalPage{Router: p.Router, Start: p.Start, From: p.From, Through: next.Through}
	for _, part := range []*RefusalPage{p, next} {
		for i := range part.Items {
			out.countRefusal(&part.Items[i])
		}
		for _, c := range part.Counts {
			out.addCount(c)
		}
	}
	return out
}

// ReplicaCount returns the number of pages that this router has to store.
func (l *Ledger) ReplicaCount() int { return len(l.Replicas) + len(l.Batch) }

// age returns the age of the page's first refusal.
func (p *RefusalPage) age(now time.Time) time.Duration {
	first := unixMs(now)
	for i := range p.Items {
		first = min(first, p.Items[i].AtMs)
	}
	for i := range p.Counts {
		first = min(first, p.Counts[i].FirstMs)
	}
	return now.Sub(time.UnixMilli(int64(first)))
}

func (p *RefusalPage) sameRange(q *RefusalPage) bool {
	return p.Router == q.Router && p.Start == q.Start && p.From == q.From && p.Through == q.Through
}
