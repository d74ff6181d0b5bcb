package dtdispatch_test

import (
	"testing"
	"time"
)

// TestEarlierBuildThatIsCutOffFromRoutersIsForgotten guards against certainty about streams of a router that records nothing and
// that others do not hear, while it takes requests and the store lists it.
func TestEarlierBuildThatIsCutOffFromRoutersIsForgotten(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "")
	f.setVersions("v1", "v1", "v2", "v2")
	f.run(10*time.Second, f.names...)
	f.isolated = map[string]bool{"r1": true}
	f.run(40*time.Second, f.names...)
	f.beginAnywhere(40, "v1", "v2")
	f.run(time.Second, f.names...)
	f.takeUpAt("r2", "r3") // It fails if one goes on at another version.
}
