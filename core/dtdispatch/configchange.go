package dtdispatch

import (
	"bytes"
	"fmt"
	"time"
)

// Reasons for which a configuration is not put in force, as they appear in logs and metrics.
const (
	configUnreadable  = "unreadable"
	configInvalid     = "invalid"
	configOlder       = "older"
	configConflicting = "conflicting" // It has the version of the one in force and other contents.
)

// storeSource is the source of what the store has delivered, as it appears in logs.
const storeSource = "store"

// ConfigRejection is a configuration that was not put in force.
type ConfigRejection struct {
	From    string // Router that has sent it; "" for the store.
	Version int64  // Zero if it could not be decoded.
	Reason  string
	Detail  string
}

// ConfigRequest is a SyncRequest for the configuration.
type ConfigRequest struct {
	To      string // A router.
	Version int64  // That the router has named.
	At      time.Time
}

func (s *State) handleConfigEvent(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case ConfigReceived:
		s.handleConfigReceived(ev, now)
	case ConfigUnreadable:
		s.rejectConfig(ConfigRejection{From: ev.From, Reason: configUnreadable, Detail: ev.Detail})
	}
}

// handleConfigReceived puts a configuration in force that is valid and has a higher version than the one in force.
func (s *State) handleConfigReceived(ev ConfigReceived, now time.Time) {
	config := ev.Config
	rejection := ConfigRejection{From: ev.From, Version: config.Version}
	switch {
	case s.Config == nil || config.Version > s.Config.Version:
	case config.Version < s.Config.Version && ev.From != "":
		return // A newer one has arrived since it was requested.
	case config.Version < s.Config.Version:
		rejection.Reason, rejection.Detail = configOlder, fmt.Sprintf("version %d is in force", s.Config.Version)
		s.rejectConfig(rejection)
		return
	case !bytes.Equal(config.Source, s.Config.Source):
		rejection.Reason, rejection.Detail = configConflicting, "the version in force has other contents"
		s.rejectConfig(rejection)
		return
	default:
		return
	}
	if errs := config.Check(); len(errs) > 0 {
		rejection.Reason, rejection.Detail = configInvalid, fmt.Sprintf("%s (%d errors)", errs[0], len(errs))
		s.rejectConfig(rejection)
		return
	}
	if s.Config != nil && s.StreamVersions.inheritTimeouts(s.Config, config) {
		s.StreamVersions.MixWrite.markDue(now.Add(versionRecordDelay))
	}
	s.Config = config
	s.OperatorKeys.BehindSince = time.Time{}
	s.emit(PublishConfig{Config: config})
	s.emit(LogRecord{Event: "configuration", Subject: sourceOf(ev.From), Outcome: "in_force", ConfigVersion: config.Version})
	if s.Membership.IsLarge() && s.isReader(now) {
		s.sendStatusToDomain(now)
	}
}

// rejectConfig logs a rejection, unless it is the last one again, and has a router not asked for that configuration again.
func (s *State) rejectConfig(r ConfigRejection) {
	p := &s.Peers
	if r.From != "" && r.From == p.ConfigRequest.To {
		if p.RejectedConfigs == nil {
			p.RejectedConfigs = map[string]int64{}
		}
		p.RejectedConfigs[r.From] = p.ConfigRequest.Version
	}
	if r == s.LastRejection {
		return
	}
	s.LastRejection = r
	s.emit(LogRecord{Event: "configuration_rejected", Subject: sourceOf(r.From), Outcome: r.Reason, Detail: r.Detail, ConfigVersion: r.Version})
}

// sourceOf returns the router that has sent a configuration, or the store, as it appears in logs.
func sourceOf(from string) string {
	if from == "" {
		return storeSource
	}
	return from
}
