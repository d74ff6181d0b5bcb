// Command dottereltack-stand simulates the systems around the fleet, for tests and
// demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

func main() {
	cmd := &cli.Command{
		Name:  "dottereltack-stand",
		Usage: "simulates the platform, model engines, services and a faulty network",
		Commands: []*cli.Command{{
			Name:   "run",
			Usage:  "run the simulated systems of a settings file until SIGINT or SIGTERM",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file, JSON with comments"}},
			Action: run,
		}},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	settings, err := dtstand.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	env, err := dtstand.Start(*settings)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	<-ctx.Done()
	env.Stop()
	return nil
}
