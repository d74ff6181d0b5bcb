package dtmeasure

import (
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
)

// Parameters of the latency measurement.
const (
	latencyRequestsPerSecond   = 2000 // Through the router.
	requestsPerDirectRequest   = 4    // Every fourth request is also sent directly to the service.
	latencyMeasurementTime     = 10 * time.Second
	latencyWarmupTime          = 3 * time.Second
	microsecondsPerMillisecond = 1000
)

// latencyHistogram is a histogram in microseconds that is safe for concurrent use.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	const minValue, maxValue, significantDigits = 1, 60_000_000, 3
	return &latencyHistogram{histogram: hdrhistogram.New(minValue, maxValue, significantDigits)}
}

func (h *latencyHistogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(max(d.Microseconds(), 1))
}

// percentileMs returns a percentile, from 0 to 100, in milliseconds.
func (h *latencyHistogram) percentileMs(percentile float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.histogram.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
}

// measureLatency compares the latency of plain service calls through one router and
// directly, measured in the same run.
func measureLatency(o *Options) ([]dtexperiment.Metric, error) {
	dir, err := os.MkdirTemp("", "dottereltack-latency-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := dtfleet.SmallTopology()
	t.Domains, t.RoutersPerDomain, t.EnginesPerDomain, t.ServicesPerDomain = t.Domains[:1], []int{1}, []int{0}, []int{4}
	t.Service.CallMs = 0
	t.LogLevel = "warn"
	t.Site = dtconfig.Site{Limits: dtconfig.Limits{MaxQueuedPerAccount: 4096}}
	f, err := dtfleet.Start(t, o.BinDir, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	routed, direct, failed := newLatencyHistogram(), newLatencyHistogram(), 0
	generateLoad(f, latencyWarmupTime, newLatencyHistogram(), newLatencyHistogram(), &failed)
	failed = 0
	generateLoad(f, latencyMeasurementTime, routed, direct, &failed)
	return []dtexperiment.Metric{
		newMetric("latency_direct_ms_p50", direct.percentileMs(50)), newMetric("latency_direct_ms_p99", direct.percentileMs(99)),
		newMetric("latency_routed_ms_p50", routed.percentileMs(50)), newMetric("latency_routed_ms_p99", routed.percentileMs(99)),
		newMetric("added_latency_ms_p50", routed.percentileMs(50)-direct.percentileMs(50)),
		newMetric("added_latency_ms_p99", routed.percentileMs(99)-direct.percentileMs(99)),
		newMetric("latency_requests", float64(routed.histogram.TotalCount())), newMetric("latency_failed", float64(failed)),
	}, nil
}

// generateLoad sends requests at a fixed rate for the duration, independently of the
// responses (open loop).
func generateLoad(f *dtfleet.Fleet, duration time.Duration, routed, direct *latencyHistogram, failed *int) {
	client := &fasthttp.Client{MaxConnsPerHost: 1024, Dial: dthead.Dial}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var mu sync.Mutex
	service := f.StandSettings.Services[0].Address
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		due := start.Add(time.Duration(i) * time.Second / latencyRequestsPerSecond)
		time.Sleep(time.Until(due))
		send := func(uri string, histogram *latencyHistogram) {
			defer wg.Done()
			sentAt := time.Now()
			if !callSucceeds(client, uri) {
				mu.Lock()
				*failed++
				mu.Unlock()
				return
			}
			histogram.record(time.Since(sentAt))
		}
		wg.Add(1)
		go send("http://"+f.Routers[0].Host.CallersAddress+dtapi.PathServices+"/"+f.Topology.ServiceGroup+"/stock", routed)
		if i%requestsPerDirectRequest == 0 {
			wg.Add(1)
			go send("http://"+service+dtapi.PathCalls+"/stock", direct)
		}
	}
	wg.Wait()
}

func callSucceeds(client *fasthttp.Client, uri string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(uri)
	req.Header.Set("Authorization", "Bearer "+dtfleet.AccountKey("acc-0"))
	req.SetBodyString(`{"thread":7}`)
	return client.DoTimeout(req, resp, 5*time.Second) == nil && resp.StatusCode() == fasthttp.StatusOK
}
