package dtdispatch

import "time"

// retryShare is the part of its share of the retry budget that a router may use at present.
type retryShare string

// Parts of a share.
const (
	shareWhole      retryShare = "whole"
	shareFirstStart retryShare = "first_start" // Whole, since nothing shows an earlier start.
	shareRestarted  retryShare = "restarted"   // Retries of an earlier incarnation may lie within the retry window.
	shareNotListed  retryShare = "not_listed"  // Others may not have read yet that this router shares the slack.
	shareCutOff     retryShare = "cut_off"     // Others may share the slack without this router.
)

func (s *State) retryShare(now time.Time) retryShare {
	age, forgetting := now.Sub(s.StartedAt), coveringLength(s.Settings.Bounds.RetryWindow)
	hasRestarted := !s.isFirstStart()
	switch {
	case hasRestarted && age < forgetting:
		return shareRestarted
	case hasRestarted && age < forgetting+s.Membership.steadyListInterval():
		return shareNotListed
	case s.isCutOff(now):
		return shareCutOff
	case age < forgetting:
		return shareFirstStart
	}
	return shareWhole
}

// bounds returns what is left of the bounds of the fleet.
func (share retryShare) bounds(b Bounds) Bounds {
	switch share {
	case shareRestarted:
		b.RetryRatio *= restartRatioFactor
		b.RetrySlack = 0
	case shareNotListed, shareCutOff:
		b.RetrySlack = 0
	case shareWhole, shareFirstStart:
	}
	return b
}
