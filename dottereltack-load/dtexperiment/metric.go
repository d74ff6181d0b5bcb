package dtexperiment

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
)

// Metric is one measured value; Policy is the placement policy or site it was measured
// for, or empty.
type Metric struct {
	Name   string  `json:"name"`
	Policy string  `json:"policy,omitempty"`
	Value  float64 `json:"value"`
}

// String returns the metric as name=value or name.policy=value.
func (m Metric) String() string {
	if m.Policy == "" {
		return fmt.Sprintf("%s=%.4g", m.Name, m.Value)
	}
	return fmt.Sprintf("%s.%s=%.4g", m.Name, m.Policy, m.Value)
}

// WriteMetrics writes one metric per line.
func WriteMetrics(w io.Writer, metrics []Metric) {
	for _, m := range metrics {
		_, _ = fmt.Fprintln(w, m)
	}
}

// Policies returns the placement policies to compare, the product's own first.
func Policies() []string {
	return []string{dtconfig.PolicyAffinityBounded, dtconfig.PolicyRendezvous, dtconfig.PolicyLeastLoaded, dtconfig.PolicyRandom}
}

// quantile returns the q-quantile of the values, 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	index := int(q * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}

// firstByteWaits returns the seconds until the first byte of the included calls that
// were sent in [from, to) and got one.
func firstByteWaits(calls []*dtmodel.Call, from, to time.Time, include func(c *dtmodel.Call) bool) []float64 {
	var out []float64
	for _, c := range calls {
		if c.SentAt.Before(from) || !c.SentAt.Before(to) || !include(c) || c.FirstByteAt.IsZero() {
			continue
		}
		out = append(out, c.FirstByteAt.Sub(c.SentAt).Seconds())
	}
	return out
}

// refusalsByReason returns a metric for each reason, with the number of calls sent in
// [from, to) that were refused for it.
func refusalsByReason(name, policy string, calls []*dtmodel.Call, from, to time.Time) []Metric {
	counts := map[string]float64{}
	for _, c := range calls {
		if c.Refusal != nil && !c.SentAt.Before(from) && c.SentAt.Before(to) {
			counts[c.Refusal.Reason.String()]++
		}
	}
	var out []Metric
	for _, reason := range dtconfig.SortedKeys(counts) {
		out = append(out, Metric{name + "_refused_" + reason, policy, counts[reason]})
	}
	return out
}

// countOutcomes counts the outcomes of the calls that were sent in [from, to).
func countOutcomes(calls []*dtmodel.Call, from, to time.Time) (completed, refused, unanswered int) {
	for _, c := range calls {
		switch {
		case c.SentAt.Before(from) || !c.SentAt.Before(to):
		case c.Completed:
			completed++
		case c.Refusal != nil:
			refused++
		default:
			unanswered++
		}
	}
	return completed, refused, unanswered
}
