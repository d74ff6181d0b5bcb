// Command dottereltack-load runs a demonstration, load tests and measurements against
// a fleet of routers on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtdemo"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmeasure"
)

var errDemoFailed = errors.New("requests were lost, duplicated or interrupted")

func main() {
	bin := &cli.StringFlag{Name: "bin", Value: executableDir(), Usage: "directory of the binaries"}
	seed := &cli.Uint64Flag{Name: "seed", Value: 1}
	cmd := &cli.Command{
		Name:  "dottereltack-load",
		Usage: "run a demonstration, load tests and measurements on loopback",
		Commands: []*cli.Command{{
			Name: "demo", Usage: "start a small fleet, send chats and orders, and print the results",
			Flags: []cli.Flag{bin, seed},
			Action: func(_ context.Context, cmd *cli.Command) error {
				ok, err := dtdemo.Run(os.Stdout, cmd.String("bin"), cmd.Uint64("seed"))
				if err == nil && !ok {
					err = errDemoFailed
				}
				return err
			},
		}, {
			Name: "measure", Usage: "run a scenario and print its metrics as name=value lines",
			Flags: []cli.Flag{
				bin, seed,
				&cli.StringFlag{Name: "scenario", Value: "all", Usage: "step, latency, placement, faults, domains, size or all"},
				&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for the JSON report and the plots"},
				&cli.IntFlag{Name: "requests", Value: 20_000, Usage: "number of requests in the faults scenario"},
			},
			Action: func(_ context.Context, cmd *cli.Command) error {
				return dtmeasure.Run(&dtmeasure.Options{
					Scenario: cmd.String("scenario"), BinDir: cmd.String("bin"), OutDir: cmd.String("out"),
					Seed: cmd.Uint64("seed"), Requests: cmd.Int("requests"), Output: os.Stdout,
				})
			},
		}},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// executableDir returns the directory of the running binary, or "." if it is unknown.
func executableDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
