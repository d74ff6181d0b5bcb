package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestListedStreamsDriveOutExceptions guards against streams of two versions: the streams that are listed only beside a build that records
// nothing take the place of those that have begun at another version than that of their hash.
func TestListedStreamsDriveOutExceptions(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "", "", "", "", "")
	f.setVersions("v1", "v2", "v2")
	f.run(5*time.Second, f.names...)
	f.beginAt(7000, f.names[1:]...)
	f.run(time.Second, f.names...)
	listed := 0
	for _, exceptions := range f.exceptions {
		listed += len(exceptions)
	}
	f.Expect(listed).To(BeNumerically("<=", 2048))
	f.builds["r1"] = ""
	f.restart(t, "r1")
	f.run(50*time.Second, f.names...)
	f.begun, f.areOpen = nil, true
	f.crashVersion1()
	f.begin(60)
	f.run(time.Second, f.names...)
	f.Expect(f.takeUp()).To(Equal(60))
}

// TestStreamsAreListedForAsLongAsTheyMayLast guards against a list that is full of streams that have ended, so that no other is listed.
func TestStreamsAreListedForAsLongAsTheyMayLast(t *testing.T) {
	f := newStreamsOf(t, noVersions, "", "")
	f.setVersions("v1", "v1", "v2", "v2")
	f.run(5*time.Second, f.names...)
	for range 4 {
		f.begun = nil
		f.beginAt(1000, "r2", "r3")
		f.run(2*callerTimeout, f.names...)
	}
	f.begun, f.areOpen = nil, true
	f.beginAt(40, "r2", "r3")
	f.run(time.Second, f.names...)
	f.Expect(f.takeUpAt("r2", "r3")).To(Equal(40))
	f.Expect(len(f.exceptions["r2"])).To(BeNumerically("<=", 600))
}

// TestOwnExceptionsGiveWayToThoseOfOthers guards against dropping the streams that only this router writes to the store, for those that
// it reads there.
func TestOwnExceptionsGiveWayToThoseOfOthers(t *testing.T) {
	f := newStreams(t, "r1")
	f.setVersions("v1", "v2", "v2")
	f.run(5*time.Second, f.names...)
	f.areOpen = true
	f.crashVersion1()
	f.begin(60)
	f.run(time.Second, f.names...)
	f.exceptions["r2"] = map[string]dtdispatch.StreamException{}
	for i := range 7000 {
		f.exceptions["r2"][fmt.Sprint("other-", i)] = dtdispatch.StreamException{Version: "v1"}
	}
	f.takeUp()
	f.run(time.Second, f.names...)
	f.Expect(f.takeUp()).To(Equal(60))
}

// BenchmarkReadManyExceptions reads a record with more streams than a router keeps.
func BenchmarkReadManyExceptions(b *testing.B) {
	exceptions := map[string]dtdispatch.StreamException{}
	for i := range 12 * 1024 {
		exceptions[fmt.Sprintf("%016x", i)] = dtdispatch.StreamException{Version: "v1"}
	}
	now := time.UnixMilli(1_700_000_000_000)
	state := dtdispatch.New(dtdispatch.Settings{RouterName: "r1", Domain: "d0", Bounds: bounds}, now)
	for b.Loop() {
		state.Step(dtdispatch.VersionRecordRead{Record: dtdispatch.VersionRecord{Exceptions: exceptions}}, now)
	}
}
