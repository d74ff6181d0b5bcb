package dtcommand

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dottereltack/dottereltack/dottereltack/dtexplain"
)

// errNoRequest is returned when the request argument is missing.
var errNoRequest = errors.New("the ID of the request to explain is required")

func explainCommand(w io.Writer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the outcome of a request from the routers' logs", ArgsUsage: "REQUEST",
		Flags: []cli.Flag{logsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			request := cmd.Args().First()
			if request == "" {
				return errNoRequest
			}
			lines, err := readLogs(cmd.StringSlice("logs"))
			if err != nil {
				return err
			}
			explanation := dtexplain.Explain(lines, request)
			return explanation.Write(w)
		},
	}
}

func logsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "logs", Usage: "log file of a router, or - for standard input"}
}

// readLogs returns the lines of all files, or of standard input if paths is empty.
func readLogs(paths []string) ([]dtexplain.Line, error) {
	if len(paths) == 0 {
		return dtexplain.Read(os.Stdin)
	}
	var all []dtexplain.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines of one file, or of standard input for "-".
func readLog(path string) ([]dtexplain.Line, error) {
	if path == "-" {
		return dtexplain.Read(os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return dtexplain.Read(f)
}
