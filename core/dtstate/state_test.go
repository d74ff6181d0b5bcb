package dtstate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// newFleetState returns a state with the given numbers of failure domains, routers,
// servers and groups.
func newFleetState(domains, routers, servers, groups int, now time.Time) *dtstate.State {
	s := dtstate.New(dtstate.Settings{
		Self: "r-0-0", Address: "127.0.0.1:1", Domain: "d-0", Region: "reg-0", Start: uint64(now.UnixMilli()),
	}, now)
	var announcements []dtstate.Announcement
	for i := range routers {
		d := i % domains
		if i == 0 {
			continue
		}
		announcements = append(announcements, dtstate.Announcement{Member: &dtstate.Member{
			ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", d, i)), Address: "127.0.0.1:2",
			Domain: dtstate.FailureDomain(fmt.Sprintf("d-%d", d)), Region: regionOf(d), Start: uint64(now.UnixMilli()),
		}})
	}
	site := &dtconfig.Site{Groups: map[string]dtconfig.Group{}, Limits: dtconfig.Limits{
		LoadBound: 1.25, RetryRatio: 0.1, FirstByteTimeoutMs: 10_000, OrderWindowSeconds: 900, RampMs: 10_000,
		MaxQueuedPerAccount: 256, MaxQueuedPerShard: 4096, MaxRequestsInFlight: 50_000, ModelLoadsPerMinute: 60, Policy: dtconfig.PolicyAffinityBounded,
	}}
	for g := range groups {
		site.Groups[fmt.Sprintf("g-%d", g)] = dtconfig.Group{Kind: dtconfig.KindEngine, MaxInFlight: 64, ColdMaxInFlight: 2, SlowFirstTokenMs: 2000}
	}
	s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: 1}, Site: site}, now)
	for i := range servers {
		d := i % domains
		announcements = append(announcements, dtstate.Announcement{Host: &dtstate.Host{
			ID: fmt.Sprintf("s-%d", i), Kind: dtconfig.KindEngine, Address: "127.0.0.1:3",
			Domain: dtstate.FailureDomain(fmt.Sprintf("d-%d", d)), Region: regionOf(d),
			Group: fmt.Sprintf("g-%d", (i/domains)%groups), Revision: 1,
		}})
	}
	s.Step(dtstate.MessageReceived{From: "seed", Message: &dtstate.Gossip{Announcements: announcements}}, now)
	return s
}

func regionOf(domain int) dtstate.Region {
	return dtstate.Region(fmt.Sprintf("reg-%d", domain%3))
}

// BenchmarkStep measures the routing of one request at the target fleet size: arrival,
// grant and end at the entry router, with the owner at another router.
func BenchmarkStep(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	s := newFleetState(11, 1700, 5000, 8, now)
	ids := make([]dtstate.RequestID, b.N)
	for i := range ids {
		ids[i] = dtstate.RequestID(fmt.Sprintf("r-0-0.%d", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	routed := 0
	wake := now
	for i := range b.N {
		if !now.Before(wake) {
			wake = wakeIn(s.Step(dtstate.TimerFired{}, now), now)
		}
		now = now.Add(3 * time.Microsecond)
		effects := s.Step(dtstate.RequestArrived{
			Request: ids[i], Account: "a", Group: "g-3", Chat: uint64(i) * 0x9e3779b97f4a7c15,
			Digest: uint64(i), Class: dtstate.ClassInteractive, Work: 500, Deadline: now.Add(10 * time.Second),
		}, now)
		req, to := slotRequestIn(effects)
		if req == nil {
			b.Fatalf("no slot request in %v", effects)
		}
		s.Step(dtstate.MessageReceived{From: to, Message: &dtstate.SlotGrant{Request: req.Request, Attempt: req.Attempt, Server: candidateID(s, i)}}, now)
		s.Step(dtstate.AttemptEnded{Request: req.Request, Attempt: req.Attempt, Outcome: dtstate.OutcomeCompleted}, now)
		routed++
	}
	b.ReportMetric(float64(routed)/b.Elapsed().Seconds(), "decisions/s")
}

// wakeIn returns the time of the last SetTimer among effects, or now plus 1 ms.
func wakeIn(effects []dtstate.Effect, now time.Time) time.Time {
	at := now.Add(time.Millisecond)
	for _, e := range effects {
		if w, ok := e.(dtstate.SetTimer); ok {
			at = w.At
		}
	}
	return at
}

// candidateID returns one of the candidates of group g-3.
func candidateID(s *dtstate.State, i int) dtstate.ServerID {
	g := s.Fleet.Groups["g-3"]
	return g.Candidates[i%len(g.Candidates)].Server.ID
}

// slotRequestIn returns the slot request among effects and its recipient.
func slotRequestIn(effects []dtstate.Effect) (*dtstate.SlotRequest, dtstate.RouterID) {
	for _, e := range effects {
		if send, ok := e.(dtstate.SendPeer); ok {
			if req, ok := send.Message.(*dtstate.SlotRequest); ok {
				return req, send.To
			}
		}
	}
	return nil, ""
}
