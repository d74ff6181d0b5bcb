package dtmeasure

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtplatform"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// Parameters of the domains measurement.
const (
	domainCallerCount  = 40
	domainAnswerTokens = 20
	domainPhaseTime    = 8 * time.Second
	domainSettleTime   = 3 * time.Second
)

// siteTopologies returns the current sites of the two users, by name.
func siteTopologies() map[string]dtfleet.Topology {
	afisul := dtfleet.SmallTopology()
	afisul.Domains = []string{"centru-a", "centru-b", "centru-c"}
	afisul.RoutersPerDomain, afisul.EnginesPerDomain, afisul.ServicesPerDomain = []int{3, 3, 2}, []int{7, 7, 6}, []int{1, 1, 1}
	afisul.HasProxies = true
	haftowa := dtfleet.SmallTopology()
	haftowa.Region = "pl-south"
	haftowa.EngineGroup, haftowa.ServiceGroup = "haft-llm", "zamowienia"
	haftowa.Domains = []string{"pl-south-a", "pl-south-b", "pl-south-c", "pl-south-d"}
	haftowa.RoutersPerDomain, haftowa.EnginesPerDomain, haftowa.ServicesPerDomain = []int{2, 2, 2, 1}, []int{3, 3, 2, 2}, []int{1, 1, 1, 1}
	haftowa.HasProxies = true
	return map[string]dtfleet.Topology{"afisul": afisul, "haftowa": haftowa}
}

// measureDomains takes a failure domain out of service and back, partitions one, and
// changes the configuration, under load at both users' sites.
func measureDomains(o *Options) ([]dtexperiment.Metric, error) {
	var all []dtexperiment.Metric
	topologies := siteTopologies()
	for _, name := range dtconfig.SortedKeys(topologies) {
		metrics, err := measureSite(o, name, topologies[name])
		all = append(all, metrics...)
		if err != nil {
			return all, fmt.Errorf("%s: %w", name, err)
		}
	}
	return all, nil
}

type turnRecord struct {
	sentAt          time.Time
	timeToFirstByte time.Duration
	server          string
	completed       bool
	entryDomain     string // Failure domain of the router that received the turn.
}

// siteRun is one site under load with the results of its turns.
type siteRun struct {
	fleet       *dtfleet.Fleet
	seed        uint64
	mu          sync.Mutex
	turns       []turnRecord
	stop        chan struct{}
	callers     sync.WaitGroup
	unreachable map[string]bool // Failure domains whose routers get no requests from callers.
}

func measureSite(o *Options, name string, t dtfleet.Topology) ([]dtexperiment.Metric, error) {
	dir, err := os.MkdirTemp("", "dottereltack-domains-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := dtfleet.Start(t, o.BinDir, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &siteRun{fleet: f, seed: o.Seed, stop: make(chan struct{}), unreachable: map[string]bool{}}
	for i := range domainCallerCount {
		r.callers.Add(1)
		go r.runCaller(i)
	}
	metrics, err := r.runPhases()
	close(r.stop)
	r.callers.Wait()
	for i := range metrics {
		metrics[i].Policy = name
	}
	return metrics, err
}

// runCaller sends turns of a few chats through random routers until stop is closed.
func (r *siteRun) runCaller(i int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.seed, uint64(i))) //nolint:gosec // Seeded for reproducible runs.
	c := dtcaller.New(dtfleet.AccountKey(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		router := r.fleet.Routers[random.IntN(len(r.fleet.Routers))]
		r.mu.Lock()
		unreachable := r.unreachable[router.Domain]
		r.mu.Unlock()
		if unreachable {
			continue
		}
		t := &dtcaller.Turn{ChatID: fmt.Sprintf("chat-%d-%d", i, n%6), Model: r.fleet.Topology.EngineGroup, MaxTokens: domainAnswerTokens}
		t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("turn %d of %d", n, i)))
		sentAt := time.Now()
		result := c.Chat(router.Host.CallersAddress, t)
		r.mu.Lock()
		r.turns = append(r.turns, turnRecord{sentAt: sentAt, timeToFirstByte: result.TimeToFirstByte, server: result.Server, completed: result.Completed, entryDomain: router.Domain})
		r.mu.Unlock()
	}
}

// turnStats returns the ratio of complete answers among the included turns sent in
// [from, to), and the 99th percentile of their times to first byte in milliseconds.
func (r *siteRun) turnStats(from, to time.Time, include func(t *turnRecord) bool) (ratio, p99 float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete, all := 0, 0
	waits := newLatencyHistogram()
	for i := range r.turns {
		t := &r.turns[i]
		if t.sentAt.Before(from) || !t.sentAt.Before(to) || !include(t) {
			continue
		}
		all++
		if t.completed {
			complete++
			waits.record(t.timeToFirstByte)
		}
	}
	return float64(complete) / float64(max(all, 1)), waits.percentileMs(99)
}

func anyTurn(*turnRecord) bool { return true }

// secondsToLastTurn returns the seconds after from at which the last turn before to was
// sent that a server of the failure domain served, 0 without one.
func (r *siteRun) secondsToLastTurn(domain string, from, to time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := 0.0
	for i := range r.turns {
		turn := &r.turns[i]
		if turn.sentAt.After(from) && turn.sentAt.Before(to) && strings.Contains(turn.server, domain) {
			last = max(last, turn.sentAt.Sub(from).Seconds())
		}
	}
	return last
}

// runPhases measures steady load, a failure domain taken out and back, a configuration
// change, and a partitioned failure domain.
func (r *siteRun) runPhases() ([]dtexperiment.Metric, error) {
	f := r.fleet
	time.Sleep(2 * domainSettleTime)
	before, err := r.readControlUsage()
	if err != nil {
		return nil, err
	}
	steadyFrom := time.Now()
	time.Sleep(domainPhaseTime)
	steadyTo := time.Now()
	usage, err := r.readControlUsage()
	if err != nil {
		return nil, err
	}
	_, steadyP99 := r.turnStats(steadyFrom, steadyTo, anyTurn)
	domain := f.Topology.Domains[0]
	outAt := time.Now()
	out, err := f.RunCommand("domain", "out", "--settings", f.Routers[len(f.Routers)-1].SettingsPath, domain)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	time.Sleep(domainPhaseTime)
	backAt := time.Now()
	outRatio, outP99 := r.turnStats(outAt, backAt, anyTurn)
	last := r.secondsToLastTurn(domain, outAt, backAt)
	if out, err = f.RunCommand("domain", "in", "--settings", f.Routers[len(f.Routers)-1].SettingsPath, domain); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	time.Sleep(domainPhaseTime)
	backRatio, backP99 := r.turnStats(backAt, time.Now(), anyTurn)
	changeSeconds, reverts, err := r.measureConfigChange()
	if err != nil {
		return nil, err
	}
	partitionRatio, err := r.measurePartition()
	if err != nil {
		return nil, err
	}
	return append([]dtexperiment.Metric{
		newMetric("domain_out_last_work_seconds", last),
		newMetric("domain_change_success_ratio", min(outRatio, backRatio)),
		newMetric("domain_change_p99_ratio", max(outP99, backP99)/max(steadyP99, 1)),
		newMetric("config_in_force_seconds_max", changeSeconds), newMetric("config_reverts", float64(reverts)),
		newMetric("control_bytes_per_second_max", usage.maxByteRate(before, steadyTo.Sub(steadyFrom))),
		newMetric("platform_calls_per_second", usage.platformCallRate(before, steadyTo.Sub(steadyFrom))),
		newMetric("cutoff_success_ratio", partitionRatio),
		newMetric("domains_turns", float64(len(r.turns))),
	}, usage.meanByteRates(before, steadyTo.Sub(steadyFrom))...), nil
}

// measureConfigChange applies a configuration and waits until it is in force at every
// router. It then restores the store from an older copy and counts a revert if a router
// goes back to the older configuration.
func (r *siteRun) measureConfigChange() (seconds float64, reverts int, err error) {
	f := r.fleet
	if err := f.ControlStand(dtstand.Command{Action: "save"}); err != nil {
		return 0, 0, err
	}
	path, err := f.WriteBaseConfig()
	if err != nil {
		return 0, 0, err
	}
	old, err := r.configVersions()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if out, err := f.RunCommand("config", "apply", "--settings", f.Routers[0].SettingsPath, "--base", path); err != nil {
		return 0, 0, fmt.Errorf("%w: %s", err, out)
	}
	for time.Since(start) < 20*time.Second {
		now, err := r.configVersions()
		if err == nil && now[0] > old[0] && now[0] == now[1] {
			seconds = time.Since(start).Seconds()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	applied, err := r.configVersions()
	if err != nil {
		return 0, 0, err
	}
	if err := f.ControlStand(dtstand.Command{Action: "restore", Name: "config/"}); err != nil {
		return 0, 0, err
	}
	time.Sleep(domainSettleTime)
	after, err := r.configVersions()
	if err == nil && after[0] < applied[0] {
		reverts++
	}
	return seconds, reverts, err
}

// configVersions returns the lowest and the highest configuration version in force.
func (r *siteRun) configVersions() ([2]uint64, error) {
	var out [2]uint64
	for i, router := range r.fleet.Routers {
		var status struct {
			Version uint64 `json:"config_version"`
		}
		if err := r.fleet.CallOperator(router, "GET", "/operator/status", &status); err != nil {
			return out, err
		}
		if i == 0 || status.Version < out[0] {
			out[0] = status.Version
		}
		out[1] = max(out[1], status.Version)
	}
	return out, nil
}

// measurePartition disconnects a failure domain from the others and from the platform,
// and returns the ratio of complete answers to the turns sent to its routers.
func (r *siteRun) measurePartition() (float64, error) {
	f := r.fleet
	last := len(f.Topology.Domains) - 1
	if err := f.ControlStand(dtstand.Command{Action: "faults", Faults: dtplatform.Faults{Outage: true}}); err != nil {
		return 0, err
	}
	if err := f.Partition([]int{last}, true); err != nil {
		return 0, err
	}
	time.Sleep(2 * domainSettleTime)
	from := time.Now()
	time.Sleep(domainPhaseTime)
	ratio, _ := r.turnStats(from, time.Now(), func(t *turnRecord) bool { return t.entryDomain == f.Topology.Domains[last] })
	if err := f.Partition(nil, false); err != nil {
		return 0, err
	}
	return ratio, f.ControlStand(dtstand.Command{Action: "faults"})
}
