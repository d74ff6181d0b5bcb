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

// Errors of "config apply".
var (
	errConflict       = errors.New("another configuration was accepted first")
	errOutcomeUnknown = errors.New("no response from the platform; it is unknown whether the configuration was accepted")
	errVersionChanged = errors.New("the configuration in force has changed since the version given with --on")
)

func configCommand(w io.Writer) *cli.Command {
	base := &cli.StringFlag{Name: "base", Required: true, Usage: "base configuration"}
	overlays := &cli.StringSliceFlag{Name: "overlay", Usage: "overlay file, named after its site"}
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
				Name: "history", Usage: "list accepted configurations with version, operator and time", Flags: []cli.Flag{settingsFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error { return printHistory(w, cmd) },
			},
			{
				Name: "apply", Usage: "check files and put them in force in the fleet",
				Flags: []cli.Flag{
					settingsFlag(), base, overlays, &cli.StringFlag{Name: "by", Value: "operator"},
					&cli.Uint64Flag{Name: "on", Usage: "fail unless this version is in force"},
				},
				Action: func(_ context.Context, cmd *cli.Command) error { return applyConfig(w, cmd) },
			},
		},
	}
}

// readConfigRecord reads and validates a base configuration and its overlays.
func readConfigRecord(cmd *cli.Command) (*dtstate.ConfigRecord, error) {
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
		r.Overlays = append(r.Overlays, dtstate.Overlay{Site: siteName(path), Text: overlay})
	}
	return r, nil
}

// siteName returns the name of the site whose overlay is at path.
func siteName(path string) string {
	name := filepath.Base(path)
	return strings.TrimSuffix(name, filepath.Ext(name))
}

func checkConfig(w io.Writer, cmd *cli.Command) error {
	r, err := readConfigRecord(cmd)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "ok overlays=%d\n", len(r.Overlays))
	return err
}

func (f *fleetClient) currentConfig() (dtstate.PlatformCallCompleted, error) {
	return f.store.Call(dtstate.PlatformCall{Op: dtstate.PlatformGet, Key: dtstate.ConfigKey})
}

// mergedConfig returns the merged configuration of a site as indented JSON with sorted keys.
func mergedConfig(r *dtstate.ConfigRecord, site string) ([]byte, error) {
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
	current, err := f.currentConfig()
	if err != nil {
		return err
	}
	if current.Value.Config == nil {
		_, err = fmt.Fprintln(w, "no configuration")
		return err
	}
	site := cmd.String("site")
	if site == "" {
		site = f.host.Site
	}
	text, err := mergedConfig(current.Value.Config, site)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "// version %d by %s at %s\n%s\n", current.Value.Config.Version, current.Value.Config.By, formatUnixMs(current.Value.Config.AtMs), text)
	return err
}

func formatUnixMs(ms uint64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

// loadCandidate reads the configuration record to apply from files and the current one from
// the platform.
func loadCandidate(cmd *cli.Command) (f *fleetClient, next *dtstate.ConfigRecord, current dtstate.PlatformCallCompleted, err error) {
	if f, err = newFleetClient(cmd); err != nil {
		return nil, nil, current, err
	}
	if next, err = readConfigRecord(cmd); err != nil {
		return nil, nil, current, err
	}
	current, err = f.currentConfig()
	return f, next, current, err
}

func diffConfig(w io.Writer, cmd *cli.Command) error {
	_, next, current, err := loadCandidate(cmd)
	if err != nil {
		return err
	}
	return writeDiff(w, current.Value.Config, next)
}

// writeDiff prints, for each site, the configuration values that differ between two records.
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
	for _, site := range dtconfig.SortedKeys(sites) {
		var before []byte
		if old != nil {
			text, err := mergedConfig(old, site)
			if err != nil {
				return err
			}
			before = text
		}
		after, err := mergedConfig(next, site)
		if err != nil {
			return err
		}
		printDiff(w, site, before, after)
	}
	return nil
}

// printDiff prints the leaves of two JSON texts that were added, removed or changed.
func printDiff(w io.Writer, site string, before, after []byte) {
	a, b := leavesByPath(before), leavesByPath(after)
	all := map[string]bool{}
	for p := range a {
		all[p] = true
	}
	for p := range b {
		all[p] = true
	}
	for _, p := range dtconfig.SortedKeys(all) {
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

// leavesByPath returns the leaves of a JSON text, keyed by their paths.
func leavesByPath(text []byte) map[string]string {
	out := map[string]string{}
	var v any
	if len(bytes.TrimSpace(text)) > 0 && json.Unmarshal(text, &v) == nil {
		collectLeaves("", v, out)
	}
	return out
}

func collectLeaves(path string, v any, out map[string]string) {
	m, ok := v.(map[string]any)
	if !ok {
		leaf, _ := json.Marshal(v)
		out[path] = string(leaf)
		return
	}
	for name, child := range m {
		collectLeaves(strings.TrimPrefix(path+"."+name, "."), child, out)
	}
}

// applyConfig puts files in force with a compare-and-swap on the platform. It reports
// whether the configuration was accepted, another one was accepted first, or the outcome is
// unknown.
func applyConfig(w io.Writer, cmd *cli.Command) error {
	f, next, current, err := loadCandidate(cmd)
	if err != nil {
		return err
	}
	known := f.newestKnownVersion()
	if old := current.Value.Config; old != nil {
		known = max(known, old.Version)
		next.Switches = old.Switches
	}
	if expected := cmd.Uint64("on"); expected != 0 && expected != known {
		return fmt.Errorf("%w: now %d", errVersionChanged, known)
	}
	next.Version = known + 1
	next.By = cmd.String("by")
	next.AtMs = uint64(time.Now().UnixMilli())
	return f.writeConfig(w, current, next)
}

// newestKnownVersion returns the newest version known to the router of the settings file,
// or zero if that router cannot be reached. It guards against a platform store restored from an
// old backup: the next version must be newer than any that routers have seen.
func (f *fleetClient) newestKnownVersion() uint64 {
	st, err := f.status()
	if err != nil {
		return 0
	}
	return max(st.KnownConfigVersion, st.ConfigVersion)
}

// writeConfig replaces the record current by next. If the response is lost, it reads the
// record to find out whether the write took effect.
func (f *fleetClient) writeConfig(w io.Writer, current dtstate.PlatformCallCompleted, next *dtstate.ConfigRecord) error {
	result, err := f.store.Call(dtstate.PlatformCall{
		Op: dtstate.PlatformPut, Key: dtstate.ConfigKey, Revision: current.Revision, Value: dtstate.PlatformValue{Config: next},
	})
	const maxReads = 5
	for i := 0; result.Status == dtstate.PlatformOutcomeUnknown && i < maxReads; i++ {
		time.Sleep(time.Duration(i+1) * 200 * time.Millisecond)
		result, err = f.currentConfig()
		if result.Status == dtstate.PlatformOK && !sameRecord(result.Value.Config, next) {
			result.Status = dtstate.PlatformConflict
		}
	}
	switch result.Status {
	case dtstate.PlatformOK:
		f.saveHistory(next)
		_, err = fmt.Fprintf(w, "accepted version=%d\n", next.Version)
		return err
	case dtstate.PlatformConflict:
		if result.Value.Config != nil {
			_, _ = fmt.Fprintf(w, "now in the platform: version=%d by=%s at=%s\n", result.Value.Config.Version, result.Value.Config.By, formatUnixMs(result.Value.Config.AtMs))
			_ = writeDiff(w, current.Value.Config, result.Value.Config)
		}
		return errConflict
	case dtstate.PlatformOutcomeUnknown:
	}
	return fmt.Errorf("%w: %w", errOutcomeUnknown, err)
}

// historyPrefix is the prefix of the keys of accepted configurations; the version follows.
const historyPrefix = "config/history/"

// saveHistory stores an accepted record for "config history". Errors are ignored, as
// the record is already accepted.
func (f *fleetClient) saveHistory(r *dtstate.ConfigRecord) {
	const decimal, retention = 10, 90 * 24 * time.Hour
	key := historyPrefix + strconv.FormatUint(r.Version, decimal)
	_, _ = f.store.Call(dtstate.PlatformCall{Op: dtstate.PlatformPut, Key: key, TTL: retention, Value: dtstate.PlatformValue{Config: r}})
}

// printHistory prints the accepted configurations in ascending order of version.
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
		if _, err := fmt.Fprintf(w, "version=%d by=%s at=%s overlays=%d\n", r.Version, r.By, formatUnixMs(r.AtMs), len(r.Overlays)); err != nil {
			return err
		}
	}
	return nil
}

// sameRecord reports whether the stored record was written by this process.
func sameRecord(stored, written *dtstate.ConfigRecord) bool {
	return stored != nil && stored.Version == written.Version && stored.AtMs == written.AtMs && stored.By == written.By && bytes.Equal(stored.Base, written.Base)
}
