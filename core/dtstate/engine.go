package dtstate

import (
	"slices"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// Rate limit of the commands to load a model.
const (
	loadModelRepeatInterval = 5 * time.Second // Minimum time between two commands to one engine.
	secondsPerMinute        = 60
)

// LoadModelLimiter limits the rate of a leader's LoadModel commands, so that all leaders
// together stay within the configured rate at which engines may load model weights.
type LoadModelLimiter struct {
	LastSentAt    map[ServerID]time.Time
	LastCommandAt time.Time // Including commands that a predecessor may have sent until its lease ended.
	CommandCount  uint64
}

// continueAfter counts a command of a predecessor, which may have sent one until its lease ended.
func (l *LoadModelLimiter) continueAfter(leaseEnd time.Time) {
	if leaseEnd.After(l.LastCommandAt) {
		l.LastCommandAt = leaseEnd
	}
}

// reportModelMismatch informs the leader candidates if an engine does not serve the model
// that its group is named after. It runs for every report, so the message is repeated
// until the model matches.
func (s *State) reportModelMismatch(sv *BackendServer, model string, now time.Time) {
	g, ok := s.Config.Group(sv.Group)
	if !ok || g.Kind != dtconfig.KindEngine || model == "" || model == sv.Group {
		return
	}
	for _, id := range s.leaderCandidates(s.Settings.Domain) {
		s.send(id, &ModelMismatch{Server: sv.ID, Model: model}, now)
	}
}

// handleModelMismatch commands an engine to serve its group's model, with the fencing
// number of the lease. The command states the desired model, so it is safe to repeat.
func (s *State) handleModelMismatch(m *ModelMismatch, now time.Time) {
	l := &s.Leader
	sv := s.Fleet.Servers[m.Server]
	if sv == nil || sv.Domain != s.Settings.Domain || m.Model == sv.Group || !l.HoldsLease(now) {
		return
	}
	limiter := &l.LoadModelLimiter
	if now.Sub(limiter.LastSentAt[sv.ID]) < loadModelRepeatInterval || now.Sub(limiter.LastCommandAt) < s.modelLoadInterval() {
		return
	}
	if limiter.LastSentAt == nil {
		limiter.LastSentAt = map[ServerID]time.Time{}
	}
	limiter.LastSentAt[sv.ID] = now
	limiter.LastCommandAt = now
	limiter.CommandCount++
	s.recordEvent("engine_order", string(sv.ID), "", sv.Group)
	s.emit(LoadModel{
		Server: sv.ID, Address: sv.Address, Model: sv.Group, FencingNumber: l.FencingNumber, SendBefore: l.LeaseUntil.Add(-leaseSafetyMargin),
	})
}

// modelLoadInterval returns the minimum time between two commands of this leader: the
// rate configured for the fleet is divided among the failure domains.
func (s *State) modelLoadInterval() time.Duration {
	perMinute := max(s.Config.Limits().ModelLoadsPerMinute, 1)
	return time.Duration(secondsPerMinute*s.domainCount()) * time.Second / time.Duration(perMinute)
}

// domainCount returns the number of failure domains, including those that are configured but have not been
// heard of.
func (s *State) domainCount() int {
	n := len(s.Fleet.Domains)
	if s.Config.Site == nil {
		return max(n, 1)
	}
	for d := range s.Config.Site.FailureDomains {
		if !slices.Contains(s.Fleet.Domains, FailureDomain(d)) {
			n++
		}
	}
	return max(n, 1)
}
