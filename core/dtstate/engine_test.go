package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// newLeaderState returns a state that holds the lease of its failure domain.
func newLeaderState(g *WithT, now time.Time) (*dtstate.State, uint64) {
	s := newFleetState(2, 1, 8, 1, now)
	const fencingNumber = 77
	for i := 0; i < 8 && !s.Leader.HoldsLease(now); i++ {
		for _, e := range append([]dtstate.Effect(nil), s.Step(dtstate.TimerFired{}, now)...) {
			c, ok := e.(dtstate.PlatformCall)
			if !ok || c.Key != "keeper/d-0" {
				continue
			}
			revision := uint64(0)
			if c.Op == dtstate.PlatformPut {
				revision = fencingNumber
			}
			s.Step(dtstate.PlatformCallCompleted{CallID: c.CallID, Status: dtstate.PlatformOK, Revision: revision, Value: c.Value}, now)
		}
		now = now.Add(time.Second)
	}
	g.Expect(s.Leader.FencingNumber).To(BeEquivalentTo(fencingNumber))
	return s, fencingNumber
}

// loadModelEffects returns the LoadModel effects among effects.
func loadModelEffects(effects []dtstate.Effect) []dtstate.LoadModel {
	var out []dtstate.LoadModel
	for _, e := range effects {
		if c, ok := e.(dtstate.LoadModel); ok {
			out = append(out, c)
		}
	}
	return out
}

// A leader sends commands with its fencing number, before its lease ends, for engines of
// its own failure domain only and within both rate limits.
func TestLeaderCommandsEnginesWithFencingNumber(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s, fencingNumber := newLeaderState(g, now)
	now = s.Leader.LeaseUntil.Add(-10 * time.Second)
	reportMismatch := func(server dtstate.ServerID, at time.Time) []dtstate.LoadModel {
		return loadModelEffects(s.Step(dtstate.MessageReceived{From: "r-0-0", Message: &dtstate.ModelMismatch{Server: server, Model: "other"}}, at))
	}
	commands := reportMismatch("s-0", now)
	g.Expect(commands).To(HaveLen(1))
	g.Expect(commands[0].FencingNumber).To(Equal(fencingNumber))
	g.Expect(commands[0].Model).To(Equal("g-0"))
	g.Expect(commands[0].SendBefore.Before(s.Leader.LeaseUntil)).To(BeTrue())
	g.Expect(reportMismatch("s-0", now.Add(time.Second))).To(BeEmpty(), "not repeated at once")
	g.Expect(reportMismatch("s-2", now)).To(BeEmpty(), "the rate limit of model loads is kept")
	g.Expect(reportMismatch("s-1", now.Add(6*time.Second))).To(BeEmpty(), "engine of another failure domain")
	g.Expect(reportMismatch("s-0", now.Add(6*time.Second))).To(HaveLen(1), "repeated while the model differs")
}

// A leader that was paused past the end of its lease sends no commands when it continues.
func TestPausedLeaderSendsNoCommands(t *testing.T) {
	g := NewWithT(t)
	s, _ := newLeaderState(g, time.UnixMilli(1_700_000_000_000))
	late := s.Leader.LeaseUntil.Add(time.Minute)
	effects := s.Step(dtstate.MessageReceived{From: "r-0-0", Message: &dtstate.ModelMismatch{Server: "s-0", Model: "other"}}, late)
	g.Expect(loadModelEffects(effects)).To(BeEmpty())
}

// A router that takes over the lease must not send commands that its predecessor's share of the rate may
// already have covered.
func TestLeaderThatTakesOverKeepsTheRateOfModelLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(2, 1, 8, 1, now)
	expiry := now.Add(3 * time.Second)
	predecessor := dtstate.LeaderLease{Holder: s.Settings.Self, Start: s.Settings.Start - 1, UntilMs: uint64(expiry.UnixMilli())}
	for i := 0; i < 40 && !s.Leader.HoldsLease(now); i++ {
		now = now.Add(500 * time.Millisecond)
		for _, e := range append([]dtstate.Effect(nil), s.Step(dtstate.TimerFired{}, now)...) {
			c, ok := e.(dtstate.PlatformCall)
			if !ok || c.Key != "keeper/d-0" {
				continue
			}
			completed := dtstate.PlatformCallCompleted{CallID: c.CallID, Status: dtstate.PlatformOK, Revision: 1, Value: c.Value}
			if c.Op == dtstate.PlatformGet {
				completed.Value.Leader = &predecessor
			}
			s.Step(completed, now)
		}
	}
	g.Expect(s.Leader.HoldsLease(now)).To(BeTrue())
	mismatchAt := func(at time.Time) []dtstate.LoadModel {
		return loadModelEffects(s.Step(dtstate.MessageReceived{From: "r-0-0", Message: &dtstate.ModelMismatch{Server: "s-0", Model: "other"}}, at))
	}
	const interval = 2 * time.Second // 60 a minute, divided among two failure domains.
	g.Expect(mismatchAt(expiry.Add(interval-time.Millisecond))).To(BeEmpty(), "the predecessor may have used its share just before the lease expired")
	g.Expect(mismatchAt(expiry.Add(interval))).To(HaveLen(1))
}

// A leader that has heard of few failure domains must not take a larger share of the rate of model loads
// than the configured domains leave it.
func TestLeaderSharesTheRateOfModelLoadsWithConfiguredDomains(t *testing.T) {
	g := NewWithT(t)
	s, _ := newLeaderState(g, time.UnixMilli(1_700_000_000_000))
	site := *s.Config.Site
	site.FailureDomains = map[string]dtconfig.FailureDomain{"d-0": {}, "d-1": {}, "d-2": {}, "d-3": {}}
	now := s.Leader.LeaseUntil.Add(-10 * time.Second)
	s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: 2}, Site: &site}, now)
	mismatchAt := func(server dtstate.ServerID, at time.Time) []dtstate.LoadModel {
		return loadModelEffects(s.Step(dtstate.MessageReceived{From: "r-0-0", Message: &dtstate.ModelMismatch{Server: server, Model: "other"}}, at))
	}
	const interval = 4 * time.Second // 60 a minute, divided among four failure domains.
	g.Expect(mismatchAt("s-0", now)).To(HaveLen(1))
	g.Expect(mismatchAt("s-2", now.Add(interval-time.Millisecond))).To(BeEmpty(), "two of the four domains have not been heard of")
	g.Expect(mismatchAt("s-2", now.Add(interval))).To(HaveLen(1))
}
