package dtadmission

import (
	"slices"
	"time"
)

// Parameters of the times at which refused callers are told to return.
const (
	// returnShare is the part of the measured drain rate that is promised to callers that return; newcomers have the rest.
	returnShare = 0.5
	// honoredShare is the part of its remaining time that a caller waits at most before it returns.
	honoredShare = 1.0 / 3
	// minRetryAfter is the shortest time; with less, callers would return before anything has changed.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// A return within these limits around its time counts as one: callers round, and connect anew.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = 500 * time.Millisecond
	// maxExpectedReturns bounds the times that are kept for one kind of caller; it is twice what fits into maxRetryAfter
	// at 100 requests a second.
	maxExpectedReturns = 1000
)

// CallerKind is all that a refused caller can be recognized by when it returns: it opens a new connection, perhaps to
// another router, with another request ID.
type CallerKind struct {
	Account string
	Route   string
}

// Returns is the schedule by which a router tells the refused callers of one service when to return.
type Returns struct {
	ByAccount map[string]*ReturnPace
	Expected  map[CallerKind][]time.Time // Times told, in order.
}

// ReturnPace is the pace at which the callers of one client account are told to return.
type ReturnPace struct {
	NextAt time.Time
}

// Refusal is what a router knows of a caller that it refuses.
type Refusal struct {
	Kind      CallerKind
	Weight    float64 // Of the account, as of Usage.
	Weights   float64 // Of all accounts that want room, this one included.
	Rate      float64 // Requests a second that this router starts at the service; zero if unknown.
	Remaining time.Duration
	IfUnknown time.Duration // What is told while Rate is unknown.
}

// NewReturns returns an empty schedule.
func NewReturns() *Returns {
	return &Returns{ByAccount: map[string]*ReturnPace{}, Expected: map[CallerKind][]time.Time{}}
}

// RetryAfter returns how long a refused caller is to wait, and records its return. The callers of an account return one
// after the other, those refused first before the others, at the pace of the account's part of returnShare. A caller whose
// turn would come later than it waits is told the longest time that it honors; it has no turn then.
func (t *Returns) RetryAfter(r *Refusal, now time.Time) time.Duration {
	longest := min(max(time.Duration(honoredShare*float64(r.Remaining)), minRetryAfter), maxRetryAfter)
	if r.Rate <= 0 {
		return min(max(r.IfUnknown, minRetryAfter), longest)
	}
	pace := t.ByAccount[r.Kind.Account]
	if pace == nil {
		pace = &ReturnPace{}
		t.ByAccount[r.Kind.Account] = pace
	}
	gap := time.Duration(float64(time.Second) * r.Weights / (r.Weight * r.Rate * returnShare))
	at := pace.NextAt
	if earliest := now.Add(minRetryAfter); at.Before(earliest) {
		at = earliest
	}
	if at.After(now.Add(longest)) || len(t.Expected[r.Kind]) >= maxExpectedReturns {
		return longest
	}
	pace.NextAt = at.Add(gap)
	t.Expected[r.Kind] = insertTime(t.Expected[r.Kind], at)
	return at.Sub(now)
}

// TakeReturn reports whether a request that arrives at now counts as the return of a caller of its kind, and forgets the
// return if so. A newcomer of the same kind can't be told from it; as many go first as were told to return.
func (t *Returns) TakeReturn(kind CallerKind, now time.Time) bool {
	t.forgetLate(kind, now)
	list := t.Expected[kind]
	if len(list) == 0 || list[0].After(now.Add(earlyReturn)) {
		return false
	}
	t.set(kind, list[1:])
	return true
}

// Forget removes what is too old to be used.
func (t *Returns) Forget(now time.Time) {
	for kind := range t.Expected {
		t.forgetLate(kind, now)
	}
	for account, pace := range t.ByAccount {
		if pace.NextAt.Before(now) {
			delete(t.ByAccount, account)
		}
	}
}

// forgetLate removes the returns that are overdue.
func (t *Returns) forgetLate(kind CallerKind, now time.Time) {
	list := t.Expected[kind]
	n := 0
	for n < len(list) && list[n].Before(now.Add(-lateReturn)) {
		n++
	}
	if n > 0 {
		t.set(kind, list[n:])
	}
}

func (t *Returns) set(kind CallerKind, list []time.Time) {
	if len(list) == 0 {
		delete(t.Expected, kind)
		return
	}
	t.Expected[kind] = list
}

// insertTime adds a time to an ordered list.
func insertTime(list []time.Time, at time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(list, at, time.Time.Compare)
	for i < len(list) && list[i].Equal(at) {
		i++
	}
	return slices.Insert(list, i, at)
}
