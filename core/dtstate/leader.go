package dtstate

import (
	"slices"
	"time"
)

// Durations and intervals of a failure domain's leader.
const (
	leaseDuration         = 15 * time.Second
	leaseRenewalInterval  = 5 * time.Second
	leaseSafetyMargin     = 2 * time.Second // A leader stops acting this long before its lease expires.
	hostsPollInterval     = time.Second
	maxPlatformRetryDelay = time.Second // Bound of the random delay before a failed platform call is repeated.
)

// ConfigKey is the platform key of the configuration.
const ConfigKey = "config/current"

// LeaderLease is the platform's record of the leader of a failure domain; the revision of
// the record is the fencing number.
type LeaderLease struct {
	Holder  RouterID
	Start   uint64 // Incarnation of the holder.
	UntilMs uint64 // Expiry in Unix milliseconds.
}

// LeaderState is the state of this router as leader, or candidate, of its failure domain;
// the platform and the operators' interface call the leader "keeper".
type LeaderState struct {
	IsCandidate            bool      // One of the two routers that may take the lease.
	LeaseUntil             time.Time // Expiry of the lease that this router holds.
	FencingNumber          uint64
	Lease                  LeaderLease // As last read or written.
	LeaseRevision          uint64      // Revision of the lease in the platform.
	SwitchPending          bool        // A DomainSwitch may be missing from the platform's configuration.
	LoadModelLimiter       LoadModelLimiter
	nextLeaseCallAt        time.Time
	leaseCallPending       bool
	watchPending           bool
	watchRevision          uint64
	platformConfig         *ConfigRecord // The configuration in the platform.
	platformConfigRevision uint64
	configWritePending     bool
	hostsReadAt            time.Time
	hostsReadPending       bool
	watchRetryAt           time.Time
}

// HoldsLease reports whether this router may act as leader at now.
func (l *LeaderState) HoldsLease(now time.Time) bool {
	return now.Add(leaseSafetyMargin).Before(l.LeaseUntil)
}

// leaderTick lets a candidate read the platform's hosts and configuration and maintain
// the lease; the holder also writes the configuration. A router that has no hosts or
// configuration yet reads them too.
func (s *State) leaderTick(now time.Time) {
	l := &s.Leader
	l.IsCandidate = s.isLeaderCandidate() && !s.Stopping
	starting := s.Config.Site == nil || len(s.Fleet.Servers) == 0
	if l.IsCandidate || starting {
		s.pollHosts(now)
		s.watchConfig(now)
	}
	if l.IsCandidate {
		s.maintainLease(now)
		s.repairPlatformConfig(now)
	}
}

func (s *State) isLeaderCandidate() bool {
	return slices.Contains(s.leaderCandidates(s.Settings.Domain), s.Settings.Self)
}

// leaderCandidates returns the first two routers of a failure domain by rendezvous
// hashing: one holds the lease and the other takes over.
func (s *State) leaderCandidates(d FailureDomain) []RouterID {
	first, second := s.topTwoRouters(HashString("keeper", string(d)), s.Members.ByDomain[d])
	var out []RouterID
	for _, id := range []RouterID{first, second} {
		if id != "" {
			out = append(out, id)
		}
	}
	return out
}

func (s *State) pollHosts(now time.Time) {
	l := &s.Leader
	if l.hostsReadPending || now.Sub(l.hostsReadAt) < hostsPollInterval {
		return
	}
	l.hostsReadPending = true
	l.hostsReadAt = now
	s.callPlatform(PlatformCall{Op: PlatformListHosts}, callHosts, now)
}

func (s *State) handleHosts(ev PlatformCallCompleted, now time.Time) {
	s.Leader.hostsReadPending = false
	for _, h := range ev.Hosts {
		s.announce(Announcement{Host: &h}, now)
	}
}

// watchConfig requests the next configuration after the last known revision, unless a watch
// is pending.
func (s *State) watchConfig(now time.Time) {
	l := &s.Leader
	if l.watchPending || now.Before(l.watchRetryAt) {
		return
	}
	l.watchPending = true
	s.callPlatform(PlatformCall{Op: PlatformWatch, Key: ConfigKey, Revision: l.watchRevision}, callConfigWatch, now)
}

// handleConfigWatch announces a new configuration and watches for the next one.
func (s *State) handleConfigWatch(ev PlatformCallCompleted, now time.Time) {
	l := &s.Leader
	l.watchPending = false
	if ev.Status != PlatformOK {
		jitter := time.Duration(s.random.Int64N(int64(maxPlatformRetryDelay)))
		l.watchRetryAt = now.Add(jitter)
		l.watchRevision = 0
		return
	}
	l.watchRevision = ev.Revision
	if ev.Value.Config != nil {
		l.platformConfig = ev.Value.Config
		l.platformConfigRevision = ev.Revision
		s.announce(Announcement{Config: ev.Value.Config}, now)
	}
	if l.IsCandidate || s.Config.Site == nil {
		s.watchConfig(now)
	}
}

// maintainLease acquires or renews the lease of the failure domain. Its platform key starts
// with "keeper/".
func (s *State) maintainLease(now time.Time) {
	l := &s.Leader
	if l.leaseCallPending || now.Before(l.nextLeaseCallAt) {
		return
	}
	l.leaseCallPending = true
	key := "keeper/" + string(s.Settings.Domain)
	free := l.Lease.Holder == "" || time.UnixMilli(int64(l.Lease.UntilMs)).Before(now)
	mine := l.Lease.Holder == s.Settings.Self && l.Lease.Start == s.Settings.Start
	if l.LeaseRevision == 0 && l.Lease.Holder == "" || !free && !mine {
		s.callPlatform(PlatformCall{Op: PlatformGet, Key: key}, callLeaseRead, now)
		return
	}
	if !mine && l.Lease.UntilMs > 0 {
		l.LoadModelLimiter.continueAfter(time.UnixMilli(int64(l.Lease.UntilMs)))
	}
	l.Lease = LeaderLease{Holder: s.Settings.Self, Start: s.Settings.Start, UntilMs: unixMs(now.Add(leaseDuration))}
	lease := l.Lease
	s.callPlatform(PlatformCall{Op: PlatformPut, Key: key, Revision: l.LeaseRevision, Value: PlatformValue{Leader: &lease}}, callLeaseWrite, now)
}

func (s *State) handleLeaseRead(ev PlatformCallCompleted, now time.Time) {
	l := &s.Leader
	l.leaseCallPending = false
	l.nextLeaseCallAt = now.Add(leaseRenewalInterval)
	if ev.Status != PlatformOK {
		return
	}
	l.LeaseRevision = ev.Revision
	l.Lease = LeaderLease{Holder: noHolder}
	if ev.Value.Leader != nil {
		l.Lease = *ev.Value.Leader
	}
	if time.UnixMilli(int64(l.Lease.UntilMs)).Before(now) {
		l.nextLeaseCallAt = now
	}
}

// noHolder marks a lease that was read and has had no holder yet.
const noHolder RouterID = "-"

// handleLeaseWritten records the acquired lease, whose duration counts from before the
// write was sent, or drops it if the write failed.
func (s *State) handleLeaseWritten(ev PlatformCallCompleted, now time.Time) {
	l := &s.Leader
	l.leaseCallPending = false
	l.nextLeaseCallAt = now.Add(leaseRenewalInterval)
	if ev.Status != PlatformOK {
		l.Lease = LeaderLease{}
		l.LeaseRevision = 0
		l.nextLeaseCallAt = now.Add(time.Duration(s.random.Int64N(int64(maxPlatformRetryDelay))))
		return
	}
	if !l.HoldsLease(now) {
		s.recordEvent("keeper", "", "", "lease acquired")
	}
	l.LeaseRevision = ev.Revision
	l.FencingNumber = ev.Revision
	l.LeaseUntil = time.UnixMilli(int64(l.Lease.UntilMs))
}

// repairPlatformConfig writes what the platform's configuration lacks: a newer version
// that the routers already have, or an operator's DomainSwitch.
func (s *State) repairPlatformConfig(now time.Time) {
	l := &s.Leader
	c := &s.Config
	if l.configWritePending || !l.HoldsLease(now) || c.Record == nil || l.platformConfig == nil {
		return
	}
	next := *c.Record
	switch {
	case l.platformConfig.Version > c.Version:
		return
	case l.platformConfig.Version < c.Version:
	case l.SwitchPending && s.mergeSwitches(&next):
		next.Version = c.Version + 1
		next.AtMs = unixMs(now)
		next.By = string(s.Settings.Self)
	default:
		l.SwitchPending = false
		return
	}
	l.configWritePending = true
	s.callPlatform(PlatformCall{Op: PlatformPut, Key: ConfigKey, Revision: l.platformConfigRevision, Value: PlatformValue{Config: &next}}, callConfigWrite, now)
}

// mergeSwitches merges the known domain switches into r and reports whether any was newer
// than in r.
func (s *State) mergeSwitches(r *ConfigRecord) bool {
	recorded := map[FailureDomain]DomainSwitch{}
	for _, sw := range r.Switches {
		recorded[sw.Domain] = sw
	}
	newer := false
	merged := r.Switches[:0:0]
	for _, d := range s.Fleet.Domains {
		sw, known := s.Fleet.DomainSwitches[d]
		old, found := recorded[d]
		if !known || found && old.AtMs >= sw.AtMs {
			sw, known = old, found
		} else {
			newer = true
		}
		if known {
			merged = append(merged, sw)
		}
	}
	r.Switches = merged
	return newer
}

// handleConfigWritten completes a configuration write; the watch delivers what was
// written.
func (s *State) handleConfigWritten(ev PlatformCallCompleted, _ time.Time) {
	s.Leader.configWritePending = false
	if ev.Status != PlatformOK {
		s.Leader.watchRevision = 0
	}
}

// callKind identifies the handler of a platform call's result.
type callKind uint8

// Kinds of platform calls.
const (
	callPage callKind = iota
	callRefusals
	callHosts
	callConfigWatch
	callLeaseRead
	callLeaseWrite
	callConfigWrite
)

type pendingCall struct {
	kind callKind
	key  string
}

// PlatformCalls holds the platform calls without a result yet.
type PlatformCalls struct {
	LastCallID uint64
	pending    map[uint64]pendingCall
}

// callPlatform emits a platform call, which gets exactly one PlatformCallCompleted event.
func (s *State) callPlatform(c PlatformCall, kind callKind, _ time.Time) {
	p := &s.PlatformCalls
	if p.pending == nil {
		p.pending = map[uint64]pendingCall{}
	}
	p.LastCallID++
	c.CallID = p.LastCallID
	p.pending[c.CallID] = pendingCall{kind: kind, key: c.Key}
	s.emit(c)
}

func (s *State) handlePlatformCallCompleted(ev PlatformCallCompleted, now time.Time) {
	call, ok := s.PlatformCalls.pending[ev.CallID]
	if !ok {
		return
	}
	delete(s.PlatformCalls.pending, ev.CallID)
	switch call.kind {
	case callPage:
		s.handlePageResult(call.key, ev, now)
	case callRefusals:
		s.handleBatchResult(ev, now)
	case callHosts:
		s.handleHosts(ev, now)
	case callConfigWatch:
		s.handleConfigWatch(ev, now)
	case callLeaseRead:
		s.handleLeaseRead(ev, now)
	case callLeaseWrite:
		s.handleLeaseWritten(ev, now)
	case callConfigWrite:
		s.handleConfigWritten(ev, now)
	}
}
