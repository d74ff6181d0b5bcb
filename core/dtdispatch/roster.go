package dtdispatch

import "time"

// outageGracePeriod is the time after an outage of the store for which a server missing from
// the list is still considered alive: servers rewrite entries that expired during the outage
// within two seconds.
const outageGracePeriod = 2500 * time.Millisecond

// outageHeartbeats is the number of heartbeat intervals without a successful read of the list
// after which the store is considered to have been down, so that entries of live servers may
// have expired. The store removes an entry after three missed heartbeats.
const outageHeartbeats = 2

// A list is stable if its age has not exceeded maxStableAge for minStablePeriod. maxStableAge
// equals the gap that counts as an outage at the default heartbeat interval, and
// minStablePeriod is longer than any grace period.
const (
	maxStableAge    = 2400 * time.Millisecond
	minStablePeriod = 6 * time.Second
)

// Roster is the list of the backend servers known to the router.
type Roster struct {
	Servers           map[ServerID]*Server
	ByService         map[string][]*Server // Ordered by ID.
	ByRef             map[ServerRef]*Server
	ListedAt          time.Time   // Time when the list was last read by this router, or by a peer with an identical list.
	Revision          Revision    // Revision of Servers.
	Refs              []ServerRef // Of Servers, in ascending order.
	RefsHash          uint64      // Of Refs.
	RefsChangedAt     time.Time
	Hash              uint64               // Hash of the properties of Servers that placement depends on.
	HashNoVersions    uint64               // Hash that builds which know no versions of servers have of the same list.
	GraceEndsAt       time.Time            // End of the grace period after an outage.
	ReplacedAt        map[string]time.Time // When a server was last listed with other software under its ID, by service.
	ListedSinceOutage map[ServerID]bool    // Servers listed since the grace period began.
	IsAdjusted        bool                 // Servers has entries that the last list lacked, or lacks some that had left.
	LastStaleAt       time.Time            // Time when the list was last too old to be stable.
	Departed          map[ServerID]Departure
	CopiesLapseAt     time.Time // Until then the store may list entries of an older copy.
}

// Replace applies a list read from the store at revision and returns the IDs of added and
// removed servers; if the previous list is older than outageThreshold, it retains missing
// servers for a grace period, because they may be alive.
func (r *Roster) Replace(list []Server, revision Revision, outageThreshold time.Duration, now time.Time) (added, removed []ServerID) {
	if revision < r.Revision {
		return nil, nil
	}
	r.observeOutage(now, outageThreshold, now)
	listed := len(list)
	list = r.withoutDeparted(list, revision.Era(), now)
	present := len(list)
	if now.Before(r.GraceEndsAt) {
		list = r.withRetained(list)
	}
	r.IsAdjusted = present < listed || len(list) > present
	return r.Update(list, revision, now, now)
}

// BeginEra prepares the roster for lists of a store that has come back from an older copy: entries of
// live servers may be missing from them, as after an outage, and servers may be listed that have left.
func (r *Roster) BeginEra(heartbeat time.Duration, now time.Time) {
	r.beginGracePeriod(now)
	r.LastStaleAt = now
	r.CopiesLapseAt = now.Add(copyHeartbeats * heartbeat)
}

// observeOutage begins the grace period if the list is current as of listedAt, by whomever it was read, after it has been too old.
func (r *Roster) observeOutage(listedAt time.Time, threshold time.Duration, now time.Time) {
	if !r.ListedAt.IsZero() && listedAt.Sub(r.ListedAt) > threshold {
		r.beginGracePeriod(now)
	}
}

func (r *Roster) beginGracePeriod(now time.Time) {
	r.GraceEndsAt = now.Add(outageGracePeriod)
	r.ListedSinceOutage = map[ServerID]bool{}
}

// withRetained adds to list the known servers that it lacks and whose entries may have expired
// during the outage. A server that was listed since the outage and is missing now has left.
func (r *Roster) withRetained(list []Server) []Server {
	addresses := make(map[string]bool, len(list))
	for i := range list {
		r.ListedSinceOutage[list[i].ID] = true
		addresses[list[i].Address] = true
	}
	for _, id := range sortedKeys(r.Servers) {
		if old := r.Servers[id]; !r.ListedSinceOutage[id] && !addresses[old.Address] {
			list = append(list, *old)
		}
	}
	return list
}

// Update applies a list that this router or a peer read from the store at listedAt, and returns
// the IDs of added and removed servers.
func (r *Roster) Update(list []Server, revision Revision, listedAt, now time.Time) (added, removed []ServerID) {
	if revision < r.Revision {
		return nil, nil
	}
	list = r.withoutDeparted(list, revision.Era(), now)
	next := make(map[ServerID]*Server, len(list))
	for i := range list {
		list[i].FirstListedAt = r.firstListedAt(&list[i], now)
		list[i].UnlistedUntil, list[i].UpSince = r.upTimes(&list[i])
		list[i].ColdUntil = r.coldUntil(&list[i], now)
		next[list[i].ID] = newerEntry(r.Servers[list[i].ID], &list[i], now.Before(r.CopiesLapseAt))
	}
	for id, server := range next {
		if old := r.Servers[id]; old == nil || old.Start != server.Start {
			added = append(added, id)
			r.recordReplacement(old, server, now)
		}
	}
	for id := range r.Servers {
		if next[id] == nil {
			removed = append(removed, id)
		}
	}
	r.recordDepartures(removed, now)
	r.Servers = next
	r.Confirm(listedAt, revision, now)
	r.reindex()
	r.observeRefs(now)
	return added, removed
}

// recordReplacement records that a server, which may not have been listed before, is listed with other software under its ID.
func (r *Roster) recordReplacement(old, server *Server, now time.Time) {
	if old == nil || old.Version == server.Version {
		return
	}
	if r.ReplacedAt == nil {
		r.ReplacedAt = map[string]time.Time{}
	}
	r.ReplacedAt[server.Service] = now
}

// IsStable reports whether the list has been up to date for a while, which shows that the
// store was not unreachable for all routers.
func (r *Roster) IsStable(now time.Time) bool {
	return now.Sub(r.ListedAt) < maxStableAge && now.Sub(r.LastStaleAt) > minStablePeriod
}

// Confirm records that the list was still valid at listedAt and at the given revision.
func (r *Roster) Confirm(listedAt time.Time, revision Revision, now time.Time) {
	if listedAt.Sub(r.ListedAt) > maxStableAge {
		r.LastStaleAt = now
	}
	r.Revision = max(r.Revision, revision)
	if listedAt.After(r.ListedAt) {
		r.ListedAt = listedAt
	}
}

// ConfirmByPeer is like Confirm for what a peer has said of its own list, which is the same.
func (r *Roster) ConfirmByPeer(listedAt time.Time, revision Revision, now time.Time) {
	if listedAt.Sub(r.ListedAt) < minAgeGain {
		listedAt = r.ListedAt
	}
	r.Confirm(listedAt, revision, now)
}

// firstListedAt returns the time when the incarnation of a server was first listed. One of the first list has been up for
// an unknown time, which is short if it is cold.
func (r *Roster) firstListedAt(server *Server, now time.Time) time.Time {
	old := r.Servers[server.ID]
	switch {
	case r.Servers == nil && server.ColdFor == 0:
		return time.Time{}
	case old != nil && old.Start == server.Start:
		return old.FirstListedAt
	}
	return now
}

// upTimes returns the UnlistedUntil and UpSince of a server whose FirstListedAt is set.
func (r *Roster) upTimes(server *Server) (unlistedUntil, upSince time.Time) {
	if old := r.Servers[server.ID]; old != nil && old.Start == server.Start {
		return old.UnlistedUntil, old.UpSince
	}
	return r.ListedAt, server.FirstListedAt
}

// coldUntil returns the end of a listed server's cold period, or the zero time if it is warm.
// An unchanged entry does not extend the period.
func (r *Roster) coldUntil(server *Server, now time.Time) time.Time {
	old := r.Servers[server.ID]
	switch {
	case old != nil && old.Start == server.Start && old.ColdFor == server.ColdFor:
		return old.ColdUntil
	case server.ColdFor > 0:
		return now.Add(server.ColdFor)
	}
	return time.Time{}
}

// newerEntry returns the newer entry of a server; old may be nil. Within an incarnation, a
// draining server stays draining. Without a start time two entries count as those of one incarnation only
// if the listed one may be a copy.
func newerEntry(old, listed *Server, mayBeCopy bool) *Server {
	if old == nil || old.Start != listed.Start {
		return listed
	}
	if isCopy := mayBeCopy && listed.Seq <= old.Seq; old.Start == 0 && !isCopy {
		return listed
	}
	if listed.Seq < old.Seq {
		return old
	}
	listed.Draining = listed.Draining || old.Draining
	return listed
}

func (r *Roster) reindex() {
	r.ByService = make(map[string][]*Server, len(r.ByService))
	r.ByRef = make(map[ServerRef]*Server, len(r.Servers))
	r.Hash, r.HashNoVersions = 0, 0
	for _, id := range sortedKeys(r.Servers) {
		server := r.Servers[id]
		server.IDHash = HashString(string(id))
		r.ByRef[server.Ref()] = server
		r.ByService[server.Service] = append(r.ByService[server.Service], server)
		r.Hash = Mix(r.Hash, server.hash())
		r.HashNoVersions = Mix(r.HashNoVersions, server.hashWithoutVersion())
	}
}
