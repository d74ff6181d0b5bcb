package dtadmission

import (
	"cmp"
	"slices"
	"time"
)

// demandPeriod is the time constant with which the demand of an account is counted. Bursts last for 3 to 11 s.
const demandPeriod = 3 * time.Second

// CountDemand counts a request that has arrived and was not refused at once, whether it waits or not.
func (q *Queue) CountDemand(class int, account string, now time.Time) {
	c := q.class(class)
	d := c.Demand[account]
	if d == nil {
		d = &Decayed{UpdatedAt: now}
		c.Demand[account] = d
	}
	d.add(1, demandPeriod, now)
}

// Forget removes the accounts that have sent hardly anything of late.
func (q *Queue) Forget(now time.Time) {
	q.Usage.Forget(now)
	const minSum = 0.01
	for _, c := range q.Classes {
		for name, d := range c.Demand {
			if d.at(demandPeriod, now) < minSum {
				delete(c.Demand, name)
			}
		}
	}
}

// ExpectedWait returns the time after which w, which is not in the queue, is expected to go, if the queue is drained at a
// rate and requests go on to arrive as of late: those that wait go before it, and those that arrive later and have a right
// to go first.
func (q *Queue) ExpectedWait(w *Waiter, rate float64, now time.Time) time.Duration {
	seconds := q.Ahead(w, now) / rate
	if c := q.Classes[w.Class]; c != nil && c.Accounts[w.Account] != nil {
		own := float64(c.Accounts[w.Account].before(w.IsReturned))
		seconds = max(seconds, own/c.rateOf(w.Account, q.classRate(w.Class, rate, now), &q.Usage, now))
	}
	return time.Duration(seconds * float64(time.Second))
}

// classRate returns the part of a rate that a class has beside the demand of the others.
func (q *Queue) classRate(priority int, rate float64, now time.Time) float64 {
	urgent, lower, lowerClasses := 0.0, 0.0, 0
	for other, c := range q.Classes {
		demand := c.demand(now)
		if other < priority {
			urgent += demand
		} else if other > priority {
			lower += demand
		}
		if other >= priority && demand > 0 {
			lowerClasses++
		}
	}
	if urgent == 0 {
		return rate - min(lower, lowerShare*rate)
	}
	return max(rate-urgent, lowerShare*rate/float64(max(lowerClasses, 1)))
}

// demand returns the requests a second of the class.
func (c *Class) demand(now time.Time) float64 {
	sum := 0.0
	for _, d := range c.Demand {
		sum += d.rate(demandPeriod, now)
	}
	return sum
}

// rateOf returns the part of the rate of the class that an account has if it wants as much as it can get: the others have
// what they want, up to their shares.
func (c *Class) rateOf(account string, rate float64, usage *Usage, now time.Time) float64 {
	type other struct{ demand, weight float64 }
	own := usage.Weight(account, now)
	others, weights := make([]other, 0, len(c.Demand)), own
	for name, d := range c.Demand {
		if name != account {
			o := other{d.rate(demandPeriod, now), usage.Weight(name, now)}
			others = append(others, o)
			weights += o.weight
		}
	}
	slices.SortFunc(others, func(a, b other) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, o := range others {
		if o.demand/o.weight > rate/weights {
			break
		}
		rate -= o.demand
		weights -= o.weight
	}
	return rate * own / weights
}
