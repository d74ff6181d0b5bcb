package dtmeasure

import (
	"fmt"
	"testing"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
)

// Sizes of the target.
const (
	targetDomains  = 11
	targetRouters  = 1700
	targetServers  = 5000
	targetGroups   = 8
	targetAccounts = 860
)

// measureStep times one request at the entry router at the target size: its arrival,
// grant and end, three steps in all.
func measureStep(*Options) ([]dtexperiment.Figure, error) {
	result := testing.Benchmark(func(b *testing.B) {
		now := time.UnixMilli(1_700_000_000_000)
		s := stateOf(targetDomains, targetRouters, targetServers, targetGroups, targetAccounts, now)
		b.ReportAllocs()
		b.ResetTimer()
		stepRequests(s, b.N, now)
	})
	return []dtexperiment.Figure{
		figure("step_ns", float64(result.NsPerOp())),
		figure("step_allocs", float64(result.AllocsPerOp())),
		figure("step_bytes", float64(result.AllocedBytesPerOp())),
		figure("step_decisions_per_second", float64(time.Second)/float64(result.NsPerOp())),
	}, nil
}

// stateOf returns the state of a router that knows a fleet of the given size.
func stateOf(domains, routers, servers, groups, accounts int, now time.Time) *dtstate.State {
	s := dtstate.New(dtstate.Settings{
		Self: "r-0-0", Address: "127.0.0.1:1", Domain: "d-0", Region: "reg-0", Start: uint64(now.UnixMilli()),
	}, now)
	s.Step(dtstate.ConfigDecoded{Record: &dtstate.ConfigRecord{Version: 1}, Site: siteOf(groups, accounts)}, now)
	var news []dtstate.Announcement
	for i := 1; i < routers; i++ {
		d := i % domains
		news = append(news, dtstate.Announcement{Member: &dtstate.Member{
			ID: dtstate.RouterID(fmt.Sprintf("r-%d-%d", d, i)), Address: "127.0.0.1:2",
			Domain: domainOf(d), Region: regionOf(d), Start: uint64(now.UnixMilli()),
		}})
	}
	for i := range servers {
		d := i % domains
		news = append(news, dtstate.Announcement{Host: &dtstate.Host{
			ID: fmt.Sprintf("s-%d", i), Kind: dtconfig.KindEngine, Address: "127.0.0.1:3", Domain: domainOf(d),
			Region: regionOf(d), Group: groupOf((i / domains) % groups), Rev: 1,
		}})
	}
	s.Step(dtstate.PeerReceived{From: "seed", Message: &dtstate.Gossip{Announcements: news}}, now)
	s.Step(dtstate.Woke{}, now)
	return s
}

func domainOf(d int) dtstate.FailureDomain { return dtstate.FailureDomain(fmt.Sprintf("d-%d", d)) }

// regionOf spreads failure domains over three regions.
func regionOf(d int) dtstate.Region { return dtstate.Region(fmt.Sprintf("reg-%d", d%3)) }

func groupOf(g int) string { return fmt.Sprintf("g-%d", g) }

// siteOf returns a configuration with some groups and accounts.
func siteOf(groups, accounts int) *dtconfig.Site {
	site := &dtconfig.Site{
		Groups: map[string]dtconfig.Group{}, Accounts: map[string]dtconfig.Account{}, Limits: dtconfig.Limits{
			LoadBound: dtconfig.DefaultLoadBound, RetryRatio: dtconfig.DefaultRetryRatio, FirstByteTimeoutMs: dtconfig.DefaultFirstByteTimeoutMs,
			OrderWindowSeconds: dtconfig.DefaultOrderWindowSeconds, RampMs: dtconfig.DefaultRampMs, MaxHomeWaitMs: dtconfig.DefaultMaxHomeWaitMs,
			MaxQueuedPerAccount: dtconfig.DefaultMaxQueuedPerAccount, MaxQueuedPerShard: dtconfig.DefaultMaxQueuedPerShard,
			MaxRequestsInFlight: dtconfig.DefaultMaxRequestsInFlight, Policy: dtconfig.PolicyAffinityBounded,
		},
	}
	for g := range groups {
		site.Groups[groupOf(g)] = dtconfig.Group{Kind: dtconfig.KindEngine, MaxInflight: 64, ColdMaxInflight: 2, SlowFirstTokenMs: 2000}
	}
	for a := range accounts {
		site.Accounts[fmt.Sprintf("acc-%d", a)] = dtconfig.Account{Weight: 1}
	}
	return site
}

// stepRequests takes n requests through their three steps at the entry router.
func stepRequests(s *dtstate.State, n int, now time.Time) {
	g := s.Fleet.Groups[groupOf(3)]
	wake := now
	for i := range n {
		now = now.Add(3 * time.Microsecond)
		if !now.Before(wake) {
			wake = wakeIn(s.Step(dtstate.Woke{}, now), now)
		}
		id := dtstate.RequestID(fmt.Sprintf("r.%d", i))
		const spread = 0x9e3779b97f4a7c15
		effects := s.Step(dtstate.RequestArrived{
			Request: id, Account: "acc-1", Group: g.Name, Chat: uint64(i) * spread, Digest: uint64(i),
			Class: dtstate.ClassInteractive, Work: 500, Deadline: now.Add(10 * time.Second),
		}, now)
		ask, to := askIn(effects)
		if ask == nil {
			continue
		}
		grant := &dtstate.SlotGrant{Request: id, Attempt: ask.Attempt, Server: g.Candidates[i%len(g.Candidates)].Server.ID}
		s.Step(dtstate.PeerReceived{From: to, Message: grant}, now)
		s.Step(dtstate.AttemptEnded{Request: id, Attempt: ask.Attempt, Outcome: dtstate.OutcomeCompleted}, now)
	}
}

// wakeIn returns when the state wants to be woken next.
func wakeIn(effects []dtstate.Effect, now time.Time) time.Time {
	at := now.Add(time.Millisecond)
	for _, e := range effects {
		if w, ok := e.(dtstate.WakeAt); ok {
			at = w.At
		}
	}
	return at
}

// askIn returns the Ask among effects and the router it goes to.
func askIn(effects []dtstate.Effect) (*dtstate.SlotRequest, dtstate.RouterID) {
	for _, e := range effects {
		if send, ok := e.(dtstate.SendPeer); ok {
			if ask, ok := send.Message.(*dtstate.SlotRequest); ok {
				return ask, send.To
			}
		}
	}
	return nil, ""
}
