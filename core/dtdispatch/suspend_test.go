package dtdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// TestSuspendedRouterKnowsTheAgeOfChanges guards against streams that go on at another software version, since the steady
// clock of a host does not count for how long it was suspended, and changes of before seem younger than they are.
func TestSuspendedRouterKnowsTheAgeOfChanges(t *testing.T) {
	const suspended = 3500 * time.Millisecond
	versions := []string{"v1", "v2", "v2", "v2"}
	newRouterAfterChange := func() (r *router) {
		r = newRouterWithVersions(t, "v1")
		r.sendRequest("/stream/x", resuming("other"))
		r.step(dtdispatch.VersionRecordRead{})
		r.advance(20 * time.Second)
		r.listServers(2, serversOfVersions("v1")...)
		r.advance(100 * time.Millisecond)
		r.listServers(3, serversOfVersions(versions...)...)
		return r
	}
	for n := range 20 {
		id := fmt.Sprint("stream-", n)
		other, r := newRouterAfterChange(), newRouterAfterChange()
		other.sendRequest("/stream/x", func(ev *dtdispatch.RequestArrived) { ev.ID, ev.CallerTimeout = id, callerTimeout })
		version := other.versionOf(other.onlySend().Server)
		r.advance(100 * time.Millisecond)
		r.step(dtdispatch.Paused{Gap: suspended, Uncounted: suspended})
		for range 8 {
			r.listServers(4, serversOfVersions(versions...)...)
			r.advance(100 * time.Millisecond)
		}
		age := suspended + r.now.Sub(other.now)
		r.sendRequest("/stream/x", resuming(id), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - age })
		for _, send := range effectsOf[dtdispatch.SendRequest](slices.Concat(r.effects, r.step(dtdispatch.VersionRecordRead{}))) {
			r.Expect(r.versionOf(send.Server)).To(Equal(version), id)
		}
	}
}

// TestChangeDuringASuspensionIsNotOfItsEnd guards against a router that takes a change of the mix that was made while its host was
// suspended for one of now.
func TestChangeDuringASuspensionIsNotOfItsEnd(t *testing.T) {
	versions := []string{"v1", "v2", "v2", "v2"}
	r := newRouterWithVersions(t, "v1")
	r.sendRequest("/stream/x", resuming("other"))
	r.step(dtdispatch.VersionRecordRead{})
	r.advance(20 * time.Second)
	r.listServers(2, serversOfVersions("v1")...)
	r.step(dtdispatch.Paused{Gap: 8 * time.Second, Uncounted: 8 * time.Second})
	r.listServers(3, serversOfVersions(versions...)...)
	for range 8 {
		r.advance(100 * time.Millisecond)
		r.listServers(4, serversOfVersions(versions...)...)
	}
	for n := range 20 {
		r.sendRequest("/stream/x", resuming(fmt.Sprint("first-", n)), func(ev *dtdispatch.RequestArrived) { ev.CallerTimeout = callerTimeout - 4*time.Second })
		effects := slices.Concat(r.effects, r.step(dtdispatch.VersionRecordRead{}))
		r.Expect(effectsOf[dtdispatch.SendRequest](effects)).To(BeEmpty())
	}
}
