package dtrollout

import "time"

// Parameters of the share. Until the last part of the time, the target gets trialShare of what a bad version may
// get, so that the rest is left for the move itself: a version that turns bad then has still been sent less than
// the bound. The move ends completionMargin before the deadline, which covers the time until a router has learned
// of the order and the write of the status.
const (
	trialShare       = 0.3
	toleranceShare   = 0.5 // The rest is for requests of routers that restart and forget what they have sent.
	completionMargin = 1500 * time.Millisecond
	moveBudgetShare  = 0.9 // Of the bound, for the difference of the loads over time.
	minMovePeriod    = 2 * time.Second
	maxMovePeriod    = 20 * time.Second // Most responses that have begun before end within it.
	quarterEnd       = 0.2              // Parts of the move after which a stage ends.
	halfEnd          = 0.4
	moveCost         = 0.2*0.25 + 0.2*0.5 + 0.6 // Share of the requests of the move that go to the target.
	minRecentPart    = 0.25                     // Of its share, that the target must have answered lately for the next stage.
	minStagePeriod   = 300 * time.Millisecond   // In which the counts of a stage are heard.
	hearPeriod       = 1200 * time.Millisecond  // In which all routers hear of a stage that hear of anything.
	lastMargin       = 700 * time.Millisecond   // Before the deadline, at which the status is written though responses are in progress.
)

// movePeriod returns how long the move from the trial to all traffic takes: as long as the bound allows, since
// responses in progress at the old servers have to end by then.
func (r *Rollout) movePeriod() time.Duration {
	budget := time.Duration(moveBudgetShare * (1 - trialShare) * r.Bounds.ExposureShare * float64(r.Order.Duration))
	period := time.Duration(float64(budget-completionMargin) / moveCost)
	return min(max(period, minMovePeriod), maxMovePeriod)
}

// MoveAt returns when the move is to begin.
func (r *Rollout) MoveAt() time.Time {
	return r.Deadline().Add(-completionMargin - r.movePeriod())
}

// dueStage returns the stage that the time allows.
func (r *Rollout) dueStage(now time.Time) Stage {
	passed := float64(now.Sub(r.MoveAt())) / float64(r.movePeriod())
	switch {
	case passed < 0:
		return StageTrial
	case passed < quarterEnd:
		return StageQuarter
	case passed < halfEnd:
		return StageHalf
	}
	return StageAll
}

// advance enters the next stage if it is due and the target has shown that it is good, and reports whether it has.
func (r *Rollout) advance(now time.Time) bool {
	if r.Stage >= r.dueStage(now) || r.IsCutOff || r.Finding.IsDoubtful() || now.Sub(r.StageAt) < minStagePeriod && r.Stage != StageTrial || !r.hasEvidence() {
		return false
	}
	r.enter(r.Stage+1, now)
	return true
}

func (r *Rollout) enter(stage Stage, now time.Time) {
	r.Stage, r.StageAt, r.stageOwn, r.stageAll = stage, now, r.Own.Clone(), r.Fleet()
}

// MergeStage applies the stage of another router, which has had the evidence for it, and reports whether it is new.
func (r *Rollout) MergeStage(stage Stage, now time.Time) bool {
	if stage <= r.Stage || stage > StageAll || r.State != StateActive {
		return false
	}
	r.enter(stage, now)
	return true
}

// hasEvidence reports whether the target has answered enough. Where the whole service gets less than a bad version
// may get, less is enough.
func (r *Rollout) hasEvidence() bool {
	if !r.Servers.HasTarget {
		return false
	}
	target, old := total(r.fleet.Target), total(r.fleet.Old)
	if target.Answers >= minEvidence {
		lately := r.recent
		if r.Stage != StageTrial {
			lately = r.fleet.Since(&r.stageAll)
		}
		expected := minRecentPart * r.share() * float64(lately.Requests(true)+lately.Requests(false))
		return float64(total(lately.Target).Answers) >= expected-1
	}
	return float64(target.Requests+old.Requests) < r.Bounds.ExposureTolerance
}

// Share returns the share of new requests that are to go to the target. A router that no longer hears others does
// not hear that the target is bad, and sends it nothing.
func (r *Rollout) Share() float64 {
	switch {
	case r.State == StateReverted:
		return 0
	case r.State == StateComplete || r.Servers.HasTarget && !r.Servers.SawOld:
		return 1
	case r.IsCutOff:
		return 0
	}
	return r.share()
}

// StageShare returns the share that follows from what all routers know, whether this one hears them or not.
func (r *Rollout) StageShare() float64 {
	switch r.State {
	case StateReverted:
		return 0
	case StateComplete:
		return 1
	}
	return r.share()
}

// share returns the share of the stage.
func (r *Rollout) share() float64 {
	return [...]float64{trialShare * r.Bounds.ExposureShare, 0.25, 0.5, 1}[r.Stage]
}

// MayComplete reports whether the status may become complete, upon which the old servers stop at once. All routers
// have moved if each has told that it sends all requests to the target and has none left at old servers.
func (r *Rollout) MayComplete(haveAllMoved bool, now time.Time) bool {
	switch {
	case r.State != StateActive || !r.Servers.HasTarget || r.IsCutOff:
		return false
	case !r.Servers.SawOld:
		return true // The order names the version that runs already.
	case r.Stage != StageAll || r.Finding.IsDoubtful():
		return false
	case haveAllMoved:
		return now.Sub(r.StageAt) >= minStagePeriod && !now.Before(r.Deadline().Add(-completionMargin))
	}
	return now.Sub(r.StageAt) >= hearPeriod && !now.Before(r.Deadline().Add(-lastMargin))
}

// PicksTarget reports whether the next request of this router is to go to the target, with routers sharing the
// bound. Each router keeps to its part by what it has sent itself, so that the sum keeps to the bound whatever the
// routers hear of each other. The Offset makes up for the parts of requests: without it, a router that is one of many
// would send the target nothing before it has had some thirty requests.
func (r *Rollout) PicksTarget(routers int) bool {
	share := r.Share()
	if share == 0 || share == 1 {
		return share == 1
	}
	if r.Stage == StageTrial {
		tolerance := toleranceShare * r.Bounds.ExposureTolerance / float64(max(routers, 1))
		return isWithin(&r.Own, share, tolerance+r.Offset)
	}
	sent := r.Own.Since(&r.stageOwn)
	return isWithin(&sent, share, 1)
}

// isWithin reports whether one more request to the target keeps it within its share of all, and slack.
func isWithin(t *Tally, share, slack float64) bool {
	target, old := float64(t.Requests(true)), float64(t.Requests(false))
	return target+1 <= share*(target+old+1)+slack
}
