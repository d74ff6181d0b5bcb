package dtexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// refusedPrefix starts the outcome of a request that a router of package dtnode refused.
// The reason follows it.
const refusedPrefix = "refused "

// RefusedRequest is one refused request.
type RefusedRequest struct {
	Time    time.Time `json:"time"`
	Router  string    `json:"router"`
	Request string    `json:"request"`
	Account string    `json:"account,omitempty"`
	Reason  string    `json:"reason"`
	Ran     string    `json:"ran"`               // Whether the request ran: "not_run" or "unknown".
	Refusal string    `json:"refusal,omitempty"` // ID in the ledger, if the router keeps one.
}

// RefusalReport lists the refusals found in logs and counts the missing log lines.
type RefusalReport struct {
	Items   []RefusedRequest `json:"items"`
	Dropped int              `json:"lines_dropped"` // Log lines that routers dropped.
}

// CollectRefusals returns the refusals in lines for which keep returns true, ordered by time.
func CollectRefusals(lines []Line, keep func(*RefusedRequest) bool) RefusalReport {
	r := RefusalReport{Items: []RefusedRequest{}}
	for i := range lines {
		if lines[i].Step == "log_dropped" {
			r.Dropped += lines[i].Dropped
			continue
		}
		if item, ok := refusalOf(&lines[i]); ok && keep(&item) {
			r.Items = append(r.Items, item)
		}
	}
	slices.SortStableFunc(r.Items, func(a, b RefusedRequest) int { return a.Time.Compare(b.Time) })
	return r
}

// refusalOf returns the refusal that a line records, if any.
func refusalOf(l *Line) (RefusedRequest, bool) {
	item := RefusedRequest{Time: l.Time, Router: l.Router, Request: l.Request, Account: l.Account}
	switch {
	case l.Step == "refused":
		item.Reason, item.Ran, item.Refusal = l.Reason, l.Ran, l.RefusalID
		return item, true
	case l.Step == "request" && strings.HasPrefix(l.Outcome, refusedPrefix):
		item.Reason, item.Ran = strings.TrimPrefix(l.Outcome, refusedPrefix), ranOf(l.Status)
		return item, true
	}
	return RefusedRequest{}, false
}

// ranOf returns what the status of a refusal implies about whether the request ran.
func ranOf(status int) string {
	const badGateway, gatewayTimeout = 502, 504
	if status == badGateway || status == gatewayTimeout {
		return "unknown"
	}
	return "not_run"
}

// Write prints the refusals, the totals by reason and the number of missing log lines.
func (r *RefusalReport) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "TIME\tACCOUNT\tREASON\tRAN\tROUTER\tREFUSAL\tREQUEST")
	totals := map[string]int{}
	for i := range r.Items {
		item := &r.Items[i]
		totals[item.Reason]++
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			item.Time.UTC().Format(time.RFC3339Nano), item.Account, item.Reason, item.Ran, item.Router, item.Refusal, item.Request)
	}
	reasons := make([]string, 0, len(totals))
	for reason := range totals {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(t, "total %s\t%d\n", reason, totals[reason])
	}
	_, _ = fmt.Fprintf(t, "total\t%d\n", len(r.Items))
	if r.Dropped > 0 {
		_, _ = fmt.Fprintf(t, "log lines dropped by routers\t%d\n", r.Dropped)
	}
	return t.Flush()
}
