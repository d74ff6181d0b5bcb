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

// sizeFor is how much virtual time a modelled fleet runs for its control traffic.
const sizeFor = 20 * time.Second

// measureSize gives state, steps and control bytes of a node as routers, servers and
// accounts grow, with the slope of each.
func measureSize(o *Options) ([]dtexperiment.Figure, error) {
	out := stateSizes()
	out = append(out, stepCosts()...)
	for _, routers := range []int{8, 50, 155} {
		out = append(out, controlOf(o.Seed, 1, routers, 455*routers/155+1)...)
	}
	out = append(out, controlOf(o.Seed, 11, 20, 59)...)
	out = append(out, spreadOf(o.Seed, 0), spreadOf(o.Seed, 0.2))
	out = append(out, messageSizes()...)
	processes, err := measureProcesses(o)
	return append(out, processes...), err
}

// heapOf returns the bytes that make keeps alive.
func heapOf(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// stateSizes measures the memory of one state as each of its tables grows.
func stateSizes() []dtexperiment.Figure {
	now := time.UnixMilli(dtmodel.Epoch)
	size := func(routers, servers, accounts int) float64 {
		return heapOf(func() any { return stateOf(targetDomains, routers, servers, targetGroups, accounts, now) })
	}
	var out []dtexperiment.Figure
	for _, n := range []int{50, 400, 1700} {
		out = append(out, figure(fmt.Sprintf("state_bytes_routers_%d", n), size(n, 500, 10)))
	}
	for _, n := range []int{100, 1000, 5000} {
		out = append(out, figure(fmt.Sprintf("state_bytes_servers_%d", n), size(50, n, 10)))
	}
	const few, many, manyServers = 50, 1700, 5000
	slope := func(name string, a, b float64, n int) {
		out = append(out, figure("state_slope_bytes_per_"+name, (b-a)/float64(n)))
	}
	slope("router", size(few, 500, 10), size(many, 500, 10), many-few)
	slope("server", size(few, 100, 10), size(few, manyServers, 10), manyServers-100)
	slope("account", size(few, 100, 10), size(few, 100, targetAccounts), targetAccounts-10)
	return append(out, figure("state_bytes_target", size(targetRouters, targetServers, targetAccounts)))
}

// stepCosts measures the time of a request's steps and of a refresh after a change, as
// the fleet grows.
func stepCosts() []dtexperiment.Figure {
	now := time.UnixMilli(dtmodel.Epoch)
	var out []dtexperiment.Figure
	for _, n := range []int{50, 400, 1700} {
		s := stateOf(targetDomains, n, n*3, targetGroups, 10, now)
		const requests = 100_000
		start := time.Now()
		stepRequests(s, requests, now)
		out = append(out, figure(fmt.Sprintf("request_us_routers_%d", n), time.Since(start).Seconds()*1e6/requests))
		out = append(out, figure(fmt.Sprintf("member_change_us_routers_%d", n), memberChange(s, now)))
	}
	return out
}

// memberChange returns the microseconds that one change of a member costs.
func memberChange(s *dtstate.State, now time.Time) float64 {
	const changes = 50
	start := time.Now()
	for i := range changes {
		now = now.Add(time.Second)
		member := dtstate.Member{
			ID: "r-0-flapping", Domain: domainOf(0), Region: regionOf(0), Start: uint64(now.UnixMilli()),
			Status: dtstate.MemberStatus(i % 2 * int(dtstate.MemberLeft)), AtMs: uint64(now.UnixMilli()),
		}
		s.Step(dtstate.PeerReceived{From: "r-0-11", Message: &dtstate.Gossip{Announcements: []dtstate.Announcement{{Member: &member}}}}, now)
		s.Step(dtstate.Woke{}, now)
	}
	return time.Since(start).Seconds() * 1e6 / changes
}

// controlOf runs a modelled fleet without requests and returns the control bytes,
// messages and steps of a node and second.
func controlOf(seed uint64, domains, routers, servers int) []dtexperiment.Figure {
	w := dtmodel.New(dtmodel.Settings{
		Seed: seed, Region: "reg", Domains: domains, Routers: routers, Engines: servers, Groups: targetGroups, Accounts: 10,
		Near: 200 * time.Microsecond, Far: 700 * time.Microsecond, HostsLag: time.Second,
		Server: dtmodel.ServerSettings{Slots: 64, Token: 10 * time.Millisecond, CacheTokens: 1 << 16, Restart: time.Second},
		Site:   siteFor(),
	})
	w.Run(15 * time.Second)
	bytesBefore, sentBefore, stepsBefore := spentBy(w)
	start := time.Now()
	w.Run(sizeFor)
	took := time.Since(start).Seconds()
	bytes, sent, steps := spentBy(w)
	seconds := sizeFor.Seconds()
	per := float64(len(w.Nodes)) * seconds
	most := 0.0
	for i := range bytes {
		most = max(most, (bytes[i]-bytesBefore[i])/seconds)
	}
	tag := fmt.Sprintf("%d_domains_%d_routers", domains, domains*routers)
	return []dtexperiment.Figure{
		figure("control_bytes_per_second_mean_"+tag, (total(bytes)-total(bytesBefore))/per),
		figure("control_bytes_per_second_max_"+tag, most),
		figure("control_messages_per_second_"+tag, (sent-sentBefore)/per),
		figure("control_steps_per_second_"+tag, (steps-stepsBefore)/per),
		figure("control_core_percent_"+tag, 100*took/per),
	}
}

// spreadOf returns how long a configuration takes to be in force at 220 modelled routers
// in 11 failure domains, while a part of the messages is lost.
func spreadOf(seed uint64, loss float64) dtexperiment.Figure {
	const routers, servers, within = 20, 8, 60 * time.Second
	w := dtmodel.New(dtmodel.Settings{
		Seed: seed, Region: "reg", Domains: targetDomains, Routers: routers, Engines: servers, Accounts: 10,
		Near: 200 * time.Microsecond, Far: 700 * time.Microsecond, HostsLag: time.Second, Site: siteFor(),
		Server: dtmodel.ServerSettings{Slots: 64, Token: 10 * time.Millisecond, CacheTokens: 1 << 16, Restart: time.Second},
	})
	w.Run(20 * time.Second)
	w.Settings.Loss = loss
	w.Platform.Apply(w.NewSite(), 2)
	start := w.Now
	name := fmt.Sprintf("config_spread_seconds_220_routers_loss_%.1f", loss)
	for w.Now.Sub(start) < within {
		w.Run(10 * time.Millisecond)
		behind := 0
		for _, n := range w.Nodes {
			if n.State.Config.Version < 2 {
				behind++
			}
		}
		if behind == 0 {
			return figure(name, w.Now.Sub(start).Seconds())
		}
	}
	return figure(name, within.Seconds())
}

// siteFor returns the limits of a modelled site.
func siteFor() dtconfig.Site { return dtconfig.Site{Limits: siteOf(0, 0).Limits} }

// spentBy returns the control bytes of each node, and the messages and steps of all.
func spentBy(w *dtmodel.World) (bytes []float64, sent, steps float64) {
	for _, n := range w.Nodes {
		own := 0.0
		for kind, b := range n.Bytes {
			if kind != "dispatch" && kind != "order" && kind != "refusal" {
				own += float64(b)
			}
		}
		for _, m := range n.Sent {
			sent += float64(m)
		}
		bytes = append(bytes, own)
		steps += float64(n.Steps)
	}
	return bytes, sent, steps
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}
