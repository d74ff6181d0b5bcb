package dtcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Errors of an apply.
var (
	errRaced   = errors.New("another configuration was accepted first")
	errUnclear = errors.New("the platform gave no answer; it is unknown whether the configuration was accepted")
	errOlder   = errors.New("the configuration in force has changed since the version given with --on")
)

func configCommand(w io.Writer) *cli.Command {
	base := &cli.StringFlag{Name: "base", Required: true, Usage: "base configuration"}
	overlays := &cli.StringSliceFlag{Name: "overlay", Usage: "overlay of a site, named after it"}
	return &cli.Command{
		Name:  "config",
		Usage: "check, show, compare and apply the configuration",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a base and its overlays", Flags: []cli.Flag{base, overlays},
				Action: func(_ context.Context, cmd *cli.Command) error { return checkConfig(w, cmd) },
			},
			{
				Name: "show", Usage: "print the configuration in force, merged for a site",
				Flags:  []cli.Flag{settingsFlag(), &cli.StringFlag{Name: "site"}},
				Action: func(_ context.Context, cmd *cli.Command) error { return showConfig(w, cmd) },
			},
			{
				Name: "diff", Usage: "compare files with the configuration in force", Flags: []cli.Flag{settingsFlag(), base, overlays},
				Action: func(_ context.Context, cmd *cli.Command) error { return diffConfig(w, cmd) },
			},
			{
				Name: "history", Usage: "accepted configurations with version, operator and time", Flags: []cli.Flag{settingsFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error { return printHistory(w, cmd) },
			},
			{
				Name: "apply", Usage: "check files and put them in force",
				Flags: []cli.Flag{
					settingsFlag(), base, overlays, &cli.StringFlag{Name: "by", Value: "operator"},
					&cli.Uint64Flag{Name: "on", Usage: "fail unless this version is in force"},
				},
				Action: func(_ context.Context, cmd *cli.Command) error { return applyConfig(w, cmd) },
			},
		},
	}
}

// readRecord reads and checks a base and its overlays.
func readRecord(cmd *cli.Command) (*dtstate.ConfigRecord, error) {
	text, err := os.ReadFile(cmd.String("base"))
	if err != nil {
		return nil, err
	}
	base := dtconfig.Source{File: cmd.String("base"), Text: text}
	if _, err := dtconfig.ParseSite(base, dtconfig.Source{}); err != nil {
		return nil, err
	}
	r := &dtstate.ConfigRecord{Base: text}
	for _, path := range cmd.StringSlice("overlay") {
		overlay, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		if _, err := dtconfig.ParseSite(base, dtconfig.Source{File: path, Text: overlay}); err != nil {
			return nil, err
		}
		r.Overlays = append(r.Overlays, dtstate.Overlay{Site: siteOf(path), Text: overlay})
	}
	return r, nil
}

// siteOf returns the site that an overlay's file is named after.
func siteOf(path string) string {
	name := filepath.Base(path)
	return strings.TrimSuffix(name, filepath.Ext(name))
}

func checkConfig(w io.Writer, cmd *cli.Command) error {
	r, err := readRecord(cmd)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "ok overlays=%d\n", len(r.Overlays))
	return err
}

// current reads the configuration that the platform holds.
func (f *fleetClient) current() (dtstate.PlatformAnswered, error) {
	return f.store.Call(dtstate.PlatformCall{Op: dtstate.PlatformGet, Key: dtstate.ConfigKey})
}

// merged returns the configuration of a site, in order and indented.
func merged(r *dtstate.ConfigRecord, site string) ([]byte, error) {
	overlay := dtconfig.Source{File: site, Text: r.OverlayOf(site)}
	parsed, err := dtconfig.ParseSite(dtconfig.Source{File: "base", Text: r.Base}, overlay)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(parsed, "", "  ")
}

func showConfig(w io.Writer, cmd *cli.Command) error {
	f, err := newFleetClient(cmd)
	if err != nil {
		return err
	}
	got, err := f.current()
	if err != nil {
		return err
	}
	if got.Value.Config == nil {
		_, err = fmt.Fprintln(w, "no configuration")
		return err
	}
	site := cmd.String("site")
	if site == "" {
		site = f.host.Site
	}
	text, err := merged(got.Value.Config, site)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "// version %d by %s at %s\n%s\n", got.Value.Config.Version, got.Value.Config.By, wall(got.Value.Config.AtMs), text)
	return err
}

// wall returns Unix milliseconds as text.
func wall(ms uint64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

// candidate reads the files that a command names and what the platform holds.
func candidate(cmd *cli.Command) (f *fleetClient, next *dtstate.ConfigRecord, got dtstate.PlatformAnswered, err error) {
	if f, err = newFleetClient(cmd); err != nil {
		return nil, nil, got, err
	}
	if next, err = readRecord(cmd); err != nil {
		return nil, nil, got, err
	}
	got, err = f.current()
	return f, next, got, err
}

func diffConfig(w io.Writer, cmd *cli.Command) error {
	_, next, got, err := candidate(cmd)
	if err != nil {
		return err
	}
	return writeDiff(w, got.Value.Config, next)
}

// writeDiff prints, site by site, the lines that differ between two records.
func writeDiff(w io.Writer, old, next *dtstate.ConfigRecord) error {
	sites := map[string]bool{"": true}
	for _, r := range []*dtstate.ConfigRecord{old, next} {
		if r == nil {
			continue
		}
		for _, o := range r.Overlays {
			sites[o.Site] = true
		}
	}
	for _, site := range dtconfig.Names(sites) {
		var before []byte
		if old != nil {
			text, err := merged(old, site)
			if err != nil {
				return err
			}
			before = text
		}
		after, err := merged(next, site)
		if err != nil {
			return err
		}
		printDiff(w, site, before, after)
	}
	return nil
}

// printDiff prints lines that only one of two sorted texts has, with their place.
func printDiff(w io.Writer, site string, before, after []byte) {
	a, b := paths(before), paths(after)
	all := map[string]bool{}
	for p := range a {
		all[p] = true
	}
	for p := range b {
		all[p] = true
	}
	for _, p := range dtconfig.Names(all) {
		switch {
		case a[p] == b[p]:
		case a[p] == "":
			_, _ = fmt.Fprintf(w, "site=%q + %s = %s\n", site, p, b[p])
		case b[p] == "":
			_, _ = fmt.Fprintf(w, "site=%q - %s = %s\n", site, p, a[p])
		default:
			_, _ = fmt.Fprintf(w, "site=%q ~ %s = %s (was %s)\n", site, p, b[p], a[p])
		}
	}
}

// paths returns each leaf of a JSON text under its path.
func paths(text []byte) map[string]string {
	out := map[string]string{}
	var v any
	if len(bytes.TrimSpace(text)) > 0 && json.Unmarshal(text, &v) == nil {
		walk("", v, out)
	}
	return out
}

func walk(at string, v any, out map[string]string) {
	m, ok := v.(map[string]any)
	if !ok {
		leaf, _ := json.Marshal(v)
		out[at] = string(leaf)
		return
	}
	for name, child := range m {
		walk(strings.TrimPrefix(at+"."+name, "."), child, out)
	}
}

// applyConfig puts files in force by compare-and-swap and says truthfully what came of it.
func applyConfig(w io.Writer, cmd *cli.Command) error {
	f, next, got, err := candidate(cmd)
	if err != nil {
		return err
	}
	known := f.newestKnown()
	if old := got.Value.Config; old != nil {
		known = max(known, old.Version)
		next.Switches = old.Switches
	}
	if on := cmd.Uint64("on"); on != 0 && on != known {
		return fmt.Errorf("%w: now %d", errOlder, known)
	}
	next.Version = known + 1
	next.By = cmd.String("by")
	next.AtMs = uint64(time.Now().UnixMilli())
	return f.write(w, got, next)
}

// newestKnown returns the newest version that the router of the settings knows of, so
// that a store that came back with an old copy is not built upon.
func (f *fleetClient) newestKnown() uint64 {
	st, err := f.status()
	if err != nil {
		return 0
	}
	return max(st.Known, st.Version)
}

// write writes a record over the one that was read; a lost answer is resolved by
// reading back.
func (f *fleetClient) write(w io.Writer, got dtstate.PlatformAnswered, next *dtstate.ConfigRecord) error {
	answer, err := f.store.Call(dtstate.PlatformCall{
		Op: dtstate.PlatformPut, Key: dtstate.ConfigKey, Rev: got.Rev, Value: dtstate.PlatformValue{Config: next},
	})
	const attempts = 5
	for i := 0; answer.Status == dtstate.PlatformOutcomeUnknown && i < attempts; i++ {
		time.Sleep(time.Duration(i+1) * 200 * time.Millisecond)
		answer, err = f.current()
		if answer.Status == dtstate.PlatformOK && !sameRecord(answer.Value.Config, next) {
			answer.Status = dtstate.PlatformConflict
		}
	}
	switch answer.Status {
	case dtstate.PlatformOK:
		f.remember(next)
		_, err = fmt.Fprintf(w, "accepted version=%d\n", next.Version)
		return err
	case dtstate.PlatformConflict:
		if answer.Value.Config != nil {
			_, _ = fmt.Fprintf(w, "now in the platform: version=%d by=%s at=%s\n", answer.Value.Config.Version, answer.Value.Config.By, wall(answer.Value.Config.AtMs))
			_ = writeDiff(w, got.Value.Config, answer.Value.Config)
		}
		return errRaced
	case dtstate.PlatformOutcomeUnknown:
	}
	return fmt.Errorf("%w: %w", errUnclear, err)
}

// historyPrefix is where accepted configurations are kept, each under its version.
const historyPrefix = "config/history/"

// remember keeps an accepted record for config history; that it can't be kept changes
// nothing of its being accepted.
func (f *fleetClient) remember(r *dtstate.ConfigRecord) {
	const decimal, keptFor = 10, 90 * 24 * time.Hour
	key := historyPrefix + strconv.FormatUint(r.Version, decimal)
	_, _ = f.store.Call(dtstate.PlatformCall{Op: dtstate.PlatformPut, Key: key, TTL: keptFor, Value: dtstate.PlatformValue{Config: r}})
}

// printHistory prints the accepted configurations, oldest first.
func printHistory(w io.Writer, cmd *cli.Command) error {
	f, err := newFleetClient(cmd)
	if err != nil {
		return err
	}
	list, err := f.store.List(historyPrefix)
	if err != nil {
		return err
	}
	var records []dtstate.ConfigRecord
	for _, kv := range list {
		var v dtstate.PlatformValue
		if err := json.Unmarshal(kv.Value, &v); err != nil {
			return err
		}
		if v.Config != nil {
			records = append(records, *v.Config)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Version < records[j].Version })
	for i := range records {
		r := &records[i]
		if _, err := fmt.Fprintf(w, "version=%d by=%s at=%s overlays=%d\n", r.Version, r.By, wall(r.AtMs), len(r.Overlays)); err != nil {
			return err
		}
	}
	return nil
}

// sameRecord says whether the platform holds the record that this process wrote.
func sameRecord(held, mine *dtstate.ConfigRecord) bool {
	return held != nil && held.Version == mine.Version && held.AtMs == mine.AtMs && held.By == mine.By && bytes.Equal(held.Base, mine.Base)
}
