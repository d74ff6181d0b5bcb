package dtdispatch

import "time"

// retryBudgetShare is the fraction of the fleet-wide retry bound that the budgets of all
// routers add up to. The rest is for routers that have restarted and have forgotten the retries
// of their earlier incarnations, and compensates for differences between their views of the fleet.
const retryBudgetShare = 0.75

// restartRatioFactor reduces the retry ratio of a router that has restarted to that rest.
const restartRatioFactor = (1 - retryBudgetShare) / retryBudgetShare

// coldBudgetShare is the corresponding fraction for a cold server. It is smaller because the
// slots of many routers may coincide: the mean number of requests plus three standard
// deviations must stay within the bound.
const coldBudgetShare = 0.5

const windowBuckets = 20

// Window counts events over a sliding time window. Since the newest bucket is only partly over, it covers
// between 19/20 of its length and its length.
type Window struct {
	Length       time.Duration
	Counts       [windowBuckets]int
	StartedAt    time.Time // Start of bucket zero.
	NewestBucket int64     // Number of the newest bucket.
}

// Add counts n events at now.
func (w *Window) Add(n int, now time.Time) {
	w.advance(now)
	w.Counts[w.NewestBucket%windowBuckets] += n
}

// Sum returns the number of events in the window that ends at now.
func (w *Window) Sum(now time.Time) int {
	w.advance(now)
	sum := 0
	for _, n := range w.Counts {
		sum += n
	}
	return sum
}

// advance clears the buckets that have begun since the last call.
func (w *Window) advance(now time.Time) {
	if w.StartedAt.IsZero() {
		w.StartedAt = now
	}
	bucket := int64(now.Sub(w.StartedAt)) / max(int64(w.Length)/windowBuckets, 1)
	if bucket-w.NewestBucket >= windowBuckets {
		w.Counts = [windowBuckets]int{}
		w.NewestBucket = bucket
		return
	}
	for ; w.NewestBucket < bucket; w.NewestBucket++ {
		w.Counts[(w.NewestBucket+1)%windowBuckets] = 0
	}
}

// Resize changes the length of the window; the events in it count as if they had occurred at
// now.
func (w *Window) Resize(length time.Duration, now time.Time) {
	if length == w.Length {
		return
	}
	n := w.Sum(now)
	*w = Window{Length: length}
	w.Add(n, now)
}

// RetryBudget limits the retries of one service to this router's share.
type RetryBudget struct {
	Requests Window
	Retries  Window
}

// NewRetryBudget returns a budget over the retry window of b.
func NewRetryBudget(b Bounds) *RetryBudget {
	return &RetryBudget{Requests: Window{Length: b.RetryWindow}, Retries: Window{Length: coveringLength(b.RetryWindow)}}
}

// Resize changes the length of the window over which retries are limited.
func (r *RetryBudget) Resize(window time.Duration, now time.Time) {
	r.Requests.Resize(window, now)
	r.Retries.Resize(coveringLength(window), now)
}

// coveringLength returns the length of a Window that covers at least d.
func coveringLength(d time.Duration) time.Duration { return d * windowBuckets / (windowBuckets - 1) }

// Usage returns what has been counted and what is allowed; the slack is divided among the routers.
func (r *RetryBudget) Usage(b Bounds, routers int, now time.Time) RetryUsage {
	u := RetryUsage{Requests: r.Requests.Sum(now), Retries: r.Retries.Sum(now)}
	u.Slack = retryBudgetShare * b.RetrySlack / float64(routers)
	u.Limit = retryBudgetShare*b.RetryRatio*float64(u.Requests) + u.Slack
	return u
}

// HasRoom reports whether another retry is within the budget.
func (r *RetryBudget) HasRoom(b Bounds, routers int, now time.Time) bool {
	u := r.Usage(b, routers, now)
	return float64(u.Retries+1) <= u.Limit
}

// Take is like HasRoom and counts the retry if there is room.
func (r *RetryBudget) Take(b Bounds, routers int, now time.Time) bool {
	if !r.HasRoom(b, routers, now) {
		return false
	}
	r.Retries.Add(1, now)
	return true
}

// ColdBudget limits the requests that this router sends to one cold server to one per slot,
// where the slots of different routers are offset from each other.
type ColdBudget struct {
	StartedAt time.Time // Start of the first slot.
	Phase     float64   // Offset of this router's slots as a fraction of a slot, 0 to 1.
	LastSlot  int64     // Number of the slot of the last request, from 1.
}

// NewColdBudget returns a budget whose slots are offset by a fraction derived from hash.
func NewColdBudget(hash uint64, now time.Time) *ColdBudget {
	const phases = 1 << 10
	return &ColdBudget{StartedAt: now, Phase: float64(hash%phases) / phases}
}

// HasRoom reports whether this router may send another request to the cold server, where rate
// is the number of requests per second that the server can handle and routers is the number of
// routers that share it.
func (c *ColdBudget) HasRoom(rate float64, b Bounds, routers int, now time.Time) bool {
	return c.slot(rate, b, routers, now) > c.LastSlot
}

// CountRequest records that a request is sent to the server.
func (c *ColdBudget) CountRequest(rate float64, b Bounds, routers int, now time.Time) {
	c.LastSlot = c.slot(rate, b, routers, now)
}

// CountStatus records that a status request follows a request to the server, which takes the next slot.
func (c *ColdBudget) CountStatus(rate float64, b Bounds, routers int, now time.Time) {
	c.LastSlot = max(c.LastSlot+1, c.slot(rate, b, routers, now))
}

// slot returns the number of the current slot; zero is before the first one.
func (c *ColdBudget) slot(rate float64, b Bounds, routers int, now time.Time) int64 {
	slotsPerSecond := coldBudgetShare * (rate*b.ColdFactor + b.ColdTolerance) / float64(routers)
	return int64(now.Sub(c.StartedAt).Seconds()*slotsPerSecond + c.Phase)
}
