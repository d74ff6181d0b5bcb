package dtdispatch_test

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// build is what a router of an earlier build sends and writes, of which its reducer is one of this build.
type build string

const (
	noVersions build = "no versions" // It knows no versions of servers, and records none.
	noTimes    build = "no times"    // It records versions, and names neither its time nor its features.
	noFeatures build = "no features" // It records versions and names its time.
)

// sent returns a message as the build sends it, or nil if it sends none that others can read.
func (b build) sent(m dtdispatch.PeerMessage) dtdispatch.PeerMessage {
	switch m := m.(type) {
	case *dtdispatch.PeerStatus:
		return b.status(*m)
	case *dtdispatch.RosterReply, *dtdispatch.RosterDelta, *dtdispatch.VersionNews:
		if b == noVersions {
			return nil
		}
	}
	return m
}

func (b build) status(status dtdispatch.PeerStatus) *dtdispatch.PeerStatus {
	if b == "" {
		return &status
	}
	status.Features = 0
	if b != noFeatures {
		status.SentAt = time.Time{}
	}
	if b == noVersions && status.RosterHash != 0 {
		status.RosterHash++
	}
	return &status
}

// writes reports whether the build writes a part of the record.
func (b build) writes(part dtdispatch.RecordPart) bool {
	return b == "" || b != noVersions && part != dtdispatch.PartUnrecorded
}

func (b build) features() dtdispatch.FeatureSet {
	if b == "" {
		return dtdispatch.OwnFeatures
	}
	return 0
}
