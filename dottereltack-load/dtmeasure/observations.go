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

// Observations collects the results that callers received under faults, for comparison
// with the executed orders and the ledger.
type Observations struct {
	mu                    sync.Mutex
	orders                map[string]*orderOutcomes
	refusals              map[string]bool
	chats                 int
	mismatched            int // Answers that do not belong to their request.
	truncated             int // Truncated answers that were marked as complete.
	completedChats        int
	refused               int
	lostConnections       int // Requests without a complete answer or refusal.
	interruptedByStop     int
	lastInterruptedByStop string
}

// orderOutcomes counts the results that callers received for one order key.
type orderOutcomes struct {
	confirmed bool
	notRun    int // Refusals that state that the order did not run.
	unknown   int // Other refusals and lost connections.
}

// recordResult counts the outcome of a request; r.observed must be locked.
func (r *faultRun) recordResult(result *dtcaller.Result, router *dtfleet.Router, sentAt time.Time) {
	o := r.observed
	switch {
	case result.Refusal != nil:
		o.refused++
		o.refusals[result.Refusal.RefusalID] = true
	case !result.Completed:
		o.lostConnections++
		if r.stops.overlaps(router.Name, sentAt, time.Now()) {
			o.interruptedByStop++
			o.lastInterruptedByStop = fmt.Sprintf("%s %s status=%d err=%v tokens=%d begun=%s took=%s", router.Name, result.RequestID, result.Status, result.Err, result.Tokens, sentAt, result.Elapsed)
		}
	}
}

// recordOrderResult records a result of an order and reports whether the order is
// confirmed.
func (r *faultRun) recordOrderResult(key, body string, result *dtcaller.Result, router *dtfleet.Router, sentAt time.Time) bool {
	o := r.observed
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := o.orders[key]
	if outcomes == nil {
		outcomes = &orderOutcomes{}
		o.orders[key] = outcomes
	}
	r.recordResult(result, router, sentAt)
	var answer struct{ Key, Echo string }
	switch {
	case result.Completed:
		outcomes.confirmed = true
		if json.Unmarshal(result.Body, &answer) != nil || answer.Echo != body || answer.Key != key {
			o.mismatched++
		}
	case result.Refusal != nil && result.Refusal.Ran == "not_run":
		outcomes.notRun++
	default:
		outcomes.unknown++
	}
	return outcomes.confirmed
}

// unaccountedRefusals returns the refusals that callers received but that are neither in
// the ledger nor in the routers' logs. It also counts those missing from the ledger.
func (r *faultRun) unaccountedRefusals() ([]string, error) {
	accounted, err := r.ledgerRefusals()
	if err != nil {
		return nil, err
	}
	for id := range r.observed.refusals {
		if !accounted[id] {
			r.notInLedger++
		}
	}
	if err := r.addLoggedRefusals(accounted); err != nil {
		return nil, err
	}
	var missing []string
	for id := range r.observed.refusals {
		if !accounted[id] {
			missing = append(missing, id)
		}
	}
	return missing, nil
}

func (r *faultRun) addLoggedRefusals(accounted map[string]bool) error {
	args := []string{"refusals", "--json"}
	for _, router := range r.fleet.Routers {
		args = append(args, "--logs", router.LogPath)
	}
	out, err := r.fleet.RunCommand(args...)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	var refusals struct {
		Items []struct {
			Refusal string `json:"refusal"`
		} `json:"items"`
	}
	if err := json.Unmarshal([]byte(out), &refusals); err != nil {
		return err
	}
	for _, item := range refusals.Items {
		accounted[item.Refusal] = true
	}
	return nil
}

func (r *faultRun) ledgerRefusals() (map[string]bool, error) {
	out, err := r.fleet.RunCommand("refusals", "--settings", r.fleet.Routers[0].SettingsPath, "--json")
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
	accounted := map[string]bool{}
	for _, p := range ledger.Pages {
		for n := p.From; n <= p.Through; n++ {
			accounted[fmt.Sprintf("%s/%s/%d", p.Router, base36(p.Start), n)] = true
		}
	}
	return accounted, nil
}

// summarize returns the metrics of the run and prints examples of violations to standard
// error.
func (r *faultRun) summarize(counters *dtstand.Stats, unaccounted []string) []dtexperiment.Metric {
	o := r.observed
	duplicated, vanished, falseRefusals, unknown := 0, 0, 0, 0
	for key, outcomes := range o.orders {
		runs := counters.RunCounts[key]
		duplicated += max(runs-1, 0)
		if outcomes.confirmed && runs == 0 {
			vanished++
		}
		if !outcomes.confirmed && outcomes.unknown == 0 && runs > 0 {
			falseRefusals++
		}
		if !outcomes.confirmed && outcomes.unknown > 0 {
			unknown++
		}
	}
	out := []dtexperiment.Metric{
		newMetric("orders_doubled", float64(duplicated)), newMetric("orders_vanished", float64(vanished)),
		newMetric("answers_crossed", float64(o.mismatched)), newMetric("answers_cut_as_whole", float64(o.truncated)),
		newMetric("refusals_untrue", float64(falseRefusals)), newMetric("refusals_unaccounted", float64(len(unaccounted))),
		newMetric("refusals_not_in_ledger", float64(r.notInLedger)), newMetric("inflight_cut_by_graceful_stop", float64(o.interruptedByStop)),
		newMetric("orders_unknown_ratio", float64(unknown)/float64(max(len(o.orders), 1))),
		newMetric("platform_writes_per_order", float64(counters.Platform.Writes)/float64(max(len(o.orders), 1))),
		newMetric("faults_orders", float64(len(o.orders))), newMetric("faults_chats", float64(o.chats)),
		newMetric("faults_chats_whole", float64(o.completedChats)), newMetric("faults_refused", float64(o.refused)),
		newMetric("faults_connection_lost", float64(o.lostConnections)),
	}
	for _, name := range []string{"kill", "pause", "stop", "crash_engine", "crash_service", "lost_answers", "outage", "slow_platform", "cut_domain", "silent_links"} {
		out = append(out, newMetric("fault_"+name, float64(r.faultCounts[name])))
	}
	if o.lastInterruptedByStop != "" {
		fmt.Fprintln(os.Stderr, "interrupted by a graceful stop:", o.lastInterruptedByStop)
	}
	if len(unaccounted) > 0 {
		fmt.Fprintln(os.Stderr, "unaccounted:", unaccounted[:min(len(unaccounted), 10)])
	}
	return out
}
