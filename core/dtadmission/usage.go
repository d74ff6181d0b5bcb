package dtadmission

import (
	"math"
	"time"
)

// Parameters of the weights of client accounts.
const (
	// An account that sends 6 times its usual rate for 11 s nearly doubles its weight; over 20 s would triple it.
	usagePeriod = time.Minute
	// Until so many requests have been counted, all accounts have the same weight.
	minUsageSum = 40
	minWeight   = 0.25 // Of accounts that have sent little or nothing.
	maxWeight   = 8    // Bounds what an account gains by a surge that lasts.
)

// Usage is how many requests of each client account have been sent to servers of late. Requests that were refused do not
// count, so that a caller does not gain weight by repeating them.
type Usage struct {
	ByAccount map[string]*Decayed
	Total     Decayed
}

// Decayed is a count of requests that decays.
type Decayed struct {
	Sum       float64
	UpdatedAt time.Time
}

// Count counts a request that is sent to a server.
func (u *Usage) Count(account string, now time.Time) {
	a := u.ByAccount[account]
	if a == nil {
		a = &Decayed{UpdatedAt: now}
		u.ByAccount[account] = a
	}
	a.add(1, usagePeriod, now)
	u.Total.add(1, usagePeriod, now)
}

// Forget removes the accounts that have sent hardly anything of late.
func (u *Usage) Forget(now time.Time) {
	const minSum = 0.01
	for name, a := range u.ByAccount {
		if sum := a.at(usagePeriod, now); sum < minSum {
			u.Total.add(-sum, usagePeriod, now)
			delete(u.ByAccount, name)
		}
	}
}

// Weight returns the share of an account while room is short, as a multiple of the mean: its usual part of the requests.
func (u *Usage) Weight(account string, now time.Time) float64 {
	sum := u.Total.at(usagePeriod, now)
	if sum < minUsageSum {
		return 1
	}
	own := 0.0
	if a := u.ByAccount[account]; a != nil {
		own = a.at(usagePeriod, now)
	}
	return min(max(own*float64(len(u.ByAccount))/sum, minWeight), maxWeight)
}

func (d *Decayed) add(n float64, period time.Duration, now time.Time) {
	d.Sum, d.UpdatedAt = d.at(period, now)+n, now
}

// at returns the count, which decays with the given time constant.
func (d *Decayed) at(period time.Duration, now time.Time) float64 {
	return d.Sum * math.Exp(-now.Sub(d.UpdatedAt).Seconds()/period.Seconds())
}

// rate returns the requests a second that the count stands for.
func (d *Decayed) rate(period time.Duration, now time.Time) float64 {
	return d.at(period, now) / period.Seconds()
}
