package dtdispatch

import "time"

// A router that is cut off from a service has other routers connect it. Where these are cut off too, each request would use up
// its attempts before it is refused.

const (
	// maxUnservedAttempts is how many attempts in a row may reach no server, directly or by tunnel, before requests are refused
	// at once. Connections that were open before the cut may still serve.
	maxUnservedAttempts = 3
	// unreachableTrialInterval is the time between two requests that are tried nevertheless.
	unreachableTrialInterval = 300 * time.Millisecond
)

// RecordAttempt records whether an attempt during a cut has reached a server.
func (c *Reach) RecordAttempt(hasReached bool) {
	if hasReached || !c.IsCutOff() {
		c.Unserved = 0
		return
	}
	c.Unserved++
}

// TakeAttempt reports whether an attempt may be made at now, and counts it as a trial if no other way is known.
func (c *Reach) TakeAttempt(now time.Time) bool {
	if !c.IsCutOff() || c.Unserved < maxUnservedAttempts {
		return true
	}
	if now.Sub(c.TrialAt) < unreachableTrialInterval {
		return false
	}
	c.TrialAt = now
	return true
}

// mayReachServers reports whether an attempt at a service may be made, as far as this router reaches its servers at all.
func (s *State) mayReachServers(service string, now time.Time) bool {
	c := s.Reach[service]
	return c == nil || c.TakeAttempt(now)
}

// recordReached records whether an attempt of a request has reached a server.
func (s *State) recordReached(r *Request, hasReached bool) {
	if c := s.Reach[r.Service]; c != nil {
		c.RecordAttempt(hasReached)
	}
}
