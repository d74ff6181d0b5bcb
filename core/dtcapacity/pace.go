package dtcapacity

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the pace.
const (
	// doublingPeriod is the time within which the limit at most doubles. An answer and the news of it take about as long to
	// reach all routers.
	doublingPeriod   = 400 * time.Millisecond
	initialShare     = 0.5 // Of the fair share; answers then show a load that says something of the full one.
	minInitial       = 2.0
	proofFactor      = 2.0 // The limit may exceed one under which the server has answered in time by this factor.
	decreaseFactor   = 0.7
	additiveShare    = 0.5                    // Of the fair share by which the limit grows in a second after a decrease.
	decreaseInterval = 300 * time.Millisecond // Answers to requests that were sent before a decrease don't cause another.
	flapPeriod       = 10 * time.Second       // A server that starts or recovers again within it is flapping.
	maxFlaps         = 3                      // Each halves the first limit and doubles the time of its growth.
	minPacePeriod    = time.Second            // Some loads of others are heard within it.
	maxPacePeriod    = 15 * time.Second       // From the start or the last decrease; a server that gets no requests shows nothing.
	paceTransit      = 150 * time.Millisecond // By which messages make the same base look newer.
)

// Pace limits the requests in flight on a server that has just started or recovered, those of all routers together. The
// limit doubles as long as the server answers in time. After a decrease, it grows by constant steps. Growth is a function of time,
// bounded by what answers have shown, so that routers need only tell each other of bases and proofs.
type Pace struct {
	Base      float64 // Limit at BaseAt.
	BaseAt    time.Time
	Decreased bool    // BaseAt is the time of a decrease.
	Proven    float64 // Highest limit, or number of requests at the server, with which it has answered in time since.
	StartedAt time.Time
	Flaps     int
	IsOver    bool // The server is no longer limited.
}

// NewPace returns the pace of a server that starts at now, where fair is the mean load of the servers of its service.
func NewPace(fair float64, now time.Time) *Pace {
	p := &Pace{}
	p.begin(fair, now)
	return p
}

// Restart begins anew after the server has started or recovered again.
func (p *Pace) Restart(fair float64, now time.Time) {
	if now.Sub(p.StartedAt) < flapPeriod {
		p.Flaps = min(p.Flaps+1, maxFlaps)
	} else {
		p.Flaps = 0
	}
	p.begin(fair, now)
}

func (p *Pace) begin(fair float64, now time.Time) {
	initial := max(minInitial, initialShare*fair) / float64(int(1)<<p.Flaps)
	*p = Pace{Base: max(initial, 1), BaseAt: now, StartedAt: now, Flaps: p.Flaps}
}

// Limit returns the limit at now; fair is as in NewPace.
func (p *Pace) Limit(fair float64, now time.Time) float64 {
	elapsed := max(now.Sub(p.BaseAt), 0)
	grown := p.Base + additiveShare*fair*elapsed.Seconds()
	if !p.Decreased {
		grown = p.Base * math.Exp2(float64(elapsed)/float64(doublingPeriod<<p.Flaps))
	}
	return max(min(grown, max(p.Base, proofFactor*p.Proven)), 1)
}

// Prove records that the server has answered a request in time that was sent under a limit, or while it had as many requests. It
// reports whether that was not known.
func (p *Pace) Prove(limit float64) bool {
	isNews := limit > p.Proven
	p.Proven = max(p.Proven, limit)
	return isNews
}

// Decrease records that the server, with n requests or an unknown number if n is zero, has refused one, failed, or answered
// late. It reports whether the limit has changed.
func (p *Pace) Decrease(n int, fair float64, now time.Time) bool {
	if p.Decreased && now.Sub(p.BaseAt) < decreaseInterval {
		return false
	}
	limit := p.Limit(fair, now)
	if n > 0 {
		limit = min(limit, float64(n))
	}
	p.Base, p.BaseAt, p.Decreased, p.Proven, p.IsOver = max(decreaseFactor*limit, 1), now, true, 0, false
	return true
}

// Finish reports whether the pace has just ended, since the limit exceeds bound, which holds for each server of the service,
// or nothing has shown a need for it for long.
func (p *Pace) Finish(fair, bound float64, now time.Time) bool {
	if p.IsOver || now.Sub(p.StartedAt) < minPacePeriod {
		return false
	}
	p.IsOver = p.Limit(fair, now) >= bound || now.Sub(p.BaseAt) >= maxPacePeriod
	return p.IsOver
}

// PaceNews is what a router tells others of the pace of a server.
type PaceNews struct {
	Base      float64
	Age       time.Duration // Of Base.
	Decreased bool
	Proven    float64
}

// News returns what other routers are to know at now.
func (p *Pace) News(now time.Time) PaceNews {
	return PaceNews{Base: p.Base, Age: now.Sub(p.BaseAt), Decreased: p.Decreased, Proven: p.Proven}
}

// Merge applies what another router knows: of two bases the newer one holds, and proofs of the same base add to each other.
// It reports whether there was news.
func (p *Pace) Merge(news PaceNews, now time.Time) bool {
	if !(news.Base >= 1) || math.IsInf(news.Base, 0) || !(news.Proven >= 0) || math.IsInf(news.Proven, 0) || news.Age < 0 {
		return false
	}
	baseAt := now.Add(-news.Age)
	switch newer := baseAt.Sub(p.BaseAt); {
	case newer < -paceTransit:
		return false
	case newer > paceTransit && news.Decreased:
		p.Base, p.BaseAt, p.Decreased, p.Proven, p.IsOver = news.Base, baseAt, true, news.Proven, false
		return true
	case p.Decreased != news.Decreased || news.Proven <= p.Proven:
		return false
	}
	p.Proven = news.Proven
	return true
}

// ServiceLoad is the load of a service of which some servers have a pace.
type ServiceLoad struct {
	Mean     float64 // Requests in flight per server.
	Servers  int
	Paced    int
	Capacity float64 // Requests in flight that each of the others can take.
}

// floorMargin is the room beyond the load that servers without a sufficient rest get together, since routers don't choose evenly.
const floorMargin = 1.25

// Floor returns the limit that each server with a pace has at least: what the others can't take is divided among them, so that
// a service that starts as a whole does not wait for itself.
func (l ServiceLoad) Floor() float64 {
	if l.Paced == 0 {
		return 0
	}
	rest := l.Mean*float64(l.Servers) - l.Capacity*float64(l.Servers-l.Paced)
	return floorMargin*max(rest, 0)/float64(l.Paced) + 1
}

// Admission returns the share of the requests that come to a server with a limit in the usual order, of which each server gets its
// fair share, that it may be sent.
func (l ServiceLoad) Admission(limit float64) float64 {
	if l.Mean <= limit {
		return 1
	}
	return limit / l.Mean
}

// Credit is the part of one router in what a server with a pace is sent that comes first for all requests, as its load is known to
// be low: requests a second such that the server has as many in flight as its limit in the mean. Routers that went by
// what they hear of each other's requests would all send theirs at once.
type Credit struct {
	Requests float64
	At       time.Time
}

// maxCredit bounds what a router may send at once after it has had no requests for the server.
const maxCredit = 1.5

// defaultHold is the time for which a request is assumed to hold a slot while it is unknown.
const defaultHold = 500 * time.Millisecond

// NewCredit returns the credit of a router, of which phase, 0 to 1, differs between routers, so that they don't send at
// the same time.
func NewCredit(phase float64, now time.Time) Credit { return Credit{Requests: phase, At: now} }

// Accrue adds what has accrued since the last call. The limit is divided among a number of routers; hold is the time for which a
// request holds a slot, or zero if it is unknown.
func (c *Credit) Accrue(limit float64, hold time.Duration, routers int, now time.Time) {
	perSecond := limit / cmp.Or(hold, defaultHold).Seconds() / float64(max(routers, 1))
	c.Requests = min(c.Requests+perSecond*max(now.Sub(c.At), 0).Seconds(), maxCredit)
	c.At = now
}

// HasRoom reports whether the router may send the server a request.
func (c *Credit) HasRoom() bool { return c.Requests >= 1 }

// Spend records that it has sent one.
func (c *Credit) Spend() { c.Requests = max(c.Requests-1, -1) }
