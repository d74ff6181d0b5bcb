package dtexperiment

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
)

// Figure is one measured number; Policy is empty where there is only one.
type Figure struct {
	Name   string  `json:"name"`
	Policy string  `json:"policy,omitempty"`
	Value  float64 `json:"value"`
}

// String returns the figure as name=value or name.policy=value.
func (f Figure) String() string {
	if f.Policy == "" {
		return fmt.Sprintf("%s=%.4g", f.Name, f.Value)
	}
	return fmt.Sprintf("%s.%s=%.4g", f.Name, f.Policy, f.Value)
}

// Print writes figures, one a line.
func Print(w io.Writer, figures []Figure) {
	for _, f := range figures {
		_, _ = fmt.Fprintln(w, f)
	}
}

// Policies are the placement policies that are compared, ours first.
func Policies() []string {
	return []string{dtconfig.PolicyAffinityBounded, dtconfig.PolicyRendezvous, dtconfig.PolicyLeastLoaded, dtconfig.PolicyRandom}
}

// quantile returns the value that the part q of the values does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	at := int(q * float64(len(sorted)))
	return sorted[min(at, len(sorted)-1)]
}

// firstBytes returns the waits for the first byte of completed calls in seconds.
func firstBytes(calls []*dtmodel.Call, from, to time.Time, pick func(c *dtmodel.Call) bool) []float64 {
	var out []float64
	for _, c := range calls {
		if c.Sent.Before(from) || !c.Sent.Before(to) || !pick(c) || c.FirstAt.IsZero() {
			continue
		}
		out = append(out, c.FirstAt.Sub(c.Sent).Seconds())
	}
	return out
}

// reasons counts the refusals of calls sent in a span by their reason.
func reasons(name, policy string, calls []*dtmodel.Call, from, to time.Time) []Figure {
	counts := map[string]float64{}
	for _, c := range calls {
		if c.Refusal != nil && !c.Sent.Before(from) && c.Sent.Before(to) {
			counts[c.Refusal.Reason.String()]++
		}
	}
	var out []Figure
	for _, reason := range dtconfig.SortedKeys(counts) {
		out = append(out, Figure{name + "_refused_" + reason, policy, counts[reason]})
	}
	return out
}

// ends counts how calls sent in a span ended.
func ends(calls []*dtmodel.Call, from, to time.Time) (completed, refused, open int) {
	for _, c := range calls {
		switch {
		case c.Sent.Before(from) || !c.Sent.Before(to):
		case c.Completed:
			completed++
		case c.Refusal != nil:
			refused++
		default:
			open++
		}
	}
	return completed, refused, open
}
