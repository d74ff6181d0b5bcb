package dtrollout

import "time"

// Parameters of a roll-out.
const (
	snapshotInterval = 250 * time.Millisecond // Between two judgements.
	recentPeriod     = 4 * time.Second        // Of the counts that are compared at the same time; shorter than Bounds.Rollback.
	maxSnapshots     = int(recentPeriod / snapshotInterval)
	minAgeDifference = 100 * time.Millisecond // Below it, routers would follow the rounding and the drift of each other's clocks.
	minEvidence      = 40                     // Responses of the target without a fault after which it may get more than the bound.
)

// Stage is how far the traffic has moved.
type Stage uint8

// Stages of a roll-out, in order.
const (
	StageTrial   Stage = iota // The target gets a part of what a bad version may get.
	StageQuarter              // A quarter of the requests.
	StageHalf                 // Half of them.
	StageAll                  // All new requests.
)

// String returns the name of the stage in logs.
func (s Stage) String() string { return [...]string{"trial", "quarter", "half", "all"}[s] }

// Rollout is the state of one roll-out as a router knows it.
type Rollout struct {
	Order    Order
	Bounds   Bounds
	BegunAt  time.Time // When the first router learned of the order, as far as this one knows.
	State    State
	Finding  Finding // Strongest evidence against the target at the last judgement.
	Stage    Stage
	StageAt  time.Time // Since when.
	IsStored bool      // The store has State as the final status.
	Servers  Servers
	IsCutOff bool             // This router does not hear others, and so would not hear that the target is bad.
	Offset   float64          // From 0 to 1, evenly spread over the routers; see PicksTarget.
	Own      Tally            // Of this router.
	Routers  map[string]Tally // Of other incarnations of routers; the last of those that are gone are kept.
	Known    Tally            // Sum of the fleet as others have told it.

	fleet     Tally      // Sum as of the last judgement.
	recent    Tally      // Part of it that is compared at the same time.
	snapshots []snapshot // Of the sum, oldest first.
	stageAll  Tally      // The sum of the fleet as of StageAt.
	stageOwn  Tally      // Own as of StageAt.
}

// Servers says which servers of the service may get requests.
type Servers struct {
	HasTarget bool // Some of the target version.
	HasOld    bool // Some of another version that may serve beside it.
	SawOld    bool // There have been some since the order.
}

// snapshot is the sum of the fleet at a time.
type snapshot struct {
	at    time.Time
	fleet Tally
}

// New returns a roll-out of which a router learns at now; others have known the order for age.
func New(order Order, bounds Bounds, age time.Duration, now time.Time) *Rollout {
	return &Rollout{Order: order, Bounds: bounds.WithDefaults(), BegunAt: now.Add(-age), StageAt: now, Routers: map[string]Tally{}}
}

// CountSent counts an attempt.
func (r *Rollout) CountSent(isTarget bool, route string) {
	c := r.Own.side(isTarget)[route]
	c.Requests++
	r.Own.set(isTarget, route, c)
}

// Answer is how an attempt ended. Attempts that say nothing about the version, such as those that could
// not connect, are not counted.
type Answer struct {
	Route      string
	IsTarget   bool
	IsFailure  bool
	Duration   time.Duration // Until its end; zero if that says nothing about the server.
	FirstEvent time.Duration // Until the first event of a stream; zero if there was none.
}

// CountAnswer counts the end of an attempt.
func (r *Rollout) CountAnswer(a Answer) {
	c := r.Own.side(a.IsTarget)[a.Route].combine(Counts{}, plus) // The histograms of earlier copies are not changed.
	c.Answers++
	if a.IsFailure {
		c.Failures++
	}
	c.Durations = c.Durations.with(a.Duration)
	c.FirstEvents = c.FirstEvents.with(a.FirstEvent)
	r.Own.set(a.IsTarget, a.Route, c)
}

// with returns the histogram with a duration added, unless that is zero.
func (h Histogram) with(d time.Duration) Histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = Histogram{}
	}
	h[bucketOf(d)]++
	return h
}

// MergeRouter adds what another incarnation of a router has counted. Reports may repeat, be late and come in
// any order.
func (r *Rollout) MergeRouter(name string, t *Tally) {
	known := r.Routers[name]
	r.Routers[name] = known.Max(t)
}

// MergeFleet adds the sum of the fleet as another router knows it.
func (r *Rollout) MergeFleet(t *Tally) { r.Known = r.Known.Max(t) }

// SetServers records which servers there are.
func (r *Rollout) SetServers(hasTarget, hasOld bool) {
	r.Servers = Servers{HasTarget: hasTarget, HasOld: hasOld, SawOld: r.Servers.SawOld || hasOld}
}

// MergeState applies what another router has decided, and reports whether that is new. That a version is bad
// prevails, as no request may go to it, unless the store has the roll-out as complete.
func (r *Rollout) MergeState(state State) bool {
	if state <= r.State || r.IsStored {
		return false
	}
	r.State = state
	return true
}

// SetStored applies a status that the store has for this order, and reports whether that changes the state. The
// first final status stands, since the platform acts on it at once.
func (r *Rollout) SetStored(state State) bool {
	if state == StateActive || r.IsStored {
		return false
	}
	changed := r.State != state
	r.State, r.IsStored = state, true
	return changed
}

// MergeAge applies for how long another router has known the order.
func (r *Rollout) MergeAge(age time.Duration, now time.Time) {
	if begun := now.Add(-age); r.BegunAt.Sub(begun) >= minAgeDifference {
		r.BegunAt = begun
	}
}

// Fleet returns the sum of all routers.
func (r *Rollout) Fleet() Tally {
	sum := r.Own.Clone()
	for _, t := range r.Routers {
		sum.add(&t)
	}
	return sum.Max(&r.Known)
}

// Deadline returns when the roll-out is to be complete.
func (r *Rollout) Deadline() time.Time { return r.BegunAt.Add(r.Order.Duration) }

// NextJudgementAt returns when Judge is due, or the zero time if nothing is left to judge.
func (r *Rollout) NextJudgementAt() time.Time {
	if r.State != StateActive {
		return time.Time{}
	}
	if len(r.snapshots) == 0 {
		return r.StageAt
	}
	return r.snapshots[len(r.snapshots)-1].at.Add(snapshotInterval)
}

// Judge goes by the present counts: it reverts the roll-out if the target is bad, and moves on to the next
// stage if it is due. It reports whether either has changed.
func (r *Rollout) Judge(now time.Time) bool {
	if at := r.NextJudgementAt(); at.IsZero() || now.Before(at) {
		return false
	}
	r.fleet = r.Fleet()
	r.snapshots = append(r.snapshots, snapshot{at: now, fleet: r.fleet})
	if len(r.snapshots) > maxSnapshots+1 {
		r.snapshots = r.snapshots[1:]
	}
	whole := r.fleet
	r.recent = whole.Since(&r.snapshots[0].fleet)
	r.Finding = Judge(&whole, &whole).stronger(Judge(&r.recent, &whole))
	if r.Finding.IsBad() {
		r.State = StateReverted
		return true
	}
	return r.advance(now)
}
