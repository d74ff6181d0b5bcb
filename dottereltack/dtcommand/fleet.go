package dtcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/dottereltack/dtoperator"
)

// errNotInForce is returned when a change is not confirmed by all reachable routers in time.
var errNotInForce = errors.New("timed out waiting until the change is in force at every reachable router")

// errLastDomain is returned instead of taking the last failure domain out of service.
var errLastDomain = errors.New("no other failure domain is in service; force is needed")

func domainCommand(w io.Writer) *cli.Command {
	switchCommand := func(name, usage string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME",
			Flags: []cli.Flag{
				settingsFlag(),
				&cli.BoolFlag{Name: "force", Usage: "also take out the last failure domain in service"},
				&cli.DurationFlag{Name: "within", Value: 5 * time.Second, Usage: "how long to wait until the change is in force at every router"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error { return switchDomain(ctx, w, cmd, name) },
		}
	}
	return &cli.Command{
		Name: "domain", Usage: "take a failure domain out of service or put it back",
		Commands: []*cli.Command{switchCommand("out", "send no new requests to a failure domain"), switchCommand("in", "send requests to a failure domain again, with a gradual ramp")},
	}
}

// switchDomain asks one router to switch a failure domain and waits until the change is in
// force at every reachable router.
func switchDomain(ctx context.Context, w io.Writer, cmd *cli.Command, action string) error {
	f, err := newFleetClient(cmd)
	if err != nil {
		return err
	}
	name := cmd.Args().First()
	path := dtoperator.PathDomains + "/" + url.PathEscape(name) + "/" + action
	if cmd.Bool("force") {
		path += "?force=1"
	} else if action == "out" && f.isLastInService(name) {
		return errLastDomain
	}
	if err := f.call(http.MethodPost, f.host.OperatorsAddress, path, nil); err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < cmd.Duration("within") {
		if f.isInForce(name, action == "out") {
			_, err = fmt.Fprintf(w, "domain=%s state=%s in_force_seconds=%.2f\n", name, action, time.Since(start).Seconds())
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return errNotInForce
}

// isLastInService reports whether every other failure domain is out of service according to at
// least one router. It asks all routers, because the router that handles the request may not
// have received a recent change yet.
func (f *fleetClient) isLastInService(name string) bool {
	list, _, err := f.statuses()
	if err != nil {
		return false // The router that handles the request makes the check too.
	}
	inService := map[string]bool{}
	for _, st := range list {
		for _, d := range st.Domains {
			if _, seen := inService[d.FailureDomain]; !seen {
				inService[d.FailureDomain] = true
			}
			inService[d.FailureDomain] = inService[d.FailureDomain] && !d.OutOfService
		}
	}
	delete(inService, name)
	for _, serving := range inService {
		if serving {
			return false
		}
	}
	return len(inService) > 0
}

// isInForce reports whether the failure domain is in the given state at every reachable
// router.
func (f *fleetClient) isInForce(name string, out bool) bool {
	list, _, err := f.statuses()
	if err != nil {
		return false
	}
	for _, st := range list {
		for _, d := range st.Domains {
			if d.FailureDomain == name && d.OutOfService != out {
				return false
			}
		}
	}
	return true
}

func statusCommand(w io.Writer) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the routers, their configuration versions and the failure domains",
		Flags: []cli.Flag{settingsFlag(), &cli.BoolFlag{Name: "json"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			f, err := newFleetClient(cmd)
			if err != nil {
				return err
			}
			list, unreached, err := f.statuses()
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return json.NewEncoder(w).Encode(list)
			}
			return printStatus(w, list, unreached)
		},
	}
}

func printStatus(w io.Writer, list []dtoperator.Status, unreached []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ROUTER\tDOMAIN\tCONFIG\tKNOWN\tKEEPER\tREQUESTS\tSLOTS\tUNSTORED\tPROBLEM")
	for _, s := range list {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%t\t%d\t%d\t%d\t%s\n", s.Router, s.FailureDomain, s.ConfigVersion, s.KnownConfigVersion, s.Leader, s.Requests, s.Slots, s.UnstoredRefusals, s.ConfigProblem)
	}
	for _, m := range unreached {
		_, _ = fmt.Fprintf(t, "%s\tno answer\n", m)
	}
	if len(list) > 0 {
		_, _ = fmt.Fprintln(t, "\nDOMAIN\tSERVICE\tREACHABLE")
		for _, d := range list[0].Domains {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%t\n", d.FailureDomain, serviceState(d.OutOfService), d.Reachable)
		}
	}
	return t.Flush()
}

func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func serverCommand(w io.Writer) *cli.Command {
	list := &cli.Command{
		Name: "list", Usage: "list backend servers with their owners and loads",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			f, err := newFleetClient(cmd)
			if err != nil {
				return err
			}
			statuses, _, err := f.statuses()
			if err != nil {
				return err
			}
			return printServers(w, mergeServers(statuses))
		},
	}
	return &cli.Command{Name: "server", Usage: "inspect backend servers", Commands: []*cli.Command{list}}
}

// mergeServers returns one status per server, preferably the one reported by its owner.
func mergeServers(statuses []dtoperator.Status) []dtoperator.ServerStatus {
	byName := map[string]dtoperator.ServerStatus{}
	for _, st := range statuses {
		for _, sv := range st.Servers {
			if _, known := byName[sv.Server]; !known || sv.Owned {
				byName[sv.Server] = sv
			}
		}
	}
	out := make([]dtoperator.ServerStatus, 0, len(byName))
	for _, sv := range byName {
		out = append(out, sv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

func printServers(w io.Writer, list []dtoperator.ServerStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVER\tGROUP\tDOMAIN\tOWNER\tINFLIGHT\tWORK\tCAP\tCOLD\tDOWN\tLEAVING")
	for _, s := range list {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%t\t%t\t%t\n", s.Server, s.Group, s.FailureDomain, s.Owner, s.InFlight, s.Work, s.Cap, s.Cold, s.Down, s.Draining)
	}
	return t.Flush()
}
