package dtmeasure

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// Judge is what callers saw under faults, to be held against what really ran.
type Judge struct {
	mu       sync.Mutex
	orders   map[string]*orderSeen
	refusals map[string]bool
	chats    int
	crossed  int
	cutWhole int
	whole    int
	refused  int
	failed   int
	cutStop  int
	lastCut  string
}

// orderSeen is all that callers were told of one order key.
type orderSeen struct {
	confirmed bool
	notRun    int
	others    int
}

// note counts how a request ended; the judge's lock is held.
func (r *faultRun) note(res *dtcaller.Result, router *dtfleet.Router, begun time.Time) {
	j := r.judge
	switch {
	case res.Refusal != nil:
		j.refused++
		j.refusals[res.Refusal.RefusalID] = true
	case !res.Whole:
		j.failed++
		if r.stops.during(router.Name, begun, time.Now()) {
			j.cutStop++
			j.lastCut = fmt.Sprintf("%s %s status=%d err=%v tokens=%d begun=%s took=%s", router.Name, res.Request, res.Status, res.Err, res.Tokens, begun, res.Took)
		}
	}
}

// judgeOrder notes what a caller was told of an order; true means confirmed.
func (r *faultRun) judgeOrder(key, body string, res *dtcaller.Result, router *dtfleet.Router, begun time.Time) bool {
	j := r.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := j.orders[key]
	if seen == nil {
		seen = &orderSeen{}
		j.orders[key] = seen
	}
	r.note(res, router, begun)
	var answer struct{ Key, Echo string }
	switch {
	case res.Whole:
		seen.confirmed = true
		if json.Unmarshal(res.Body, &answer) != nil || answer.Echo != body || answer.Key != key {
			j.crossed++
		}
	case res.Refusal != nil && res.Refusal.Ran == "not_run":
		seen.notRun++
	default:
		seen.others++
	}
	return seen.confirmed
}

// unaccounted returns the refusals that callers were told and neither the ledger nor the
// routers' logs hold.
func (r *faultRun) unaccounted() ([]string, error) {
	held, err := r.inLedger()
	if err != nil {
		return nil, err
	}
	for id := range r.judge.refusals {
		if !held[id] {
			r.logged++
		}
	}
	if err := r.addLogged(held); err != nil {
		return nil, err
	}
	var missing []string
	for id := range r.judge.refusals {
		if !held[id] {
			missing = append(missing, id)
		}
	}
	return missing, nil
}

// addLogged adds the refusals that the routers' logs hold.
func (r *faultRun) addLogged(held map[string]bool) error {
	args := []string{"refusals", "--json"}
	for _, router := range r.fleet.Routers {
		args = append(args, "--logs", router.Log)
	}
	out, err := r.fleet.Command(args...)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	var register struct {
		Items []struct {
			Refusal string `json:"refusal"`
		} `json:"items"`
	}
	if err := json.Unmarshal([]byte(out), &register); err != nil {
		return err
	}
	for _, item := range register.Items {
		held[item.Refusal] = true
	}
	return nil
}

// inLedger returns the refusals that the ledger holds.
func (r *faultRun) inLedger() (map[string]bool, error) {
	out, err := r.fleet.Command("refusals", "--settings", r.fleet.Routers[0].Settings, "--json")
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	var ledger struct {
		Pages []struct {
			Router  string `json:"router"`
			Start   uint64 `json:"start"`
			From    uint64 `json:"from"`
			Through uint64 `json:"through"`
		} `json:"pages"`
	}
	if err := json.Unmarshal([]byte(out), &ledger); err != nil {
		return nil, err
	}
	held := map[string]bool{}
	for _, p := range ledger.Pages {
		for n := p.From; n <= p.Through; n++ {
			held[fmt.Sprintf("%s/%s/%d", p.Router, base36(p.Start), n)] = true
		}
	}
	return held, nil
}

func (r *faultRun) sum(numbers *dtstand.Stats, unaccounted []string) []dtexperiment.Figure {
	j := r.judge
	doubled, vanished, untrue, unknown := 0, 0, 0, 0
	for key, seen := range j.orders {
		runs := numbers.RunCounts[key]
		doubled += max(runs-1, 0)
		if seen.confirmed && runs == 0 {
			vanished++
		}
		if !seen.confirmed && seen.others == 0 && runs > 0 {
			untrue++
		}
		if !seen.confirmed && seen.others > 0 {
			unknown++
		}
	}
	out := []dtexperiment.Figure{
		figure("orders_doubled", float64(doubled)), figure("orders_vanished", float64(vanished)),
		figure("answers_crossed", float64(j.crossed)), figure("answers_cut_as_whole", float64(j.cutWhole)),
		figure("refusals_untrue", float64(untrue)), figure("refusals_unaccounted", float64(len(unaccounted))),
		figure("refusals_not_in_ledger", float64(r.logged)), figure("inflight_cut_by_graceful_stop", float64(j.cutStop)),
		figure("orders_unknown_ratio", float64(unknown)/float64(max(len(j.orders), 1))),
		figure("platform_writes_per_order", float64(numbers.Platform.Writes)/float64(max(len(j.orders), 1))),
		figure("faults_orders", float64(len(j.orders))), figure("faults_chats", float64(j.chats)),
		figure("faults_chats_whole", float64(j.whole)), figure("faults_refused", float64(j.refused)),
		figure("faults_connection_lost", float64(j.failed)),
	}
	for _, name := range []string{"kill", "pause", "stop", "crash_engine", "crash_service", "lost_answers", "outage", "slow_platform", "cut_domain", "silent_links"} {
		out = append(out, figure("fault_"+name, float64(r.counts[name])))
	}
	if j.lastCut != "" {
		fmt.Fprintln(os.Stderr, "cut by a graceful stop:", j.lastCut)
	}
	if len(unaccounted) > 0 {
		fmt.Fprintln(os.Stderr, "unaccounted:", unaccounted[:min(len(unaccounted), 10)])
	}
	return out
}
