// Command standin plays one case of the review: it starts the project's own program as processes, stands in for
// the store, the workers, the platform and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(f *Fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	record, err := NewRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("case %s trouble=%v", name, trouble)
	fleet, err := NewFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fleet.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	const limit = 110 * time.Second
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](fleet, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			record.Add("could not run: %v", r.err)
			fmt.Println("could not run:", r.err)
			return exitNotRun
		case r.broken:
			record.Add("the rule was broken")
			fmt.Println("the rule was broken")
			return exitBroken
		}
		record.Add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case <-stop:
		record.Add("could not run: stopped")
		return exitNotRun
	case <-time.After(limit):
		record.Add("could not run: not done after %v", limit)
		return exitNotRun
	}
}
