package dtcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dtexplain"
	"github.com/dottereltack/dottereltack/dottereltack/dtoperator"
)

// incarnation is one run of a router, identified by its start time in Unix milliseconds.
type incarnation struct {
	Router dtstate.RouterID
	Start  uint64
}

// gap is a range of refusal numbers that no record covers.
type gap struct {
	Router  dtstate.RouterID `json:"router"`
	Start   uint64           `json:"start"`
	From    uint64           `json:"from"`
	Through uint64           `json:"through"`
}

// refusalReport lists the recorded refusals and the gaps in their numbering.
type refusalReport struct {
	Items     []dtstate.Refusal    `json:"items"`
	Counts    []routerRefusalCount `json:"counts"`
	Gaps      []gap                `json:"gaps"`
	Unreached []string             `json:"routers_not_reached"`
	Total     uint64               `json:"total"`
	Pages     []pageSpan           `json:"pages"`
	filter    func(r refusalFields) bool
}

// pageSpan is the range of refusal numbers that a page of one incarnation covers.
type pageSpan struct {
	Router  dtstate.RouterID `json:"router"`
	Start   uint64           `json:"start"`
	From    uint64           `json:"from"`
	Through uint64           `json:"through"`
}

// routerRefusalCount is a refusal count with the router that reported it.
type routerRefusalCount struct {
	Router dtstate.RouterID `json:"router"`
	dtstate.RefusalCount
}

// refusalFields are the fields of a refusal that a filter examines.
type refusalFields struct {
	router  dtstate.RouterID
	account dtstate.ClientAccount
	reason  dtstate.Reason
	lastMs  uint64
}

func refusalsCommand(w io.Writer) *cli.Command {
	return &cli.Command{
		Name: "refusals", Usage: "list refused requests and gaps in their record",
		Flags: append(sourceFlags(),
			&cli.StringFlag{Name: "account"}, &cli.StringFlag{Name: "reason"}, &cli.StringFlag{Name: "router"},
			&cli.DurationFlag{Name: "since", Value: 24 * time.Hour, Usage: "age of the oldest refusals to list"},
			&cli.BoolFlag{Name: "json"},
		),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.IsSet("logs") {
				return printRefusalsFromLogs(w, cmd, time.Now())
			}
			f, err := newFleetClient(cmd)
			if err != nil {
				return err
			}
			report, err := f.collectRefusals(refusalFilter(cmd, time.Now()))
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return json.NewEncoder(w).Encode(report)
			}
			return report.print(w)
		},
	}
}

func printRefusalsFromLogs(w io.Writer, cmd *cli.Command, now time.Time) error {
	lines, err := readLogs(cmd.StringSlice("logs"))
	if err != nil {
		return err
	}
	since := now.Add(-cmd.Duration("since"))
	account, reason, router := cmd.String("account"), cmd.String("reason"), cmd.String("router")
	report := dtexplain.CollectRefusals(lines, func(r *dtexplain.RefusedRequest) bool {
		return !r.Time.Before(since) && (account == "" || account == r.Account) &&
			(reason == "" || reason == r.Reason) && (router == "" || router == r.Router)
	})
	if cmd.Bool("json") {
		return json.NewEncoder(w).Encode(&report)
	}
	return report.Write(w)
}

func refusalFilter(cmd *cli.Command, now time.Time) func(refusalFields) bool {
	since := uint64(now.Add(-cmd.Duration("since")).UnixMilli())
	account, reason, router := cmd.String("account"), cmd.String("reason"), cmd.String("router")
	return func(r refusalFields) bool {
		return r.lastMs >= since && (account == "" || account == string(r.account)) &&
			(reason == "" || reason == r.reason.String()) && (router == "" || router == string(r.router))
	}
}

// collectRefusals merges the refusals that the platform stores with those that are pending
// at routers.
func (f *fleetClient) collectRefusals(filter func(refusalFields) bool) (*refusalReport, error) {
	pages := map[incarnation][]dtstate.RefusalPage{}
	highest := map[incarnation]uint64{}
	list, listErr := f.store.List("refusals/")
	for _, kv := range list {
		if err := addStoredPages(pages, &kv); err != nil {
			return nil, err
		}
	}
	pending, unreached, err := f.pendingRefusals()
	if err != nil && listErr != nil {
		return nil, listErr
	}
	for _, p := range pending {
		addPendingPages(pages, highest, &p)
	}
	report := &refusalReport{Unreached: unreached, filter: filter}
	if listErr != nil {
		report.Unreached = append(report.Unreached, "platform")
	}
	for _, inc := range sortedIncarnations(pages, highest) {
		report.addIncarnation(inc, pages[inc], highest[inc])
	}
	return report, nil
}

func addStoredPages(pages map[incarnation][]dtstate.RefusalPage, kv *dtapi.KeyValue) error {
	var v dtstate.PlatformValue
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		return err
	}
	if v.Refusals == nil {
		return nil
	}
	for _, p := range v.Refusals.Pages {
		inc := incarnation{p.Router, p.Start}
		pages[inc] = append(pages[inc], p)
	}
	return nil
}

func addPendingPages(pages map[incarnation][]dtstate.RefusalPage, highest map[incarnation]uint64, p *dtoperator.PendingRefusals) {
	highest[incarnation{dtstate.RouterID(p.Router), p.Start}] = p.LastNumber
	for _, position := range p.PeerPositions {
		inc := incarnation{dtstate.RouterID(position.Router), position.Start}
		highest[inc] = max(highest[inc], position.LastNumber)
	}
	for _, page := range p.Pages {
		inc := incarnation{page.Router, page.Start}
		pages[inc] = append(pages[inc], page)
	}
}

func sortedIncarnations(pages map[incarnation][]dtstate.RefusalPage, highest map[incarnation]uint64) []incarnation {
	seen := map[incarnation]bool{}
	var out []incarnation
	add := func(inc incarnation) {
		if !seen[inc] {
			seen[inc] = true
			out = append(out, inc)
		}
	}
	for inc := range pages {
		add(inc)
	}
	for inc := range highest {
		add(inc)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Router != out[j].Router {
			return out[i].Router < out[j].Router
		}
		return out[i].Start < out[j].Start
	})
	return out
}

// addIncarnation adds the refusals of one incarnation. Each number counts once, even if
// several pages cover it; numbers up to highest that no page covers are reported as gaps.
func (report *refusalReport) addIncarnation(inc incarnation, pages []dtstate.RefusalPage, highest uint64) {
	sort.Slice(pages, func(i, j int) bool {
		if pages[i].From != pages[j].From {
			return pages[i].From < pages[j].From
		}
		return pages[i].Through > pages[j].Through
	})
	next := uint64(1)
	for i := range pages {
		p := &pages[i]
		if p.From < next {
			continue
		}
		if p.From > next {
			report.Gaps = append(report.Gaps, gap{inc.Router, inc.Start, next, p.From - 1})
		}
		next = p.Through + 1
		report.Pages = append(report.Pages, pageSpan{inc.Router, inc.Start, p.From, p.Through})
		report.addPage(p)
	}
	if highest >= next {
		report.Gaps = append(report.Gaps, gap{inc.Router, inc.Start, next, highest})
	}
}

// addPage adds the refusals of a page that pass the filter.
func (report *refusalReport) addPage(p *dtstate.RefusalPage) {
	for _, r := range p.Items {
		if report.filter(refusalFields{r.Router, r.Account, r.Reason, r.AtMs}) {
			report.Items = append(report.Items, r)
			report.Total++
		}
	}
	for _, c := range p.Counts {
		if report.filter(refusalFields{p.Router, c.Account, c.Reason, c.LastMs}) {
			report.Counts = append(report.Counts, routerRefusalCount{p.Router, c})
			report.Total += c.Count
		}
	}
}

func (report *refusalReport) print(w io.Writer) error {
	sort.Slice(report.Items, func(i, j int) bool { return report.Items[i].AtMs < report.Items[j].AtMs })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "TIME\tACCOUNT\tREASON\tRAN\tROUTER\tREFUSAL\tREQUEST")
	for _, r := range report.Items {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", formatUnixMs(r.AtMs), r.Account, r.Reason, r.Ran, r.Router, r.ID(), r.Request)
	}
	for _, c := range report.Counts {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d times until %s\t\n", formatUnixMs(c.FirstMs), c.Account, c.Reason, c.Ran, c.Router, c.Count, formatUnixMs(c.LastMs))
	}
	for _, g := range report.Gaps {
		_, _ = fmt.Fprintf(t, "not accounted for\t\t\t\t%s\t%d to %d\t\n", g.Router, g.From, g.Through)
	}
	for _, s := range report.Unreached {
		_, _ = fmt.Fprintf(t, "not reached\t\t\t\t%s\t\t\n", s)
	}
	_, _ = fmt.Fprintf(t, "total\t%d\n", report.Total)
	return t.Flush()
}
