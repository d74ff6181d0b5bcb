package dtmeasure

import (
	"fmt"
	"testing"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
)

// Fleet size that the product is designed for.
const (
	targetDomains  = 11
	targetRouters  = 1700
	targetServers  = 5000
	targetGroups   = 8
	targetAccounts = 860
)

// measureStep benchmarks the three steps of a request (arrival, slot grant and end) at its
// entry router in a fleet of the target size.
func measureStep(*Options) ([]dtexperiment.Metric, error) {
	result := testing.Benchmark(func(b *testing.B) {
		now := time.UnixMilli(1_700_000_000_000)
		s := newFleetState(targetDomains, targetRouters, targetServers, targetGroups, targetAccounts, now)
		b.ReportAllocs()
		b.ResetTimer()
		stepRequests(s, b.N, now)
	})
	return []dtexperiment.Metric{
		newMetric("step_ns", float64(result.NsPerOp())),
		newMetric("step_allocs", float64(result.AllocsPerOp())),
		newMetric("step_bytes", float64(result.AllocedBytesPerOp())),
		newMetric("step_decisions_per_second", float64(time.Second)/float64(result.NsPerOp())),
	}, nil
}

// newFleetState returns the state of a router in a fleet of the given size.
func newFleetState(domains, routers, servers, groups, accounts int, now time.Time) *dtstate.State {
	s := dtstate.New(dtstate.Settings{
		Self: "r-0-0", Address: "127.0.0.1:1", Domain: "d-0", Region: "reg-0", Start: uint64(now.UnixMilli()),
	}, now)
	s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: 1}, Site: newSite(groups, accounts)}, now)
	var announcements []dtstate.Announcement
	for i := 1; i < routers; i++ {
		d := i % domains
		announcements = append(announcements, dtstate.Announcement{Member: &dtstate.Member{
			ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", d, i)), Address: "127.0.0.1:2",
			Domain: domainName(d), Region: regionName(d), Start: uint64(now.UnixMilli()),
		}})
	}
	for i := range servers {
		d := i % domains
		announcements = append(announcements, dtstate.Announcement{Host: &dtstate.Host{
			ID: fmt.Sprintf("s-%d", i), Kind: dtconfig.KindEngine, Address: "127.0.0.1:3", Domain: domainName(d),
			Region: regionName(d), Group: groupName((i / domains) % groups), Revision: 1,
		}})
	}
	s.Step(dtstate.MessageReceived{From: "seed", Message: &dtstate.Gossip{Announcements: announcements}}, now)
	s.Step(dtstate.TimerFired{}, now)
	return s
}

func domainName(d int) dtstate.FailureDomain { return dtstate.FailureDomain(fmt.Sprintf("d-%d", d)) }

// regionName returns the region of a failure domain, one of three.
func regionName(d int) dtstate.Region { return dtstate.Region(fmt.Sprintf("reg-%d", d%3)) }

func groupName(g int) string { return fmt.Sprintf("g-%d", g) }

// newSite returns a configuration with the given numbers of groups and accounts.
func newSite(groups, accounts int) *dtconfig.Site {
	site := &dtconfig.Site{
		Groups: map[string]dtconfig.Group{}, Accounts: map[string]dtconfig.Account{}, Limits: dtconfig.Limits{
			LoadBound: dtconfig.DefaultLoadBound, RetryRatio: dtconfig.DefaultRetryRatio, FirstByteTimeoutMs: dtconfig.DefaultFirstByteTimeoutMs,
			OrderWindowSeconds: dtconfig.DefaultOrderWindowSeconds, RampMs: dtconfig.DefaultRampMs, MaxHomeWaitMs: dtconfig.DefaultMaxHomeWaitMs,
			MaxQueuedPerAccount: dtconfig.DefaultMaxQueuedPerAccount, MaxQueuedPerShard: dtconfig.DefaultMaxQueuedPerShard,
			MaxRequestsInFlight: dtconfig.DefaultMaxRequestsInFlight, Policy: dtconfig.PolicyAffinityBounded,
		},
	}
	for g := range groups {
		site.Groups[groupName(g)] = dtconfig.Group{Kind: dtconfig.KindEngine, MaxInFlight: 64, ColdMaxInFlight: 2, SlowFirstTokenMs: 2000}
	}
	for a := range accounts {
		site.Accounts[fmt.Sprintf("acc-%d", a)] = dtconfig.Account{Weight: 1}
	}
	return site
}

// stepRequests runs the three steps of n requests at their entry router.
func stepRequests(s *dtstate.State, n int, now time.Time) {
	g := s.Fleet.Groups[groupName(3)]
	wake := now
	for i := range n {
		now = now.Add(3 * time.Microsecond)
		if !now.Before(wake) {
			wake = nextWake(s.Step(dtstate.TimerFired{}, now), now)
		}
		id := dtstate.RequestID(fmt.Sprintf("r.%d", i))
		const chatStride = 0x9e3779b97f4a7c15
		effects := s.Step(dtstate.RequestArrived{
			Request: id, Account: "acc-1", Group: g.Name, Chat: uint64(i) * chatStride, Digest: uint64(i),
			Class: dtstate.ClassInteractive, Work: 500, Deadline: now.Add(10 * time.Second),
		}, now)
		slotRequest, to := findSlotRequest(effects)
		if slotRequest == nil {
			continue
		}
		grant := &dtstate.SlotGrant{Request: id, Attempt: slotRequest.Attempt, Server: g.Candidates[i%len(g.Candidates)].Server.ID}
		s.Step(dtstate.MessageReceived{From: to, Message: grant}, now)
		s.Step(dtstate.AttemptEnded{Request: id, Attempt: slotRequest.Attempt, Outcome: dtstate.OutcomeCompleted}, now)
	}
}

// nextWake returns the time for which effects set the timer, or a millisecond from now.
func nextWake(effects []dtstate.Effect, now time.Time) time.Time {
	at := now.Add(time.Millisecond)
	for _, e := range effects {
		if w, ok := e.(dtstate.SetTimer); ok {
			at = w.At
		}
	}
	return at
}

// findSlotRequest returns the first slot request among effects and its receiver, or nil.
func findSlotRequest(effects []dtstate.Effect) (*dtstate.SlotRequest, dtstate.RouterID) {
	for _, e := range effects {
		if send, ok := e.(dtstate.SendPeer); ok {
			if request, ok := send.Message.(*dtstate.SlotRequest); ok {
				return request, send.To
			}
		}
	}
	return nil, ""
}
