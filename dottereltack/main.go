// Command dottereltack runs the router of an entry host and is the operators' command-line
// tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/dottereltack/dottereltack/dottereltack/dtcommand"
)

func main() {
	err := dtcommand.New(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(dtcommand.ExitCode(err))
	}
}
