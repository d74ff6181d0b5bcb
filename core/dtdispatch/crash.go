package dtdispatch

import "time"

// Limits of the crash tracker.
const (
	poisonCrashThreshold = 3                // Crashes after which a request is no longer sent.
	crashRetention       = 60 * time.Second // Time after the latest crash until it is forgotten.
	maxTrackedRequests   = 1024             // The entry with the oldest crash is evicted first.
	crashBroadcastPeriod = 5 * time.Second  // Time for which a crash is included in messages to peers.
)

// CrashTracker counts the servers that crashed while running the same request.
type CrashTracker struct {
	Requests map[uint64]*CrashCounts      // By request digest.
	Suspects map[ServerID][]*CrashSuspect // Requests interrupted by a server whose liveness check is pending.
}

// CrashSuspect is a request that was in flight on a server when the server dropped its connection.
type CrashSuspect struct {
	RequestID   string
	Digest      uint64
	PromptParts []PromptPart
	Progress    Progress
}

// AddSuspect records a request whose connection the server dropped and reports whether a
// liveness check of the server must be started.
func (t *CrashTracker) AddSuspect(id ServerID, suspect *CrashSuspect) bool {
	if t.Suspects == nil {
		t.Suspects = map[ServerID][]*CrashSuspect{}
	}
	suspects, isPending := t.Suspects[id]
	if len(suspects) < maxTrackedRequests {
		t.Suspects[id] = append(suspects, suspect)
	}
	return !isPending
}

// ResolveSuspects applies the result of a liveness check and returns the requests that the server
// interrupted: if it is down, a crash is counted for each of them.
func (t *CrashTracker) ResolveSuspects(id ServerID, alive bool, now time.Time) []*CrashSuspect {
	suspects := t.Suspects[id]
	delete(t.Suspects, id)
	for _, suspect := range suspects {
		if !alive {
			t.CountCrash(suspect.Digest, now)
		}
	}
	return suspects
}

// Count returns the number of known crashes of a request.
func (t *CrashTracker) Count(digest uint64) int {
	if c := t.Requests[digest]; c != nil {
		return c.Total()
	}
	return 0
}

// CrashCounts counts the crashes attributed to one request, by source.
type CrashCounts struct {
	Local      int            // Seen by this router.
	ByPeer     map[string]int // By name of the router.
	ByDomain   map[string]int // By other failure domain, as reported by its collector in a large fleet.
	FleetTotal int            // Sum over all routers, as reported by the collector of this router's failure domain.
	UpdatedAt  time.Time      // Time when the latest crash became known.
}

// DirectTotal returns the number of crashes seen by this router and by the peers that send it
// their statuses.
func (c *CrashCounts) DirectTotal() int {
	n := c.Local
	for _, count := range c.ByPeer {
		n += count
	}
	return n
}

// Total returns the number of known crashes in the fleet.
func (c *CrashCounts) Total() int {
	n := c.DirectTotal()
	for _, count := range c.ByDomain {
		n += count
	}
	return max(n, c.FleetTotal)
}

// raiseCount raises the count of a source. A count that does not grow leaves UpdatedAt
// unchanged, so repeated messages do not prolong the retention.
func (c *CrashCounts) raiseCount(counts map[string]int, source string, count int, now time.Time) map[string]int {
	if counts == nil {
		counts = map[string]int{}
	}
	if count > counts[source] {
		counts[source] = count
		c.UpdatedAt = now
	}
	return counts
}

// CountCrash counts a crash seen by this router.
func (t *CrashTracker) CountCrash(digest uint64, now time.Time) {
	c := t.entry(digest, now)
	c.Local++
	c.UpdatedAt = now
}

// SetPeerCount merges the count of a peer.
func (t *CrashTracker) SetPeerCount(digest uint64, peer string, count int, now time.Time) {
	c := t.entry(digest, now)
	c.ByPeer = c.raiseCount(c.ByPeer, peer, count, now)
}

// SetDomainCount merges the count of another failure domain.
func (t *CrashTracker) SetDomainCount(digest uint64, domain string, count int, now time.Time) {
	c := t.entry(digest, now)
	c.ByDomain = c.raiseCount(c.ByDomain, domain, count, now)
}

// SetFleetCount merges the count of the fleet.
func (t *CrashTracker) SetFleetCount(digest uint64, count int, now time.Time) {
	c := t.entry(digest, now)
	if count > c.FleetTotal {
		c.FleetTotal, c.UpdatedAt = count, now
	}
}

// IsBlocked reports whether a request must not be sent to any more servers.
func (t *CrashTracker) IsBlocked(digest uint64, now time.Time) bool {
	c := t.Requests[digest]
	if c == nil || now.Sub(c.UpdatedAt) > crashRetention {
		return false
	}
	return c.Total() >= poisonCrashThreshold
}

// RecentCounts returns the nonzero counts, by request digest, that are still broadcast at now.
func (t *CrashTracker) RecentCounts(now time.Time, count func(*CrashCounts) int) map[uint64]int {
	var counts map[uint64]int
	for digest, c := range t.Requests {
		n := count(c)
		if n == 0 || now.Sub(c.UpdatedAt) >= crashBroadcastPeriod {
			continue
		}
		if counts == nil {
			counts = map[uint64]int{}
		}
		counts[digest] = n
	}
	return counts
}

// entry returns the entry of a request, creating it if needed.
func (t *CrashTracker) entry(digest uint64, now time.Time) *CrashCounts {
	if t.Requests == nil {
		t.Requests = map[uint64]*CrashCounts{}
	}
	c := t.Requests[digest]
	if c == nil {
		t.evict(now)
		c = &CrashCounts{UpdatedAt: now}
		t.Requests[digest] = c
	}
	return c
}

// evict removes the expired entries from a full table or, if there are none, the oldest entry.
func (t *CrashTracker) evict(now time.Time) {
	if len(t.Requests) < maxTrackedRequests {
		return
	}
	oldest := uint64(0)
	oldestAt := now
	for digest, c := range t.Requests {
		if now.Sub(c.UpdatedAt) > crashRetention {
			delete(t.Requests, digest)
			continue
		}
		if !c.UpdatedAt.After(oldestAt) {
			oldest, oldestAt = digest, c.UpdatedAt
		}
	}
	if len(t.Requests) >= maxTrackedRequests {
		delete(t.Requests, oldest)
	}
}
