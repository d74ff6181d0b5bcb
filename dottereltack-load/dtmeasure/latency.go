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
)

// Rates and lengths of the latency measurement.
const (
	latencyRate   = 2000 // Requests a second through the router.
	latencyDirect = 4    // One request in so many also goes directly.
	latencyFor    = 10 * time.Second
	latencyWarm   = 3 * time.Second
	usPerMs       = 1000
)

// timings is one histogram that many goroutines fill, in microseconds.
type timings struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newTimings() *timings {
	const least, most, digits = 1, 60_000_000, 3
	return &timings{h: hdrhistogram.New(least, most, digits)}
}

func (t *timings) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(max(d.Microseconds(), 1))
}

// ms returns a quantile in milliseconds.
func (t *timings) ms(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.h.ValueAtQuantile(q)) / usPerMs
}

// measureLatency sends calls of a plain service through one router and directly, in one
// run, and compares the two.
func measureLatency(o *Options) ([]dtexperiment.Figure, error) {
	dir, err := os.MkdirTemp("", "dottereltack-latency-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := dtfleet.SmallSite()
	t.Domains, t.Routers, t.Engines, t.Services = t.Domains[:1], []int{1}, []int{0}, []int{4}
	t.Service.CallMs = 0
	t.LogLevel = "warn"
	t.Site = dtconfig.Site{Limits: dtconfig.Limits{MaxQueuedPerAccount: 4096}}
	f, err := dtfleet.Start(t, o.Bin, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	routed, direct, failed := newTimings(), newTimings(), 0
	drive(f, latencyWarm, newTimings(), newTimings(), &failed)
	failed = 0
	drive(f, latencyFor, routed, direct, &failed)
	return []dtexperiment.Figure{
		figure("latency_direct_ms_p50", direct.ms(50)), figure("latency_direct_ms_p99", direct.ms(99)),
		figure("latency_routed_ms_p50", routed.ms(50)), figure("latency_routed_ms_p99", routed.ms(99)),
		figure("added_latency_ms_p50", routed.ms(50)-direct.ms(50)),
		figure("added_latency_ms_p99", routed.ms(99)-direct.ms(99)),
		figure("latency_requests", float64(routed.h.TotalCount())), figure("latency_failed", float64(failed)),
	}, nil
}

// drive sends requests at the rate for a time, whether or not answers come.
func drive(f *dtfleet.Fleet, lasting time.Duration, routed, direct *timings, failed *int) {
	web := &fasthttp.Client{MaxConnsPerHost: 1024}
	defer web.CloseIdleConnections()
	var wg sync.WaitGroup
	var mu sync.Mutex
	service := f.Stand.Services[0].Address
	start := time.Now()
	for i := 0; time.Since(start) < lasting; i++ {
		due := start.Add(time.Duration(i) * time.Second / latencyRate)
		time.Sleep(time.Until(due))
		send := func(uri string, into *timings) {
			defer wg.Done()
			begun := time.Now()
			if !exchange(web, uri) {
				mu.Lock()
				*failed++
				mu.Unlock()
				return
			}
			into.add(time.Since(begun))
		}
		wg.Add(1)
		go send("http://"+f.Routers[0].Host.CallersAddress+dtapi.PathServices+"/"+f.Topology.ServiceGroup+"/stock", routed)
		if i%latencyDirect == 0 {
			wg.Add(1)
			go send("http://"+service+dtapi.PathCalls+"/stock", direct)
		}
	}
	wg.Wait()
}

// exchange makes one call and says whether it succeeded.
func exchange(web *fasthttp.Client, uri string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(uri)
	req.Header.Set("Authorization", "Bearer "+dtfleet.KeyOf("acc-0"))
	req.SetBodyString(`{"thread":7}`)
	return web.DoTimeout(req, resp, 5*time.Second) == nil && resp.StatusCode() == fasthttp.StatusOK
}
