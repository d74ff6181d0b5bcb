package dtcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/dottereltack/dttimeline"
)

func timelineCommand(w io.Writer) *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all routers in one timeline",
		Flags: append(sourceFlags(),
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "peer", Usage: "only events with this router, server or failure domain"},
			&cli.StringFlag{Name: "step", Usage: "only events of this step"},
			&cli.DurationFlag{Name: "since", Value: 10 * time.Minute},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or html"},
			&cli.StringFlag{Name: "out", Usage: "output file (default: standard output)"},
		),
		Action: func(_ context.Context, cmd *cli.Command) error { return runTimeline(w, cmd) },
	}
}

func runTimeline(w io.Writer, cmd *cli.Command) error {
	events, unreached, err := loadEvents(cmd, time.Now().Add(-cmd.Duration("since")))
	if err != nil {
		return err
	}
	events = filterEvents(events, cmd.String("request"), cmd.String("peer"), cmd.String("step"))
	if path := cmd.String("out"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		w = file
	}
	switch cmd.String("format") {
	case "json":
		return json.NewEncoder(w).Encode(events)
	case "html":
		return writeHTML(w, events, unreached)
	}
	return writeText(w, events, unreached)
}

// loadEvents returns the events of a running fleet or of log files, and the routers that
// could not be reached.
func loadEvents(cmd *cli.Command, since time.Time) ([]dttimeline.Event, []string, error) {
	if !cmd.IsSet("logs") {
		f, err := newFleetClient(cmd)
		if err != nil {
			return nil, nil, err
		}
		return f.events(dttimeline.FromWallTime(since))
	}
	lines, err := readLogs(cmd.StringSlice("logs"))
	if err != nil {
		return nil, nil, err
	}
	var events []dttimeline.Event
	for i := range lines {
		l := &lines[i]
		if l.Time.Before(since) {
			continue
		}
		events = append(events, dttimeline.Event{
			Time: dttimeline.FromWallTime(l.Time), Router: l.Router, Step: l.Step, Peer: l.Peer, Request: l.Request,
			Detail: strings.TrimSpace(l.Outcome + " " + l.Detail),
		})
	}
	return events, nil, nil
}

// filterEvents returns the events that match all non-empty values, ordered by time. It
// reuses the array of events.
func filterEvents(events []dttimeline.Event, request, peer, step string) []dttimeline.Event {
	kept := events[:0]
	for _, e := range events {
		if (request == "" || e.Request == request) && (step == "" || e.Step == step) &&
			(peer == "" || e.Peer == peer || e.Router == peer) {
			kept = append(kept, e)
		}
	}
	sort.SliceStable(kept, func(i, j int) bool {
		if kept[i].Time != kept[j].Time {
			return kept[i].Time < kept[j].Time
		}
		return kept[i].Router < kept[j].Router
	})
	return kept
}

func writeText(w io.Writer, events []dttimeline.Event, unreached []string) error {
	for _, e := range events {
		at := dttimeline.WallTime(e.Time).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s router=%s step=%s peer=%s request=%s detail=%q\n", at, e.Router, e.Step, e.Peer, e.Request, e.Detail); err != nil {
			return err
		}
	}
	if len(unreached) > 0 {
		_, err := fmt.Fprintf(w, "not reached: %s\n", strings.Join(unreached, " "))
		return err
	}
	return nil
}

// row is one event in the HTML table, with the column of its router.
type row struct {
	At string
	dttimeline.Event
	Column int
}

// page is the data of the HTML template.
type page struct {
	Routers []string
	Rows    []row
	Missed  []string
}

func writeHTML(w io.Writer, events []dttimeline.Event, unreached []string) error {
	seen := map[string]bool{}
	p := page{Missed: unreached}
	for _, e := range events {
		if !seen[e.Router] {
			seen[e.Router] = true
			p.Routers = append(p.Routers, e.Router)
		}
	}
	sort.Strings(p.Routers)
	column := map[string]int{}
	for i, r := range p.Routers {
		column[r] = i
	}
	for _, e := range events {
		at := dttimeline.WallTime(e.Time).UTC().Format("15:04:05.000")
		p.Rows = append(p.Rows, row{At: at, Event: e, Column: column[e.Router]})
	}
	return pageTemplate.Execute(w, p)
}

//nolint:gochecknoglobals // A parsed template is constant, but can't be declared as one.
var pageTemplate = template.Must(template.New("timeline").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>dottereltack timeline</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:1.5rem;color:#1b1f24;background:#fff}
h1{font-size:1.2rem}
table{border-collapse:collapse;width:100%}
th,td{border-bottom:1px solid #e3e6ea;padding:.25rem .5rem;text-align:left;vertical-align:top}
th{position:sticky;top:0;background:#f6f8fa}
td.t{white-space:nowrap;font-variant-numeric:tabular-nums;color:#57606a}
.e{background:#eef4ff;border-left:3px solid #3b6fd4;padding:.1rem .4rem;border-radius:2px}
.e.refused,.e.server_died,.e.link_lost,.e.blamed,.e.cut{background:#fff0ee;border-color:#c4432b}
small{color:#57606a;display:block;overflow-wrap:anywhere}
input{padding:.3rem;width:20rem;margin-bottom:1rem}
</style></head><body>
<h1>Timeline: {{len .Rows}} events of {{len .Routers}} routers</h1>
{{if .Missed}}<p>Not reached: {{range .Missed}}{{.}} {{end}}</p>{{end}}
<input id="f" placeholder="show only rows with this text" aria-label="filter">
<table><thead><tr><th>time (UTC)</th>{{range .Routers}}<th>{{.}}</th>{{end}}</tr></thead><tbody>
{{$routers := .Routers}}{{range .Rows}}{{$r := .}}<tr><td class="t">{{.At}}</td>{{range $i, $name := $routers}}<td>{{if eq $i $r.Column}}<div class="e {{$r.Step}}"><b>{{$r.Step}}</b> {{$r.Peer}}<small>{{$r.Request}} {{$r.Detail}}</small></div>{{end}}</td>{{end}}</tr>
{{end}}</tbody></table>
<script>document.getElementById("f").addEventListener("input",function(){var v=this.value;document.querySelectorAll("tbody tr").forEach(function(r){r.hidden=v&&r.textContent.indexOf(v)<0})})</script>
</body></html>
`))
