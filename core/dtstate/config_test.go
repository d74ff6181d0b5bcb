package dtstate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtstate"
)

// An older configuration never replaces a newer one, whether decoded or gossiped.
func TestOlderConfigurationIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 2, 2, 1, now)
	site := *s.Config.Site
	decode := func(version uint64) {
		s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: version}, Site: &site}, now)
	}
	decode(5)
	g.Expect(s.Config.Version).To(BeEquivalentTo(5))
	decode(4)
	g.Expect(s.Config.Version).To(BeEquivalentTo(5))
	s.Step(dtstate.MessageReceived{From: "r-0-1", Message: &dtstate.Gossip{Announcements: []dtstate.Announcement{{Config: &dtstate.ConfigRecord{Version: 3}}}}}, now)
	g.Expect(s.Config.Version).To(BeEquivalentTo(5))
}

// A configuration that can't be decoded leaves the current one in force and sets Problem.
func TestInvalidConfigurationKeepsCurrentOne(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(1, 2, 2, 1, now)
	s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: 9}, Problem: "base:1: x"}, now)
	g.Expect(s.Config.Version).To(BeEquivalentTo(1))
	g.Expect(s.Config.Problem).To(Equal("base:1: x"))
}

// The later switch of a failure domain wins, whatever the order of arrival.
func TestLaterDomainSwitchWins(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(2, 4, 4, 1, now)
	receiveSwitch := func(out bool, at uint64) {
		s.Step(dtstate.MessageReceived{From: "r-0-2", Message: &dtstate.Gossip{Announcements: []dtstate.Announcement{{Switch: &dtstate.DomainSwitch{Domain: "d-1", Out: out, AtMs: at}}}}}, now)
	}
	receiveSwitch(false, 20)
	receiveSwitch(true, 10)
	g.Expect(s.DomainOutOfService("d-1")).To(BeFalse())
	receiveSwitch(true, 30)
	g.Expect(s.DomainOutOfService("d-1")).To(BeTrue())
}
