package dtdispatch

import "time"

// Parameters of the detection of unreachable failure domains.
const (
	unreachableWindow     = time.Second            // Failures within this time count together.
	minUnreachableServers = 2                      // Servers that must have failed.
	domainAvoidPeriod     = 800 * time.Millisecond // Time for which the domain is avoided; the next request probes it.
)

// DomainHealth tracks whether a failure domain is reachable.
type DomainHealth struct {
	UnreachableAt map[ServerID]time.Time // Time of the last failure by server, for servers that sent no response at all.
	AvoidUntil    time.Time
}

// IsAvoided reports whether servers of the domain are to be avoided at now.
func (h *DomainHealth) IsAvoided(now time.Time) bool { return now.Before(h.AvoidUntil) }

// RecordUnreachable records a server that sent no response at all. Several such servers within
// a short time mean that the whole domain is unreachable.
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

// RecordAnswer records a response from a server of the domain, which shows that the domain is
// reachable.
func (h *DomainHealth) RecordAnswer() {
	h.UnreachableAt = nil
	h.AvoidUntil = time.Time{}
}
