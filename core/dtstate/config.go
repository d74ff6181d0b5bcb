package dtstate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// ConfigRecord is a configuration accepted from operators; its version only increases.
type ConfigRecord struct {
	Version  uint64
	Base     []byte
	Overlays []Overlay
	Switches []DomainSwitch
	By       string // Operator or router that wrote this version.
	AtMs     uint64 // When it was written, in Unix milliseconds.
}

// Overlay is a site's changes to the base, as JSON with comments.
type Overlay struct {
	Site string
	Text []byte
}

// OverlayOf returns the changes of a site to the base, or nil.
func (r *ConfigRecord) OverlayOf(site string) []byte {
	for _, o := range r.Overlays {
		if o.Site == site {
			return o.Text
		}
	}
	return nil
}

// ConfigState is the configuration in force at this router and the latest known version.
type ConfigState struct {
	Version      uint64
	KnownVersion uint64
	Record       *ConfigRecord
	Site         *dtconfig.Site
	Problem      string // Why the last decoded configuration was rejected.
	InForceSince time.Time
}

// mergeConfig stores a newer configuration and requests that it be decoded; it reports
// whether the configuration was newer.
func (s *State) mergeConfig(r *ConfigRecord) bool {
	if !s.Gossip.put(Announcement{Config: r}) {
		return false
	}
	s.Config.KnownVersion = r.Version
	s.emit(DecodeConfig{Record: r})
	return true
}

// handleConfigDecoded puts a decoded configuration in force if it is valid and newer than
// the current one.
func (s *State) handleConfigDecoded(ev ConfigDecoded, now time.Time) {
	c := &s.Config
	if ev.Record.Version <= c.Version {
		return
	}
	if ev.Site == nil {
		c.Problem = ev.Problem
		s.recordEvent("config_refused", "", "", ev.Problem)
		return
	}
	c.Version = ev.Record.Version
	c.KnownVersion = max(c.KnownVersion, c.Version)
	c.Record = ev.Record
	c.Site = ev.Site
	c.Problem = ""
	c.InForceSince = now
	s.Gossip.put(Announcement{Config: ev.Record})
	s.recordEvent("config_in_force", "", "", ev.Record.By)
	for _, sw := range ev.Record.Switches {
		s.announce(Announcement{Switch: &sw}, now)
	}
	s.Fleet.applyConfig(s, now)
	s.Owner.applyConfig(s)
}

func (s *State) handleDomainSwitched(ev DomainSwitched, now time.Time) {
	sw := DomainSwitch{Domain: ev.Domain, Out: ev.Out, AtMs: unixMs(now)}
	if old, ok := s.Fleet.DomainSwitches[ev.Domain]; ok && old.AtMs >= sw.AtMs {
		sw.AtMs = old.AtMs + 1
	}
	s.announce(Announcement{Switch: &sw}, now)
	s.Leader.SwitchPending = true
}

// applyDomainSwitch takes a failure domain out of service or back.
func (s *State) applyDomainSwitch(sw DomainSwitch, now time.Time) {
	old, known := s.Fleet.DomainSwitches[sw.Domain]
	s.Fleet.DomainSwitches[sw.Domain] = sw
	s.Fleet.Dirty = true
	s.Leader.SwitchPending = true
	if sw.Out {
		s.recordEvent("domain_out", string(sw.Domain), "", "")
		return
	}
	s.recordEvent("domain_in", string(sw.Domain), "", "")
	if known && old.Out {
		s.Fleet.startRamp(sw.Domain, now)
	}
}

// DomainOutOfService reports whether a failure domain is out of service.
func (s *State) DomainOutOfService(d FailureDomain) bool {
	if sw, ok := s.Fleet.DomainSwitches[d]; ok {
		return sw.Out
	}
	if s.Config.Site == nil {
		return false
	}
	for _, name := range s.Config.Site.OutOfServiceDomains {
		if name == string(d) {
			return true
		}
	}
	return false
}

// Group returns the configuration of a group and whether there is one.
func (c *ConfigState) Group(name string) (dtconfig.Group, bool) {
	if c.Site == nil {
		return dtconfig.Group{}, false
	}
	g, ok := c.Site.Groups[name]
	return g, ok
}

// Weight returns the fair-share weight of a client account, by default 1.
func (c *ConfigState) Weight(a ClientAccount) float64 {
	if c.Site == nil {
		return 1
	}
	if account, ok := c.Site.Accounts[string(a)]; ok {
		return account.Weight
	}
	return 1
}

// Limits returns the limits in force; before a configuration is known, only LoadBound and
// FirstByteTimeoutMs are set.
func (c *ConfigState) Limits() dtconfig.Limits {
	if c.Site == nil {
		return dtconfig.Limits{LoadBound: dtconfig.DefaultLoadBound, FirstByteTimeoutMs: dtconfig.DefaultFirstByteTimeoutMs}
	}
	return c.Site.Limits
}
