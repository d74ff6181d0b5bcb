package dtexperiment

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
)

// Metric is a measured value; Policy is the placement policy or the site it belongs to,
// or empty.
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

// firstByteWaits returns the seconds to the first byte of the included requests that were
// sent in [from, to) and received one.
func firstByteWaits(requests []*dtmodel.Request, from, to time.Time, include func(request *dtmodel.Request) bool) []float64 {
	var out []float64
	for _, request := range requests {
		if request.SentAt.Before(from) || !request.SentAt.Before(to) || !include(request) || request.FirstByteAt.IsZero() {
			continue
		}
		out = append(out, request.FirstByteAt.Sub(request.SentAt).Seconds())
	}
	return out
}

// refusalsByReason returns a metric for each reason: the number of requests sent in
// [from, to) that were refused for it.
func refusalsByReason(name, policy string, requests []*dtmodel.Request, from, to time.Time) []Metric {
	counts := map[string]float64{}
	for _, request := range requests {
		if request.Refusal != nil && !request.SentAt.Before(from) && request.SentAt.Before(to) {
			counts[request.Refusal.Reason.String()]++
		}
	}
	var out []Metric
	for _, reason := range dtconfig.SortedKeys(counts) {
		out = append(out, Metric{name + "_refused_" + reason, policy, counts[reason]})
	}
	return out
}

// countOutcomes counts the outcomes of the requests sent in [from, to).
func countOutcomes(requests []*dtmodel.Request, from, to time.Time) (completed, refused, unanswered int) {
	for _, request := range requests {
		switch {
		case request.SentAt.Before(from) || !request.SentAt.Before(to):
		case request.Completed:
			completed++
		case request.Refusal != nil:
			refused++
		default:
			unanswered++
		}
	}
	return completed, refused, unanswered
}
