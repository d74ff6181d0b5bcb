package dtmeasure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
)

// controlMeasurementTime is the virtual time for which control traffic is measured.
const controlMeasurementTime = 20 * time.Second

// measureSize measures how a router's state, steps and control traffic grow with the
// numbers of routers, servers and accounts.
func measureSize(o *Options) ([]dtexperiment.Metric, error) {
	out := measureStateSizes()
	out = append(out, measureStepCosts()...)
	for _, routers := range []int{8, 50, 155} {
		out = append(out, measureControlTraffic(o.Seed, 1, routers, 455*routers/155+1)...)
	}
	out = append(out, measureControlTraffic(o.Seed, 11, 20, 59)...)
	out = append(out, measureConfigSpread(o.Seed, 0), measureConfigSpread(o.Seed, 0.2))
	out = append(out, measureMessageSizes()...)
	processes, err := measureProcesses(o)
	return append(out, processes...), err
}

// retainedHeap returns the heap bytes that the value returned by build keeps alive.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureStateSizes measures the memory of a router's state for growing numbers of
// routers, servers and accounts, with the slope for each.
func measureStateSizes() []dtexperiment.Metric {
	now := time.UnixMilli(dtmodel.EpochMs)
	size := func(routers, servers, accounts int) float64 {
		return retainedHeap(func() any { return newFleetState(targetDomains, routers, servers, targetGroups, accounts, now) })
	}
	var out []dtexperiment.Metric
	for _, n := range []int{50, 400, 1700} {
		out = append(out, newMetric(fmt.Sprintf("state_bytes_routers_%d", n), size(n, 500, 10)))
	}
	for _, n := range []int{100, 1000, 5000} {
		out = append(out, newMetric(fmt.Sprintf("state_bytes_servers_%d", n), size(50, n, 10)))
	}
	const few, many, manyServers = 50, 1700, 5000
	slope := func(name string, a, b float64, n int) {
		out = append(out, newMetric("state_slope_bytes_per_"+name, (b-a)/float64(n)))
	}
	slope("router", size(few, 500, 10), size(many, 500, 10), many-few)
	slope("server", size(few, 100, 10), size(few, manyServers, 10), manyServers-100)
	slope("account", size(few, 100, 10), size(few, 100, targetAccounts), targetAccounts-10)
	return append(out, newMetric("state_bytes_target", size(targetRouters, targetServers, targetAccounts)))
}

// measureStepCosts measures the time of a request's steps and of the refresh after a
// membership change in fleets of growing size.
func measureStepCosts() []dtexperiment.Metric {
	now := time.UnixMilli(dtmodel.EpochMs)
	var out []dtexperiment.Metric
	for _, n := range []int{50, 400, 1700} {
		s := newFleetState(targetDomains, n, n*3, targetGroups, 10, now)
		const requests = 100_000
		start := time.Now()
		stepRequests(s, requests, now)
		out = append(out, newMetric(fmt.Sprintf("request_us_routers_%d", n), time.Since(start).Seconds()*1e6/requests))
		out = append(out, newMetric(fmt.Sprintf("member_change_us_routers_%d", n), measureMemberChange(s, now)))
	}
	return out
}

// measureMemberChange returns the microseconds that a change of one member's status takes.
func measureMemberChange(s *dtstate.State, now time.Time) float64 {
	const changes = 50
	start := time.Now()
	for i := range changes {
		now = now.Add(time.Second)
		member := dtstate.Member{
			ID: "r-0-flapping", Domain: domainName(0), Region: regionName(0), Start: uint64(now.UnixMilli()),
			Status: dtstate.MemberStatus(i % 2 * int(dtstate.MemberLeft)), AtMs: uint64(now.UnixMilli()),
		}
		s.Step(dtstate.MessageReceived{From: "r-0-11", Message: &dtstate.Gossip{Announcements: []dtstate.Announcement{{Member: &member}}}}, now)
		s.Step(dtstate.TimerFired{}, now)
	}
	return time.Since(start).Seconds() * 1e6 / changes
}

// measureControlTraffic simulates an idle fleet and returns the control bytes, messages and
// steps per router and second.
func measureControlTraffic(seed uint64, domains, routers, servers int) []dtexperiment.Metric {
	sim := dtmodel.New(dtmodel.Settings{
		Seed: seed, RegionPrefix: "reg", Domains: domains, RoutersPerDomain: routers, EnginesPerDomain: servers, EngineGroups: targetGroups, Accounts: 10,
		SameDomainDelay: 200 * time.Microsecond, CrossDomainDelay: 700 * time.Microsecond, HostListLag: time.Second,
		Server: dtmodel.ServerSettings{Slots: 64, TokenTime: 10 * time.Millisecond, CacheTokens: 1 << 16, RestartTime: time.Second},
		Site:   simulatedSite(),
	})
	sim.Advance(15 * time.Second)
	bytesBefore, messagesBefore, stepsBefore := controlTotals(sim)
	start := time.Now()
	sim.Advance(controlMeasurementTime)
	elapsed := time.Since(start).Seconds()
	bytes, messages, steps := controlTotals(sim)
	seconds := controlMeasurementTime.Seconds()
	routerSeconds := float64(len(sim.Routers)) * seconds
	maxRate := 0.0
	for i := range bytes {
		maxRate = max(maxRate, (bytes[i]-bytesBefore[i])/seconds)
	}
	suffix := fmt.Sprintf("%d_domains_%d_routers", domains, domains*routers)
	return []dtexperiment.Metric{
		newMetric("control_bytes_per_second_mean_"+suffix, (sum(bytes)-sum(bytesBefore))/routerSeconds),
		newMetric("control_bytes_per_second_max_"+suffix, maxRate),
		newMetric("control_messages_per_second_"+suffix, (messages-messagesBefore)/routerSeconds),
		newMetric("control_steps_per_second_"+suffix, (steps-stepsBefore)/routerSeconds),
		newMetric("control_core_percent_"+suffix, 100*elapsed/routerSeconds),
	}
}

// measureConfigSpread returns the seconds until a configuration is in force at all of 220
// simulated routers in 11 failure domains, with a ratio of messages lost.
func measureConfigSpread(seed uint64, loss float64) dtexperiment.Metric {
	const routers, servers, timeout = 20, 8, 60 * time.Second
	sim := dtmodel.New(dtmodel.Settings{
		Seed: seed, RegionPrefix: "reg", Domains: targetDomains, RoutersPerDomain: routers, EnginesPerDomain: servers, Accounts: 10,
		SameDomainDelay: 200 * time.Microsecond, CrossDomainDelay: 700 * time.Microsecond, HostListLag: time.Second, Site: simulatedSite(),
		Server: dtmodel.ServerSettings{Slots: 64, TokenTime: 10 * time.Millisecond, CacheTokens: 1 << 16, RestartTime: time.Second},
	})
	sim.Advance(20 * time.Second)
	sim.Settings.LostMessageRatio = loss
	sim.Platform.ApplyConfig(sim.NewSite(), 2)
	start := sim.Now
	name := fmt.Sprintf("config_spread_seconds_220_routers_loss_%.1f", loss)
	for sim.Now.Sub(start) < timeout {
		sim.Advance(10 * time.Millisecond)
		behind := 0
		for _, router := range sim.Routers {
			if router.State.Config.Version < 2 {
				behind++
			}
		}
		if behind == 0 {
			return newMetric(name, sim.Now.Sub(start).Seconds())
		}
	}
	return newMetric(name, timeout.Seconds())
}

func simulatedSite() dtconfig.Site { return dtconfig.Site{Limits: newSite(0, 0).Limits} }

// controlTotals returns the control bytes of each router, and the messages and steps of
// all routers together.
func controlTotals(sim *dtmodel.Simulation) (bytes []float64, messages, steps float64) {
	for _, router := range sim.Routers {
		routerBytes := 0.0
		for kind, b := range router.SentBytes {
			if kind != "dispatch" && kind != "order" && kind != "refusal" {
				routerBytes += float64(b)
			}
		}
		for _, m := range router.SentMessages {
			messages += float64(m)
		}
		bytes = append(bytes, routerBytes)
		steps += float64(router.Steps)
	}
	return bytes, messages, steps
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
