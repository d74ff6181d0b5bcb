package dtdispatch

import "time"

// Parameters of the detection of unreachable failure domains.
const (
	unreachableWindow     = time.Second            // Period in which minUnreachableServers must fail.
	minUnreachableServers = 2                      // Number of servers that must fail before the domain is avoided.
	domainAvoidPeriod     = 800 * time.Millisecond // Time for which the domain is avoided at first; doubled with each failed trial.
	maxDomainAvoidPeriod  = 1600 * time.Millisecond
	domainTrialTime       = 500 * time.Millisecond // For which one request tries the domain alone; above maxConnectTimeout, so that it shows within it.
)

// DomainHealth tracks whether a failure domain is reachable.
type DomainHealth struct {
	UnreachableAt map[ServerID]time.Time // Time of the last failed attempt, by unreachable server.
	AvoidUntil    time.Time
	AvoidPeriod   time.Duration // Of the last avoidance; zero once the domain is reachable.
	IsTried       bool          // One request tries the domain until AvoidUntil.
}

// IsAvoided reports whether servers of the domain are to be avoided at now.
func (h *DomainHealth) IsAvoided(now time.Time) bool { return now.Before(h.AvoidUntil) }

// RecordUnreachable records that a server accepted no connection or acknowledged no data;
// minUnreachableServers of them within unreachableWindow mean that the domain is unreachable.
func (h *DomainHealth) RecordUnreachable(id ServerID, now time.Time) {
	if h.UnreachableAt == nil {
		h.UnreachableAt = map[ServerID]time.Time{}
	}
	h.UnreachableAt[id] = now
	for other, at := range h.UnreachableAt {
		if now.Sub(at) > unreachableWindow {
			delete(h.UnreachableAt, other)
		}
	}
	if len(h.UnreachableAt) >= minUnreachableServers || h.IsTried {
		h.AvoidPeriod = min(max(2*h.AvoidPeriod, domainAvoidPeriod), maxDomainAvoidPeriod)
		h.AvoidUntil, h.IsTried = now.Add(h.AvoidPeriod), false
	}
}

// BeginTrial records that a request is sent to the domain. The first one after an avoidance tries it alone, since each costs a
// caller the time to connect; the domain is reachable if that one has not failed within domainTrialTime.
func (h *DomainHealth) BeginTrial(now time.Time) {
	switch {
	case h.AvoidPeriod == 0 || h.IsAvoided(now):
	case h.IsTried:
		*h = DomainHealth{}
	default:
		h.AvoidUntil, h.IsTried = now.Add(domainTrialTime), true
	}
}

// RecordResponse records a response from a server of the domain, which shows that the domain is
// reachable.
func (h *DomainHealth) RecordResponse() {
	*h = DomainHealth{}
}
