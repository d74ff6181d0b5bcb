package dtcommand

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtintake"
	"github.com/dottereltack/dottereltack/dottereltack/dtlog"
	"github.com/dottereltack/dottereltack/dottereltack/dtoperator"
	"github.com/dottereltack/dottereltack/dottereltack/dtrouter"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
	exitAbandoned       = 3
)

// errAbandoned is returned when a router has shut down with requests in flight.
var errAbandoned = errors.New("requests were abandoned at the shutdown timeout")

// ExitCode returns the exit code for an error returned by the root command.
func ExitCode(err error) int {
	var fieldErr *dtconfig.FieldError
	switch {
	case errors.As(err, &fieldErr):
		return exitInvalidSettings
	case errors.Is(err, errAbandoned):
		return exitAbandoned
	}
	return exitFailure
}

// New returns the root command, which writes its output to w.
func New(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "dottereltack",
		Usage:  "run and operate a fleet of chat routers",
		Writer: w,
		Commands: []*cli.Command{
			runCommand(),
			configCommand(w),
			domainCommand(w),
			statusCommand(w),
			serverCommand(w),
			refusalsCommand(w),
			timelineCommand(w),
			explainCommand(w),
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the router of this host until a signal",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of the host, JSON with comments"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			level, err := log.ParseLevel(cmd.String("log-level"))
			if err != nil {
				return err
			}
			return runRouter(ctx, cmd.String("settings"), level)
		},
	}
}

// readHost reads and validates the settings file of a host.
func readHost(path string) (*dtconfig.Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &dtconfig.FieldError{File: path, Line: 1, Field: "(file)", Reason: err.Error()}
	}
	return dtconfig.ParseHost(dtconfig.Source{File: path, Text: text})
}

// runRouter runs a router until a signal, then shuts it down gracefully.
func runRouter(ctx context.Context, path string, level log.Level) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	host, err := readHost(path)
	if err != nil {
		return err
	}
	logWriter := dtlog.NewWriter(os.Stderr)
	defer logWriter.Close()
	logger := log.NewWithOptions(logWriter, log.Options{Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	setMemoryLimit(host)
	router, err := dtrouter.New(*host, time.Now(), dtrouter.WithLogger(logger))
	if err != nil {
		return err
	}
	operators, err := dtoperator.New(host.OperatorsAddress, host.PeerKeys[0], router.Loop, router.Timeline)
	if err != nil {
		return err
	}
	if err := router.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	operators.Start()
	<-ctx.Done()
	abandoned := router.Stop()
	operators.Stop()
	if abandoned > 0 {
		return errAbandoned
	}
	return nil
}

func setMemoryLimit(host *dtconfig.Host) {
	const mebibyte = 1 << 20
	if n := dtintake.LimitsFor(int64(host.MemoryMB)*mebibyte, 0).RuntimeBytes; n > 0 {
		debug.SetMemoryLimit(n)
	}
}
