package dtadmission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lowerShare is the part of the room that the less urgent classes have together while a more urgent one waits. A fifth
// keeps them from starving and costs the most urgent class at most a quarter more time.
const lowerShare = 0.2

// Take removes and returns the request that goes next, or false if none waits.
func (q *Queue) Take(now time.Time) (Waiter, bool) {
	priority, found := q.nextClass()
	if !found {
		return Waiter{}, false
	}
	c := q.Classes[priority]
	a := c.nextAccount()
	w := a.Waiters[0]
	start := max(c.Virtual, a.Finish)
	c.Virtual, a.Finish = start, start+1/q.Usage.Weight(a.Name, now)
	q.removeAt(priority, a, 0)
	return w, true
}

// nextClass returns the class whose turn it is: the most urgent one, except that each less urgent one collects its part
// of lowerShare with each request that is taken, and goes first once that makes up a request.
func (q *Queue) nextClass() (int, bool) {
	waiting := q.waitingClasses()
	if len(waiting) == 0 {
		return 0, false
	}
	lower := waiting[1:]
	q.Classes[waiting[0]].Credit = 0
	due := waiting[0]
	for _, priority := range lower {
		c := q.Classes[priority]
		c.Credit += lowerShare / float64(len(lower))
		if c.Credit >= 1 && (due == waiting[0] || c.Credit > q.Classes[due].Credit) {
			due = priority
		}
	}
	if due != waiting[0] {
		q.Classes[due].Credit--
	}
	return due, true
}

// waitingClasses returns the priorities for which requests wait, the most urgent first.
func (q *Queue) waitingClasses() []int {
	return slices.DeleteFunc(sortedKeys(q.Classes), func(priority int) bool { return q.Classes[priority].Len == 0 })
}

// nextAccount returns the account whose turn it is by start-time fair queueing. Accounts with returned callers go before
// those without; what such callers may have is bounded by the pace at which they were told to return.
func (c *Class) nextAccount() *Account {
	var next *Account
	for _, a := range c.Accounts {
		if len(a.Waiters) > 0 && (next == nil || c.goesBefore(a, next)) {
			next = a
		}
	}
	return next
}

func (c *Class) goesBefore(a, b *Account) bool {
	x, y := a.Waiters[0], b.Waiters[0]
	if x.IsReturned != y.IsReturned {
		return x.IsReturned
	}
	return cmp.Or(cmp.Compare(max(c.Virtual, a.Finish), max(c.Virtual, b.Finish)), x.ArrivedAt.Compare(y.ArrivedAt), cmp.Compare(x.ID, y.ID)) < 0
}

// Ahead returns how many requests are expected to go before w, which is not in the queue, if nothing else arrives.
func (q *Queue) Ahead(w *Waiter, now time.Time) float64 {
	own, urgent, lower, lowerClasses := 0.0, 0.0, 0.0, 0.0
	isUrgentWaiting := false
	for priority, c := range q.Classes {
		switch {
		case c.Len == 0:
		case priority < w.Class:
			urgent += float64(c.Len)
			isUrgentWaiting = true
		case priority > w.Class:
			lower += float64(c.Len)
			lowerClasses++
		default:
			own = c.ahead(w, &q.Usage, now)
		}
	}
	if !isUrgentWaiting {
		return own + min(lower, own*lowerShare/(1-lowerShare))
	}
	// The class has its part of lowerShare at least, together with the other classes that are less urgent than the first.
	share := lowerShare / float64(len(q.waitingClassesWith(w.Class))-1)
	return min(urgent+own+min(lower, own*lowerShare), (own+1)/share)
}

// waitingClassesWith returns the priorities for which requests wait once one of the given class does.
func (q *Queue) waitingClassesWith(priority int) []int {
	waiting := q.waitingClasses()
	if !slices.Contains(waiting, priority) {
		waiting = append(waiting, priority)
	}
	return waiting
}

// ahead returns how many requests of the class are expected to go before w.
func (c *Class) ahead(w *Waiter, usage *Usage, now time.Time) float64 {
	own := 0
	if a := c.Accounts[w.Account]; a != nil {
		own = a.before(w.IsReturned)
	}
	rounds := float64(own+1) / usage.Weight(w.Account, now)
	sum := float64(own)
	for name, a := range c.Accounts {
		if name != w.Account {
			returned, n := a.returned(), a.before(w.IsReturned)
			sum += max(min(float64(n), rounds*usage.Weight(name, now)), float64(min(returned, n)))
		}
	}
	return sum
}

// before returns how many requests of the account go before another one of it.
func (a *Account) before(isReturned bool) int {
	if isReturned {
		return a.returned()
	}
	return len(a.Waiters)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
