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

// Lengths of the measurement of processes.
const (
	processSettle = 8 * time.Second
	processFor    = 10 * time.Second
)

// measureProcesses starts more and more idle router processes and reads what each
// spends on control.
func measureProcesses(o *Options) ([]dtexperiment.Figure, error) {
	var out []dtexperiment.Figure
	for _, n := range []int{10, 40, 100} {
		figures, err := processesOf(o, n)
		out = append(out, figures...)
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

func processesOf(o *Options, routers int) ([]dtexperiment.Figure, error) {
	dir, err := os.MkdirTemp("", "dottereltack-size-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := dtfleet.SmallSite()
	t.Routers = []int{routers / 2, routers / 2}
	t.Engines, t.Services = []int{routers, routers}, []int{2, 2}
	t.LogLevel = "warn"
	f, err := dtfleet.Start(t, o.Bin, dir)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	time.Sleep(processSettle)
	r := &domainRun{fleet: f}
	before, err := r.control()
	if err != nil {
		return nil, err
	}
	cpu, _, err := r.processes()
	if err != nil {
		return nil, err
	}
	time.Sleep(processFor)
	after, err := r.control()
	if err != nil {
		return nil, err
	}
	cpuAfter, memory, err := r.processes()
	if err != nil {
		return nil, err
	}
	sum := 0.0
	for name, n := range after.bytes {
		sum += n - before.bytes[name]
	}
	tag := fmt.Sprintf("_%d_processes", routers)
	seconds := processFor.Seconds()
	return []dtexperiment.Figure{
		figure("process_control_bytes_per_second_mean"+tag, sum/seconds/float64(routers)),
		figure("process_control_bytes_per_second_max"+tag, after.most(before, processFor)),
		figure("process_core_percent"+tag, 100*(cpuAfter-cpu)/seconds/float64(routers)),
		figure("process_resident_mb_max"+tag, memory/(1<<20)),
		figure("process_platform_calls_per_second"+tag, after.calls(before, processFor)),
	}, nil
}

// processes returns the processor seconds of all routers and the largest resident memory.
func (r *domainRun) processes() (cpu, memory float64, err error) {
	for _, router := range r.fleet.Routers {
		lines, err := metricLines(router)
		if err != nil {
			return 0, 0, err
		}
		for _, l := range lines {
			switch {
			case strings.HasPrefix(l.text, "process_cpu_seconds_total "):
				cpu += l.value
			case strings.HasPrefix(l.text, "process_resident_memory_bytes "):
				memory = max(memory, l.value)
			}
		}
	}
	return cpu, memory, nil
}

// messageSizes returns the bytes on the wire of what one request sends between routers,
// and of the state that one request in flight takes.
func messageSizes() []dtexperiment.Figure {
	size := func(m dtstate.Message) float64 {
		const frameHead = 12
		body, err := dtwire.Encode(m)
		if err != nil {
			return 0
		}
		return float64(len(body) + frameHead)
	}
	const id, server = "centru-a-r0.mx8nn49v.4f3", "poster-writer-centru-a-12"
	ask := &dtstate.SlotRequest{
		Entry: "centru-a-r0", Request: id, Attempt: 1, Account: "acc-0", Group: "poster-writer", Chat: 1 << 60, Digest: 1 << 60,
		Class: dtstate.ClassInteractive, Work: 800, DeadlineMs: 10_000,
	}
	slot := dtstate.Slot{Request: id, Attempt: 1, Server: server, Account: "acc-0", Work: 800, Digest: 1 << 60, Class: 1}
	now := time.UnixMilli(dtmodel.Epoch)
	const inFlight = 20_000
	perRequest := heapOf(func() any {
		s := stateOf(1, 8, 24, 1, 10, now)
		for i := range inFlight {
			s.Step(dtstate.RequestArrived{
				Request: dtstate.RequestID(fmt.Sprintf("%s%d", id, i)), Account: "acc-0", Group: groupOf(0), Chat: uint64(i),
				Digest: uint64(i), Class: dtstate.ClassInteractive, Work: 800, Deadline: now.Add(time.Hour),
			}, now)
		}
		return s
	}) / inFlight
	return []dtexperiment.Figure{
		figure("message_bytes_ask", size(ask)),
		figure("message_bytes_grant", size(&dtstate.SlotGrant{Request: id, Attempt: 1, Server: server})),
		figure("message_bytes_started", size(&dtstate.SlotStarted{Request: id, Attempt: 1, Server: server, WaitMs: 100})),
		figure("message_bytes_ended", size(&dtstate.SlotReleased{Request: id, Attempt: 1, Server: server})),
		figure("message_bytes_renewed_slot", size(&dtstate.SlotRenewal{Slots: []dtstate.Slot{slot, slot}})-size(&dtstate.SlotRenewal{Slots: []dtstate.Slot{slot}})),
		figure("state_bytes_per_request_in_flight", perRequest),
	}
}
