package dtexplain

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// linePrefix starts each log line of a router. Log collectors may put text in front of it.
const linePrefix = "time="

// Line is one parsed log line of a router.
type Line struct {
	Time      time.Time
	Router    string
	Step      string
	Request   string
	Peer      string
	Outcome   string
	Detail    string
	Status    int
	Account   string
	RefusalID string // ID of the refusal in the ledger; set only by routers of package dtrouter, which keep a ledger.
	Reason    string // Reason of a refusal in the ledger.
	Ran       string // "not_run" or "unknown", for a refusal in the ledger.
	Dropped   int    // Number of lines that the router dropped before this one.
	Text      string // The unparsed line.
}

// Read returns the router log lines of r and skips all others.
func Read(r io.Reader) ([]Line, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for raw := range bytes.Lines(text) {
		start := bytes.Index(raw, []byte(linePrefix))
		if start < 0 {
			continue
		}
		if line, ok := parse(bytes.TrimSpace(raw[start:])); ok {
			lines = append(lines, line)
		}
	}
	return lines, nil
}

// parse parses a line in logfmt and reports whether it has a time and a step.
func parse(text []byte) (Line, bool) {
	line := Line{Text: string(text)}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.set(string(d.Key()), string(d.Value()))
		}
	}
	return line, d.Err() == nil && !line.Time.IsZero() && line.Step != ""
}

// set stores the value of one key. Keys that no explanation needs remain in Text only.
func (l *Line) set(key, value string) {
	switch key {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, value) // Lines with a zero time are skipped.
	case "router":
		l.Router = value
	case "step":
		l.Step = value
	case "request":
		l.Request = value
	case "peer":
		l.Peer = value
	case "outcome":
		l.Outcome = value
	case "account":
		l.Account = value
	case "refusal":
		l.RefusalID = value
	case "reason":
		l.Reason = value
	case "ran":
		l.Ran = value
	case "lines":
		l.Dropped, _ = strconv.Atoi(value) // Zero if not a number.
	case "detail", "error":
		l.Detail = value
	case "status":
		l.Status, _ = strconv.Atoi(value) // Zero if not a number.
	}
}
