package dtstate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// Intervals of commands to engines.
const (
	engineCommandInterval = 5 * time.Second // Minimum time between two commands to one engine.
	secondsPerMinute      = 60
)

// EngineCommands records the commands that a leader has sent to engines, and limits their
// rate so that all leaders together stay within the rate of the weight store.
type EngineCommands struct {
	LastSent    map[ServerID]time.Time
	NextAllowed time.Time
	Count       uint64
}

// reportModelMismatch informs the leader candidates of the failure domain that an engine
// serves another model than that of its group. It repeats with each report until the model
// matches.
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
// number of the lease. The command states the desired model, so it may be repeated.
func (s *State) handleModelMismatch(m *ModelMismatch, now time.Time) {
	l := &s.Leader
	sv := s.Fleet.Servers[m.Server]
	if sv == nil || sv.Domain != s.Settings.Domain || m.Model == sv.Group || !l.HoldsLease(now) {
		return
	}
	sent := &l.EngineCommands
	if now.Sub(sent.LastSent[sv.ID]) < engineCommandInterval || now.Before(sent.NextAllowed) {
		return
	}
	if sent.LastSent == nil {
		sent.LastSent = map[ServerID]time.Time{}
	}
	sent.LastSent[sv.ID] = now
	sent.NextAllowed = now.Add(s.weightLoadInterval())
	sent.Count++
	s.recordEvent("engine_order", string(sv.ID), "", sv.Group)
	s.emit(EngineCommand{
		Server: sv.ID, Address: sv.Address, Model: sv.Group, FencingNumber: l.FencingNumber, SendBefore: l.LeaseUntil.Add(-leaseSafetyMargin),
	})
}

// weightLoadInterval returns the minimum time between two commands of this leader: the
// fleet's rate of loads from the weight store, divided among the failure domains.
func (s *State) weightLoadInterval() time.Duration {
	perMinute := max(s.Config.Limits().WeightLoadsPerMinute, 1)
	domains := max(len(s.Fleet.Domains), 1)
	return time.Duration(secondsPerMinute*domains) * time.Second / time.Duration(perMinute)
}
