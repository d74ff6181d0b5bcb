package dtmeasure

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/core/dtwire"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtmodel"
)

// Phases of the measurement of idle processes.
const (
	processSettleTime      = 8 * time.Second
	processMeasurementTime = 10 * time.Second
)

// measureProcesses measures the control traffic, processor time and memory of idle
// router processes in fleets of growing size.
func measureProcesses(o *Options) ([]dtexperiment.Metric, error) {
	var out []dtexperiment.Metric
	for _, n := range []int{10, 40, 100} {
		metrics, err := measureIdleFleet(o, n)
		out = append(out, metrics...)
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

func measureIdleFleet(o *Options, routers int) ([]dtexperiment.Metric, error) {
	dir, err := os.MkdirTemp("", "dottereltack-size-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := dtfleet.SmallTopology()
	t.RoutersPerDomain = []int{routers / 2, routers / 2}
	t.EnginesPerDomain, t.ServicesPerDomain = []int{routers, routers}, []int{2, 2}
	t.LogLevel = "warn"
	f, err := dtfleet.Start(t, o.BinDir, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	time.Sleep(processSettleTime)
	r := &siteRun{fleet: f}
	before, err := r.readControlUsage()
	if err != nil {
		return nil, err
	}
	cpuSeconds, _, err := r.readProcessUsage()
	if err != nil {
		return nil, err
	}
	time.Sleep(processMeasurementTime)
	after, err := r.readControlUsage()
	if err != nil {
		return nil, err
	}
	cpuSecondsAfter, residentBytes, err := r.readProcessUsage()
	if err != nil {
		return nil, err
	}
	sum := 0.0
	for name, n := range after.bytesByRouter {
		sum += n - before.bytesByRouter[name]
	}
	suffix := fmt.Sprintf("_%d_processes", routers)
	seconds := processMeasurementTime.Seconds()
	return []dtexperiment.Metric{
		newMetric("process_control_bytes_per_second_mean"+suffix, sum/seconds/float64(routers)),
		newMetric("process_control_bytes_per_second_max"+suffix, after.maxByteRate(before, processMeasurementTime)),
		newMetric("process_core_percent"+suffix, 100*(cpuSecondsAfter-cpuSeconds)/seconds/float64(routers)),
		newMetric("process_resident_mb_max"+suffix, residentBytes/(1<<20)),
		newMetric("process_platform_calls_per_second"+suffix, after.platformCallRate(before, processMeasurementTime)),
	}, nil
}

// readProcessUsage returns the processor seconds of all routers together and the largest
// resident memory of any router.
func (r *siteRun) readProcessUsage() (cpuSeconds, residentBytes float64, err error) {
	for _, router := range r.fleet.Routers {
		samples, err := scrapeMetrics(router)
		if err != nil {
			return 0, 0, err
		}
		for _, s := range samples {
			switch {
			case strings.HasPrefix(s.series, "process_cpu_seconds_total "):
				cpuSeconds += s.value
			case strings.HasPrefix(s.series, "process_resident_memory_bytes "):
				residentBytes = max(residentBytes, s.value)
			}
		}
	}
	return cpuSeconds, residentBytes, nil
}

// measureMessageSizes returns the encoded sizes of the messages between routers that one
// request causes, and the size in memory of one request in flight.
func measureMessageSizes() []dtexperiment.Metric {
	size := func(m dtstate.Message) float64 {
		const frameHeaderSize = 12
		body, err := dtwire.Encode(m)
		if err != nil {
			return 0
		}
		return float64(len(body) + frameHeaderSize)
	}
	const id, server = "centru-a-r0.mx8nn49v.4f3", "poster-writer-centru-a-12"
	slotRequest := &dtstate.SlotRequest{
		EntryRouter: "centru-a-r0", Request: id, Attempt: 1, Account: "acc-0", Group: "poster-writer", Chat: 1 << 60, Digest: 1 << 60,
		Class: dtstate.ClassInteractive, Work: 800, RemainingMs: 10_000,
	}
	slot := dtstate.Slot{Request: id, Attempt: 1, Server: server, Account: "acc-0", Work: 800, Digest: 1 << 60, Class: 1}
	now := time.UnixMilli(dtmodel.EpochMs)
	const inFlight = 20_000
	perRequest := retainedHeap(func() any {
		s := newFleetState(1, 8, 24, 1, 10, now)
		for i := range inFlight {
			s.Step(dtstate.RequestArrived{
				Request: dtstate.RequestID(fmt.Sprintf("%s%d", id, i)), Account: "acc-0", Group: groupName(0), Chat: uint64(i),
				Digest: uint64(i), Class: dtstate.ClassInteractive, Work: 800, Deadline: now.Add(time.Hour),
			}, now)
		}
		return s
	}) / inFlight
	return []dtexperiment.Metric{
		newMetric("message_bytes_ask", size(slotRequest)),
		newMetric("message_bytes_grant", size(&dtstate.SlotGrant{Request: id, Attempt: 1, Server: server})),
		newMetric("message_bytes_started", size(&dtstate.SlotStarted{Request: id, Attempt: 1, Server: server, WaitMs: 100})),
		newMetric("message_bytes_ended", size(&dtstate.SlotReleased{Request: id, Attempt: 1, Server: server})),
		newMetric("message_bytes_renewed_slot", size(&dtstate.SlotRenewal{Slots: []dtstate.Slot{slot, slot}})-size(&dtstate.SlotRenewal{Slots: []dtstate.Slot{slot}})),
		newMetric("state_bytes_per_request_in_flight", perRequest),
	}
}
