package dtstate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// Rate limit of commands to engines.
const (
	engineCommandInterval = 5 * time.Second // Minimum time between two commands to one engine.
	secondsPerMinute      = 60
)

// EngineCommandLimiter limits the rate of a leader's commands to engines, so that all
// leaders together stay within the configured rate at which engines may load model
// weights.
type EngineCommandLimiter struct {
	LastSentAt    map[ServerID]time.Time
	NextAllowedAt time.Time
	CommandCount  uint64
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
	limiter := &l.CommandLimiter
	if now.Sub(limiter.LastSentAt[sv.ID]) < engineCommandInterval || now.Before(limiter.NextAllowedAt) {
		return
	}
	if limiter.LastSentAt == nil {
		limiter.LastSentAt = map[ServerID]time.Time{}
	}
	limiter.LastSentAt[sv.ID] = now
	limiter.NextAllowedAt = now.Add(s.modelLoadInterval())
	limiter.CommandCount++
	s.recordEvent("engine_order", string(sv.ID), "", sv.Group)
	s.emit(EngineCommand{
		Server: sv.ID, Address: sv.Address, Model: sv.Group, FencingNumber: l.FencingNumber, SendBefore: l.LeaseUntil.Add(-leaseSafetyMargin),
	})
}

// modelLoadInterval returns the minimum time between two commands of this leader: the
// rate configured for the fleet is divided among the failure domains.
func (s *State) modelLoadInterval() time.Duration {
	perMinute := max(s.Config.Limits().WeightLoadsPerMinute, 1)
	domains := max(len(s.Fleet.Domains), 1)
	return time.Duration(secondsPerMinute*domains) * time.Second / time.Duration(perMinute)
}
