package dtstate

import (
	"sort"
	"time"
)

// handleLedgerTimer seals and replicates the open page, resends pages that are not stored
// yet, and stores replicas.
func (s *State) handleLedgerTimer(now time.Time) {
	l := &s.Ledger
	l.timerSet = false
	l.immediatePages = 0
	if l.Open.From != 0 {
		s.sealPage()
		s.replicatePage(&l.Sealed[len(l.Sealed)-1], now)
	}
	s.replicatePages(now)
	s.storeReplicas(now)
	if len(l.Sealed) > 0 || len(l.Replicas) > 0 || len(l.Batch) > 0 {
		l.timerSet = true
		s.setTimer(now, ledgerInterval, timerLedger, "", 0)
	}
}

// sealPage closes the open page; beyond maxSealedPages it merges the two oldest pages
// into counts.
func (s *State) sealPage() {
	l := &s.Ledger
	if l.Open.From == 0 {
		return
	}
	l.Sealed = append(l.Sealed, l.Open)
	l.Open = RefusalPage{}
	if len(l.Sealed) > maxSealedPages {
		l.Sealed[1] = l.Sealed[0].merged(&l.Sealed[1])
		l.Sealed = l.Sealed[1:]
	}
}

// collectors returns the two routers that store the refusals of this one, in its own and
// in another failure domain, so that a silent link loses none. It returns this router
// while it stops or reaches no other.
func (s *State) collectors(now time.Time) []RouterID {
	var near, far []RouterID
	for _, id := range s.reachablePeers(s.Members.Serving, now) {
		if s.Members.ByID[id].Domain == s.Settings.Domain {
			near = append(near, id)
			continue
		}
		far = append(far, id)
	}
	hash := HashString("ledger", string(s.Settings.Domain))
	var out []RouterID
	for _, list := range [][]RouterID{near, far} {
		if id := s.topRouter(hash, list); id != "" {
			out = append(out, id)
		}
	}
	if len(out) == 0 || s.Stopping {
		return []RouterID{s.Settings.Self}
	}
	return out
}

func (s *State) reachablePeers(list []RouterID, now time.Time) []RouterID {
	var out []RouterID
	for _, id := range list {
		if id != s.Settings.Self && !s.isAvoided(id, now) && s.DomainReachable(s.Members.ByID[id].Domain, now) {
			out = append(out, id)
		}
	}
	return out
}

func (s *State) replicatePage(p *RefusalPage, now time.Time) {
	to := s.collectors(now)
	for _, id := range to {
		s.send(id, &RefusalReplica{Page: *p}, now)
	}
	// With older pages waiting, a new time would delay their resend.
	if len(s.Ledger.Sealed) == 1 {
		s.Ledger.replicatedAt = now
		s.Ledger.collectorsHash = s.incarnationsHash(to)
	}
}

// replicatePages sends the sealed pages to the collectors again until they are stored.
func (s *State) replicatePages(now time.Time) {
	l := &s.Ledger
	to := s.collectors(now)
	incarnations := s.incarnationsHash(to)
	if len(l.Sealed) == 0 || now.Sub(l.replicatedAt) < replicaResendInterval && incarnations == l.collectorsHash {
		return
	}
	l.replicatedAt = now
	l.collectorsHash = incarnations
	for i := range l.Sealed {
		for _, id := range to {
			s.send(id, &RefusalReplica{Page: l.Sealed[i]}, now)
		}
		if l.Sealed[i].age(now) > selfStoreDelay {
			s.handleRefusalReplica(s.Settings.Self, &RefusalReplica{Page: l.Sealed[i]}, now)
		}
	}
}

// incarnationsHash returns a hash of some routers and their current incarnations.
func (s *State) incarnationsHash(routers []RouterID) uint64 {
	hash := uint64(len(routers))
	for _, id := range routers {
		start := uint64(0)
		if m := s.Members.ByID[id]; m != nil {
			start = m.Start
		}
		hash = mix(hash ^ HashString(string(id)) ^ start)
	}
	return hash
}

// handleRefusalReplica keeps a page that this router has to store, until it is stored.
func (s *State) handleRefusalReplica(_ RouterID, m *RefusalReplica, now time.Time) {
	l := &s.Ledger
	for i := range l.Replicas {
		if l.Replicas[i].sameRange(&m.Page) {
			l.Replicas[i] = m.Page
			return
		}
	}
	for i := range l.Batch {
		if l.Batch[i].sameRange(&m.Page) {
			return
		}
	}
	if len(l.Replicas) >= maxReplicaPages {
		return
	}
	l.Replicas = append(l.Replicas, m.Page)
	if !l.timerSet {
		l.timerSet = true
		s.setTimer(now, ledgerInterval, timerLedger, "", 0)
	}
}

// storeReplicas writes the pages that this router has to store, in at most one call in each
// ledgerStoreInterval.
func (s *State) storeReplicas(now time.Time) {
	l := &s.Ledger
	if l.BatchKey != "" || now.Sub(l.lastStoreAt) < ledgerStoreInterval {
		return
	}
	if len(l.Batch) == 0 {
		n := min(len(l.Replicas), maxPagesPerBatch)
		l.Batch = l.Replicas[:n:n]
		l.Replicas = append([]RefusalPage(nil), l.Replicas[n:]...)
		l.BatchCount++
	}
	if len(l.Batch) == 0 {
		return
	}
	l.lastStoreAt = now
	l.BatchKey = s.refusalBatchKey()
	pages := append([]RefusalPage(nil), l.Batch...)
	s.callPlatform(PlatformCall{
		Op: PlatformPut, Key: l.BatchKey, TTL: refusalRetention,
		Value: PlatformValue{Refusals: &RefusalBatch{Pages: pages}},
	}, callRefusals, now)
}

// refusalBatchKey returns the platform key of the current batch; no other batch has it.
func (s *State) refusalBatchKey() string {
	return "refusals/" + string(s.Settings.Self) + "/" + formatUint(s.Settings.Start) + "/" + formatUint(s.Ledger.BatchCount)
}

// handleBatchResult drops a stored batch and confirms its pages; after an unknown outcome
// the batch is written again. A conflict means that an earlier write with an unknown
// outcome succeeded, since a key is used for one batch only.
func (s *State) handleBatchResult(ev PlatformCallCompleted, now time.Time) {
	l := &s.Ledger
	l.BatchKey = ""
	if ev.Status == PlatformOutcomeUnknown {
		return
	}
	batch := l.Batch
	l.Batch = nil
	sort.SliceStable(batch, func(i, j int) bool { return batch[i].From < batch[j].From })
	for _, p := range batch {
		s.send(p.Router, &RefusalStored{Router: p.Router, Start: p.Start, From: p.From, Through: p.Through}, now)
	}
}

// handleRefusalStored drops a page of this router that the platform has stored.
func (s *State) handleRefusalStored(m *RefusalStored) {
	if m.Router != s.Settings.Self || m.Start != s.Settings.Start {
		return
	}
	l := &s.Ledger
	kept := l.Sealed[:0]
	for _, p := range l.Sealed {
		if p.From != m.From || p.Through != m.Through {
			kept = append(kept, p)
		}
	}
	l.Sealed = kept
}
