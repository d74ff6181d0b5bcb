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

// controlUsage is a reading of the routers' counters of control bytes sent and of
// platform calls.
type controlUsage struct {
	bytesByRouter map[string]float64
	bytesByKind   map[string]float64 // Sum over all routers, by kind of link.
	platformCalls float64
}

// readControlUsage reads every router's counters. It omits the kinds of traffic that are
// sent per request, which the control budget excludes.
func (r *siteRun) readControlUsage() (*controlUsage, error) {
	out := &controlUsage{bytesByRouter: map[string]float64{}, bytesByKind: map[string]float64{}}
	budgetedKinds := map[string]bool{"heartbeat": true, "digest": true, "load": true, "config": true, "probe": true, "platform": true}
	for _, router := range r.fleet.Routers {
		samples, err := scrapeMetrics(router)
		if err != nil {
			return nil, err
		}
		for _, s := range samples {
			switch {
			case strings.HasPrefix(s.series, "dottereltack_control_bytes_total{") && budgetedKinds[labelValue(s.series, "kind")] && labelValue(s.series, "direction") == "out":
				out.bytesByRouter[router.Name] += s.value
				out.bytesByKind[labelValue(s.series, "kind")] += s.value
			case strings.HasPrefix(s.series, "dottereltack_platform_calls_total{"):
				out.platformCalls += s.value
			}
		}
	}
	return out, nil
}

// metricSample is one line of a router's metrics with its value.
type metricSample struct {
	series string
	value  float64
}

func scrapeMetrics(r *dtfleet.Router) ([]metricSample, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+r.Host.CallersAddress+dtapi.PathMetrics, 3*time.Second)
	if err != nil {
		return nil, err
	}
	var out []metricSample
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		line := scanner.Text()
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err == nil {
			out = append(out, metricSample{line, value})
		}
	}
	return out, scanner.Err()
}

// labelValue returns the value of a metric's label, or an empty string without it.
func labelValue(line, name string) string {
	_, rest, ok := strings.Cut(line, name+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// maxByteRate returns the highest rate of any router in control bytes per second, since
// the reading before, taken span earlier.
func (u *controlUsage) maxByteRate(before *controlUsage, span time.Duration) float64 {
	rate := 0.0
	for name, n := range u.bytesByRouter {
		rate = max(rate, (n-before.bytesByRouter[name])/span.Seconds())
	}
	return rate
}

// meanByteRates returns the mean rate per router in bytes per second for each kind of link.
func (u *controlUsage) meanByteRates(before *controlUsage, span time.Duration) []dtexperiment.Metric {
	var out []dtexperiment.Metric
	for _, kind := range dtconfig.SortedKeys(u.bytesByKind) {
		rate := (u.bytesByKind[kind] - before.bytesByKind[kind]) / span.Seconds() / float64(len(u.bytesByRouter))
		out = append(out, newMetric("control_bytes_per_second_mean_"+kind, rate))
	}
	return out
}

// platformCallRate returns the platform calls per second of all routers together.
func (u *controlUsage) platformCallRate(before *controlUsage, span time.Duration) float64 {
	return (u.platformCalls - before.platformCalls) / span.Seconds()
}
