package dtexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Explanation describes how one request was handled according to the logs.
type Explanation struct {
	Request    string
	Lines      []Line // Lines of the request itself, ordered by time.
	StateLines []Line // Latest state changes of the routers involved before the request ended.
	Cause      string // Why the request ended as it did.
}

// Explain sorts lines by time and returns the explanation of a request, which has no lines if
// no log line mentions the request.
func Explain(lines []Line, request string) Explanation {
	e := Explanation{Request: request}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		if line.Request == request {
			e.Lines = append(e.Lines, line)
		}
	}
	if len(e.Lines) == 0 {
		return e
	}
	e.Cause = e.findCause()
	e.StateLines = e.stateLines(lines)
	return e
}

// finalLine returns the line with the request's outcome, or else its newest line.
func (e *Explanation) finalLine() *Line {
	for i := len(e.Lines) - 1; i >= 0; i-- {
		if e.Lines[i].Step == "request" {
			return &e.Lines[i]
		}
	}
	return &e.Lines[len(e.Lines)-1]
}

// outcomeCauses explains each outcome; the first entry whose outcome is a prefix applies.
var outcomeCauses = []struct{ outcome, text string }{ //nolint:gochecknoglobals // A constant table.
	{"served", "the server's complete response was passed on"},
	{"server_failure", "the server returned an error of its own, which was passed on"},
	{"caller_left", "the caller closed its connection before the response was complete"},
	{"broken_off expired", "the request timed out after the response had started"},
	{"broken_off", "the server broke off a response that had started and could not be resumed at another server"},
	{"refused no_site", "the router had no configuration yet; the request was not run"},
	{"refused no_route", "the configuration in force has no matching route"},
	{"refused unknown_key", "the configuration in force does not contain the API key"},
	{"refused no_server", "no server of the service was available (none listed, or all draining, leaving or out of service); the request was not run"},
	{"refused busy", "the servers that were tried reported that they did not run the request"},
	{"refused retry_budget", "a retry would have exceeded the fleet's retry budget"},
	{"refused crashes_servers", "the request had crashed the servers that ran it"},
	{"refused server_limit", "all servers of the service were at the request rates that they had named; the request was not run"},
	{"refused brittle_servers", "the servers of the service were brittle and had no room that this router may take; the request was not run"},
	{"refused wait_too_long", "the servers of the service had no room, and would have had none for the request before its deadline; the request was not run"},
	{"refused queue_full", "too many requests waited at the router for room at the servers, most of them of this account; the request was not run"},
	{"refused wait_expired", "the request waited at the router for room at the servers until it could not be answered in time; the request was not run"},
	{"refused server_backoff", "all servers of the service had asked this router for a pause; the request was not run"},
	{"refused late_start", "at no server of the service would the request have started before its deadline; the request was not run"},
	{"refused cold_servers", "all servers of the service were cold and had been sent what they can handle; the request was not run"},
	{"refused stream_version", "no server was known that may go on with the stream: the software version that began it is uncertain or has no server any more; the request was not run"},
	{"refused resuming", "the router had been paused and did not know yet what it had missed; the request was not run"},
	{"refused stopping", "the router was shutting down; the request was not run"},
	{"refused expired", "the request timed out before the server responded"},
	{"refused server_lost", "the connection to the server was lost; the request was not retried, as it may have run"},
}

// findCause explains the outcome in the final line and names the last failed attempt.
func (e *Explanation) findCause() string {
	last := e.finalLine()
	text := "the logs contain no outcome for this request"
	if last.Step == "request" {
		text = "outcome " + last.Outcome
	}
	for _, c := range outcomeCauses {
		if last.Step == "request" && strings.HasPrefix(last.Outcome, c.outcome) {
			text = c.text
			break
		}
	}
	for i := len(e.Lines) - 1; i >= 0; i-- {
		if line := &e.Lines[i]; line.Step == "attempt" {
			text += fmt.Sprintf("; last failed attempt: %s at server %s", line.Outcome, line.Peer)
			if line.Detail != "" {
				text += " (" + line.Detail + ")"
			}
			break
		}
	}
	return text
}

// stateLines returns, for each router that handled the request, the newest line of each kind
// of state up to the end of the request; see stateKind.
func (e *Explanation) stateLines(lines []Line) []Line {
	end := e.finalLine().Time
	routers, peers := map[string]bool{}, map[string]bool{}
	for _, line := range e.Lines {
		routers[line.Router] = true
		peers[line.Peer] = line.Peer != ""
	}
	newest := map[string]Line{}
	var order []string
	for _, line := range lines {
		if line.Time.After(end) || !routers[line.Router] {
			continue
		}
		kind := stateKind(&line, peers)
		if kind == "" {
			continue
		}
		key := line.Router + " " + kind
		if _, seen := newest[key]; !seen {
			order = append(order, key)
		}
		newest[key] = line
	}
	result := make([]Line, 0, len(order))
	for _, key := range order {
		result = append(result, newest[key])
	}
	return result
}

// stateKind returns the part of the router state that a line reports, or "" if it reports
// none.
func stateKind(line *Line, peers map[string]bool) string {
	switch line.Step {
	case "configuration", "ready", "stop":
		return line.Step
	case "store_lost", "store_back":
		return "store"
	case "domain_out", "domains_back":
		return "domains"
	case "server_listed", "server_left", "server_crashed":
		if peers[line.Peer] {
			return "server " + line.Peer
		}
	case "server_leaving", "server_backoff", "server_limit", "server_brittle":
		if peers[line.Peer] {
			return line.Step + " " + line.Peer
		}
	}
	return ""
}

// Write prints the explanation.
func (e *Explanation) Write(w io.Writer) error {
	if len(e.Lines) == 0 {
		_, err := fmt.Fprintf(w, "request %s: no log line mentions it\n", e.Request)
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n\nlog lines:\n", e.Request, e.Cause)
	for i := range e.Lines {
		fmt.Fprintf(&b, "  %s\n", e.Lines[i].Text)
	}
	b.WriteString("\nrouter state, with its age at the end of the request:\n")
	end := e.finalLine().Time
	for i := range e.StateLines {
		fmt.Fprintf(&b, "  %8.3fs  %s\n", end.Sub(e.StateLines[i].Time).Seconds(), e.StateLines[i].Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
