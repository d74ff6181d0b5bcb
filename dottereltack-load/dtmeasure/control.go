package dtmeasure

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
)

// spending is the control bytes and platform calls of each router so far.
type spending struct {
	bytes map[string]float64
	kinds map[string]float64 // Bytes of all routers by kind of link.
	total float64
}

// control reads from each router's metrics what it has spent on control; per-request
// kinds are not part of the budget and left out.
func (r *domainRun) control() (*spending, error) {
	out := &spending{bytes: map[string]float64{}, kinds: map[string]float64{}}
	budget := map[string]bool{"heartbeat": true, "digest": true, "load": true, "config": true, "probe": true, "platform": true}
	for _, router := range r.fleet.Routers {
		lines, err := metricLines(router)
		if err != nil {
			return nil, err
		}
		for _, l := range lines {
			switch {
			case strings.HasPrefix(l.text, "dottereltack_control_bytes_total{") && budget[label(l.text, "kind")] && label(l.text, "direction") == "out":
				out.bytes[router.Name] += l.value
				out.kinds[label(l.text, "kind")] += l.value
			case strings.HasPrefix(l.text, "dottereltack_platform_calls_total{"):
				out.total += l.value
			}
		}
	}
	return out, nil
}

// metricLine is one line of a router's metrics and its value.
type metricLine struct {
	text  string
	value float64
}

// metricLines reads the metrics of a router.
func metricLines(r *dtfleet.Router) ([]metricLine, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+r.Host.CallersAddress+dtapi.PathMetrics, 3*time.Second)
	if err != nil {
		return nil, err
	}
	var out []metricLine
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		line := lines.Text()
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err == nil {
			out = append(out, metricLine{line, value})
		}
	}
	return out, lines.Err()
}

// label returns the value of a metric's label.
func label(line, name string) string {
	_, rest, ok := strings.Cut(line, name+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// most returns the highest rate of control bytes sent by a router since before.
func (s *spending) most(before *spending, span time.Duration) float64 {
	rate := 0.0
	for name, n := range s.bytes {
		rate = max(rate, (n-before.bytes[name])/span.Seconds())
	}
	return rate
}

// byKind returns the mean rate of a router for each kind of link.
func (s *spending) byKind(before *spending, span time.Duration) []dtexperiment.Figure {
	var out []dtexperiment.Figure
	for _, kind := range dtconfig.SortedKeys(s.kinds) {
		rate := (s.kinds[kind] - before.kinds[kind]) / span.Seconds() / float64(len(s.bytes))
		out = append(out, figure("control_bytes_per_second_mean_"+kind, rate))
	}
	return out
}

// calls returns the rate of platform calls of all routers since before.
func (s *spending) calls(before *spending, span time.Duration) float64 {
	return (s.total - before.total) / span.Seconds()
}
