package dtdispatch

import (
	"fmt"
	"maps"
	"math/bits"
	"strings"
	"time"
)

// Routers of several builds may serve side by side. A router relies on another one for what the other says that it can do.

// FeatureSet is a set of features that a router has. Bits without a name are features of later builds.
type FeatureSet uint64

// Features of routers; on the wire and in the store they keep their bits and names.
const (
	FeatureStreamVersions FeatureSet = 1 << iota // Begins streams at the version of their hash, and records the others.
	FeatureTunnels                               // Opens connections to servers for other routers.
	FeatureLoadTables                            // Reads tables of loads, and passes them on.
)

// OwnFeatures are the features of this build.
const OwnFeatures = FeatureStreamVersions | FeatureTunnels | FeatureLoadTables

// Origins of what is known of a router's features, for the log.
const (
	featuresFromStatus = "status"
	featuresFromStore  = "store"
)

// largeFleetFeatureInterval is the time between two statuses of a router of a large fleet that name its features.
const largeFleetFeatureInterval = 6 * time.Second

// featureNames returns the names of the features by bit.
func featureNames() []string { return []string{"stream_versions", "tunnels", "load_tables"} }

// FeaturesNamed returns the features with the given names; others are ignored.
func FeaturesNamed(names []string) FeatureSet {
	set := FeatureSet(0)
	for bit, known := range featureNames() {
		for _, name := range names {
			if name == known {
				set |= 1 << bit
			}
		}
	}
	return set
}

// Has reports whether the set has all of some features.
func (f FeatureSet) Has(features FeatureSet) bool { return f&features == features }

// Names returns the names of the features that this build knows.
func (f FeatureSet) Names() []string {
	var names []string
	for bit, name := range featureNames() {
		if f.Has(1 << bit) {
			names = append(names, name)
		}
	}
	return names
}

// String returns the names of the features, and the number of those that this build does not know.
func (f FeatureSet) String() string {
	names := f.Names()
	if n := bits.OnesCount64(uint64(f)) - len(names); n > 0 {
		names = append(names, fmt.Sprintf("%d_unknown", n))
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ",")
}

// observeFeatures logs the features of another router when they are first heard of and when they have changed.
func (s *State) observeFeatures(name string, features FeatureSet, origin string) {
	known, isKnown := s.Peers.Features[name]
	if isKnown && (known == features || origin == featuresFromStore && features == 0) {
		return // An entry in the store may be one of an incarnation before.
	}
	if s.Peers.Features == nil {
		s.Peers.Features = map[string]FeatureSet{}
	}
	s.Peers.Features[name] = features
	s.Peers.countFeatureless()
	s.emit(LogRecord{Event: "router_features", Subject: name, Detail: features.String(), Outcome: origin})
}

// forgetFeatures forgets the features of routers that are gone.
func (s *State) forgetFeatures() {
	maps.DeleteFunc(s.Peers.Features, func(name string, _ FeatureSet) bool {
		_, isSeen := s.Membership.LastSeen[name]
		return !isSeen
	})
	s.Peers.countFeatureless()
}

func (p *Peers) countFeatureless() {
	p.Featureless = 0
	for _, features := range p.Features {
		if features == 0 {
			p.Featureless++
		}
	}
}
