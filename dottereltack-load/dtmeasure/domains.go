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

// Sizes of the domains measurement.
const (
	domainCallers = 40
	domainTokens  = 20
	domainPhase   = 8 * time.Second
	domainSettle  = 3 * time.Second
)

// sites returns the two users' sites of today, by name.
func sites() map[string]dtfleet.Topology {
	afisul := dtfleet.SmallSite()
	afisul.Domains = []string{"centru-a", "centru-b", "centru-c"}
	afisul.Routers, afisul.Engines, afisul.Services = []int{3, 3, 2}, []int{7, 7, 6}, []int{1, 1, 1}
	afisul.Proxied = true
	haftowa := dtfleet.SmallSite()
	haftowa.Region = "pl-south"
	haftowa.EngineGroup, haftowa.ServiceGroup = "haft-llm", "zamowienia"
	haftowa.Domains = []string{"pl-south-a", "pl-south-b", "pl-south-c", "pl-south-d"}
	haftowa.Routers, haftowa.Engines, haftowa.Services = []int{2, 2, 2, 1}, []int{3, 3, 2, 2}, []int{1, 1, 1, 1}
	haftowa.Proxied = true
	return map[string]dtfleet.Topology{"afisul": afisul, "haftowa": haftowa}
}

// measureDomains takes a failure domain out and back, cuts one off, and changes the
// configuration, under load at both users' sites.
func measureDomains(o *Options) ([]dtexperiment.Figure, error) {
	var all []dtexperiment.Figure
	topologies := sites()
	for _, name := range dtconfig.SortedKeys(topologies) {
		figures, err := domainsAt(o, name, topologies[name])
		all = append(all, figures...)
		if err != nil {
			return all, fmt.Errorf("%s: %w", name, err)
		}
	}
	return all, nil
}

// turnSeen is one answered or refused turn.
type turnSeen struct {
	at     time.Time
	first  time.Duration
	server string
	whole  bool
	entry  string
}

// domainRun is the traffic of one site.
type domainRun struct {
	fleet *dtfleet.Fleet
	seed  uint64
	mu    sync.Mutex
	seen  []turnSeen
	stop  chan struct{}
	group sync.WaitGroup
	away  map[string]bool // Failure domains whose entry hosts no caller reaches.
}

func domainsAt(o *Options, name string, t dtfleet.Topology) ([]dtexperiment.Figure, error) {
	dir, err := os.MkdirTemp("", "dottereltack-domains-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := dtfleet.Start(t, o.Bin, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &domainRun{fleet: f, seed: o.Seed, stop: make(chan struct{}), away: map[string]bool{}}
	for i := range domainCallers {
		r.group.Add(1)
		go r.call(i)
	}
	figures, err := r.phases()
	close(r.stop)
	r.group.Wait()
	for i := range figures {
		figures[i].Policy = name
	}
	return figures, err
}

// call sends turns of a few chats through random routers until stop.
func (r *domainRun) call(i int) {
	defer r.group.Done()
	random := rand.New(rand.NewPCG(r.seed, uint64(i))) //nolint:gosec // A seeded run is meant to repeat.
	c := dtcaller.New(dtfleet.KeyOf(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		router := r.fleet.Routers[random.IntN(len(r.fleet.Routers))]
		r.mu.Lock()
		away := r.away[router.Domain]
		r.mu.Unlock()
		if away {
			continue
		}
		t := &dtcaller.Turn{Chat: fmt.Sprintf("chat-%d-%d", i, n%6), Model: r.fleet.Topology.EngineGroup, MaxTokens: domainTokens}
		t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("turn %d of %d", n, i)))
		at := time.Now()
		res := c.Chat(router.Host.CallersAddress, t)
		r.mu.Lock()
		r.seen = append(r.seen, turnSeen{at: at, first: res.FirstByte, server: res.Server, whole: res.Whole, entry: router.Domain})
		r.mu.Unlock()
	}
}

// between returns the part of turns begun in a span that were answered whole, and the
// 99th percentile of their first bytes in seconds.
func (r *domainRun) between(from, to time.Time, pick func(t *turnSeen) bool) (ratio, p99 float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole, all := 0, 0
	waits := newTimings()
	for i := range r.seen {
		t := &r.seen[i]
		if t.at.Before(from) || !t.at.Before(to) || !pick(t) {
			continue
		}
		all++
		if t.whole {
			whole++
			waits.add(t.first)
		}
	}
	return float64(whole) / float64(max(all, 1)), waits.ms(99)
}

func anyTurn(*turnSeen) bool { return true }

// lastAt returns how long after t the last turn began that a server of a failure domain
// served, among the turns begun before until.
func (r *domainRun) lastAt(domain string, t, until time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := 0.0
	for i := range r.seen {
		s := &r.seen[i]
		if s.at.After(t) && s.at.Before(until) && strings.Contains(s.server, domain) {
			last = max(last, s.at.Sub(t).Seconds())
		}
	}
	return last
}

// phases runs steady load, a failure domain out and back, a configuration change, and a
// failure domain cut off from everything.
func (r *domainRun) phases() ([]dtexperiment.Figure, error) {
	f := r.fleet
	time.Sleep(2 * domainSettle)
	before, err := r.control()
	if err != nil {
		return nil, err
	}
	steadyFrom := time.Now()
	time.Sleep(domainPhase)
	steadyTo := time.Now()
	spent, err := r.control()
	if err != nil {
		return nil, err
	}
	_, steady := r.between(steadyFrom, steadyTo, anyTurn)
	domain := f.Topology.Domains[0]
	outAt := time.Now()
	out, err := f.Command("domain", "out", "--settings", f.Routers[len(f.Routers)-1].Settings, domain)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	time.Sleep(domainPhase)
	backAt := time.Now()
	outRatio, outP99 := r.between(outAt, backAt, anyTurn)
	last := r.lastAt(domain, outAt, backAt)
	if out, err = f.Command("domain", "in", "--settings", f.Routers[len(f.Routers)-1].Settings, domain); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	time.Sleep(domainPhase)
	backRatio, backP99 := r.between(backAt, time.Now(), anyTurn)
	inForce, reverts, err := r.change()
	if err != nil {
		return nil, err
	}
	cutRatio, err := r.cutOff()
	if err != nil {
		return nil, err
	}
	return append([]dtexperiment.Figure{
		figure("domain_out_last_work_seconds", last),
		figure("domain_change_success_ratio", min(outRatio, backRatio)),
		figure("domain_change_p99_ratio", max(outP99, backP99)/max(steady, 1)),
		figure("config_in_force_seconds_max", inForce), figure("config_reverts", float64(reverts)),
		figure("control_bytes_per_second_max", spent.most(before, steadyTo.Sub(steadyFrom))),
		figure("platform_calls_per_second", spent.calls(before, steadyTo.Sub(steadyFrom))),
		figure("cutoff_success_ratio", cutRatio),
		figure("domains_turns", float64(len(r.seen))),
	}, spent.byKind(before, steadyTo.Sub(steadyFrom))...), nil
}

// change applies a configuration and waits until each router has it in force; then the
// store comes back with its old copy, and no router may follow it.
func (r *domainRun) change() (seconds float64, reverts int, err error) {
	f := r.fleet
	if err := f.Do(dtstand.Command{Action: "save"}); err != nil {
		return 0, 0, err
	}
	path, err := f.WriteBase()
	if err != nil {
		return 0, 0, err
	}
	old, err := r.versions()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if out, err := f.Command("config", "apply", "--settings", f.Routers[0].Settings, "--base", path); err != nil {
		return 0, 0, fmt.Errorf("%w: %s", err, out)
	}
	for time.Since(start) < 20*time.Second {
		now, err := r.versions()
		if err == nil && now[0] > old[0] && now[0] == now[1] {
			seconds = time.Since(start).Seconds()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	applied, err := r.versions()
	if err != nil {
		return 0, 0, err
	}
	if err := f.Do(dtstand.Command{Action: "restore", Name: "config/"}); err != nil {
		return 0, 0, err
	}
	time.Sleep(domainSettle)
	after, err := r.versions()
	if err == nil && after[0] < applied[0] {
		reverts++
	}
	return seconds, reverts, err
}

// versions returns the lowest and the highest configuration in force.
func (r *domainRun) versions() ([2]uint64, error) {
	var out [2]uint64
	for i, router := range r.fleet.Routers {
		var st struct {
			Version uint64 `json:"config_version"`
		}
		if err := r.fleet.Operator(router, "GET", "/operator/status", &st); err != nil {
			return out, err
		}
		if i == 0 || st.Version < out[0] {
			out[0] = st.Version
		}
		out[1] = max(out[1], st.Version)
	}
	return out, nil
}

// cutOff separates a failure domain from the others and from the platform and returns
// the part of the turns entered there that were answered.
func (r *domainRun) cutOff() (float64, error) {
	f := r.fleet
	last := len(f.Topology.Domains) - 1
	if err := f.Do(dtstand.Command{Action: "faults", Faults: dtplatform.Faults{Outage: true}}); err != nil {
		return 0, err
	}
	if err := f.Cut([]int{last}, true); err != nil {
		return 0, err
	}
	time.Sleep(2 * domainSettle)
	from := time.Now()
	time.Sleep(domainPhase)
	ratio, _ := r.between(from, time.Now(), func(t *turnSeen) bool { return t.entry == f.Topology.Domains[last] })
	if err := f.Cut(nil, false); err != nil {
		return 0, err
	}
	return ratio, f.Do(dtstand.Command{Action: "faults"})
}
