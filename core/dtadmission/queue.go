package dtadmission

import (
	"slices"
	"time"
)

// Waiter is a request that waits for room at the servers of a service.
type Waiter struct {
	ID         uint64
	Class      int    // Priority; zero is the most urgent.
	Account    string // Client account, or "".
	ArrivedAt  time.Time
	StartBy    time.Time // Sent any later, it would not be answered before its deadline.
	IsReturned bool      // Its caller has returned at the time that a refusal had named.
}

// Queue holds the requests that wait at one router for room at the servers of one service.
type Queue struct {
	Limit   int            // Most requests that may wait.
	Classes map[int]*Class // Those that have had waiters of late.
	Usage   Usage
	Len     int
}

// Class is the part of a queue with one priority.
type Class struct {
	Accounts map[string]*Account
	Demand   map[string]*Decayed // Requests that arrived and were not refused, by account.
	Virtual  float64             // Start tag of the last request that was taken.
	Credit   float64             // What is owed of the share of the less urgent classes, in requests.
	Len      int
}

// Account is the part of a class that belongs to one client account.
type Account struct {
	Name    string
	Waiters []Waiter // Returned callers first, then by arrival.
	Finish  float64  // Finish tag of the last request that was taken.
}

// NewQueue returns an empty queue of at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{Limit: limit, Classes: map[int]*Class{}, Usage: Usage{ByAccount: map[string]*Decayed{}}}
}

// Push adds a request. If the queue is full, it returns the request that is shed instead, which may be the added one,
// and true.
func (q *Queue) Push(w Waiter, now time.Time) (Waiter, bool) {
	a := q.class(w.Class).account(w.Account)
	at := len(a.Waiters)
	if w.IsReturned {
		at = a.returned()
	}
	a.Waiters = slices.Insert(a.Waiters, at, w)
	q.Classes[w.Class].Len++
	q.Len++
	if q.Len <= q.Limit {
		return Waiter{}, false
	}
	return q.shed(now), true
}

// shed removes and returns the newest request of the account that holds the most for its weight, of its least urgent class.
func (q *Queue) shed(now time.Time) Waiter {
	held := map[string]int{}
	for _, c := range q.Classes {
		for name, a := range c.Accounts {
			held[name] += len(a.Waiters)
		}
	}
	most, name := 0.0, ""
	for _, account := range sortedKeys(held) {
		if n := float64(held[account]) / q.Usage.Weight(account, now); n > most {
			most, name = n, account
		}
	}
	classes := sortedKeys(q.Classes)
	for _, priority := range slices.Backward(classes) {
		if a := q.Classes[priority].Accounts[name]; a != nil && len(a.Waiters) > 0 {
			w := a.Waiters[len(a.Waiters)-1]
			q.removeAt(priority, a, len(a.Waiters)-1)
			return w
		}
	}
	return Waiter{}
}

// Remove removes and returns a request, for example because its caller has left, or returns false if it was not waiting.
func (q *Queue) Remove(id uint64) (Waiter, bool) {
	for priority, c := range q.Classes {
		for _, a := range c.Accounts {
			for i := range a.Waiters {
				if w := a.Waiters[i]; w.ID == id {
					q.removeAt(priority, a, i)
					return w, true
				}
			}
		}
	}
	return Waiter{}, false
}

// Accounts returns the client accounts whose requests wait.
func (q *Queue) Accounts() map[string]bool {
	names := map[string]bool{}
	for _, c := range q.Classes {
		for name, a := range c.Accounts {
			if len(a.Waiters) > 0 {
				names[name] = true
			}
		}
	}
	return names
}

// Expire removes and returns the requests that can't start in time any more.
func (q *Queue) Expire(now time.Time) []Waiter {
	var expired []Waiter
	for _, priority := range sortedKeys(q.Classes) {
		c := q.Classes[priority]
		for _, name := range sortedKeys(c.Accounts) {
			a := c.Accounts[name]
			for i := 0; i < len(a.Waiters); {
				if now.Before(a.Waiters[i].StartBy) {
					i++
					continue
				}
				expired = append(expired, a.Waiters[i])
				q.removeAt(priority, a, i)
			}
		}
	}
	return expired
}

// NextExpiry returns when the first waiting request can't start in time any more, or the zero time.
func (q *Queue) NextExpiry() time.Time {
	next := time.Time{}
	for _, c := range q.Classes {
		for _, a := range c.Accounts {
			for i := range a.Waiters {
				if next.IsZero() || a.Waiters[i].StartBy.Before(next) {
					next = a.Waiters[i].StartBy
				}
			}
		}
	}
	return next
}

// removeAt removes a request, and forgets the account once it has no debt and the class once nothing waits in it.
func (q *Queue) removeAt(priority int, a *Account, i int) {
	c := q.Classes[priority]
	a.Waiters = slices.Delete(a.Waiters, i, i+1)
	c.Len--
	q.Len--
	c.forgetIdle()
	if c.Len == 0 {
		c.Credit = 0
	}
}

func (q *Queue) class(priority int) *Class {
	c := q.Classes[priority]
	if c == nil {
		c = &Class{Accounts: map[string]*Account{}, Demand: map[string]*Decayed{}}
		q.Classes[priority] = c
	}
	return c
}

func (c *Class) account(name string) *Account {
	a := c.Accounts[name]
	if a == nil {
		a = &Account{Name: name}
		c.Accounts[name] = a
	}
	return a
}

// forgetIdle removes the accounts without waiters whose last request was taken within their share.
func (c *Class) forgetIdle() {
	for name, a := range c.Accounts {
		if len(a.Waiters) == 0 && a.Finish <= c.Virtual {
			delete(c.Accounts, name)
		}
	}
}

// returned returns the number of waiters whose callers have returned.
func (a *Account) returned() int {
	n := 0
	for n < len(a.Waiters) && a.Waiters[n].IsReturned {
		n++
	}
	return n
}
