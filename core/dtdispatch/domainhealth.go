package dtdispatch

import "time"

// Parameters of the detection of unreachable failure domains.
const (
	unreachableWindow     = time.Second            // Period in which minUnreachableServers must fail.
	minUnreachableServers = 2                      // Number of servers that must fail before the domain is avoided.
	domainAvoidPeriod     = 800 * time.Millisecond // Time for which the domain is avoided; the next request probes it.
)

// DomainHealth tracks whether a failure domain is reachable.
type DomainHealth struct {
	UnreachableAt map[ServerID]time.Time // Time of the last failed attempt, by unreachable server.
	AvoidUntil    time.Time
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
	if len(h.UnreachableAt) >= minUnreachableServers {
		h.AvoidUntil = now.Add(domainAvoidPeriod)
	}
}

// RecordResponse records a response from a server of the domain, which shows that the domain is
// reachable.
func (h *DomainHealth) RecordResponse() {
	h.UnreachableAt = nil
	h.AvoidUntil = time.Time{}
}
