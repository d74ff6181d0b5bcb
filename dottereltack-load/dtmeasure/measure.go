package dtmeasure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
)

// Options selects the scenario, the binaries, the output and the seed of a measurement.
type Options struct {
	Scenario string // A scenario's name, or all.
	BinDir   string
	OutDir   string
	Seed     uint64
	Requests int // Requests of the faults scenario.
	Output   io.Writer
}

type scenario struct {
	name string
	run  func(o *Options) ([]dtexperiment.Metric, error)
}

var errUnknownScenario = errors.New("unknown scenario")

// scenarios returns all measurements in the order in which they run.
func scenarios() []scenario {
	return []scenario{
		{"step", measureStep},
		{"latency", measureLatency},
		{"placement", measurePlacement},
		{"faults", measureFaults},
		{"domains", measureDomains},
		{"size", measureSize},
	}
}

// Run runs one scenario or all of them, writes their metrics and returns an error if one
// could not run.
func Run(o *Options) error {
	var all []dtexperiment.Metric
	var names []string
	var failed error
	for _, s := range scenarios() {
		names = append(names, s.name)
		if o.Scenario != "all" && o.Scenario != s.name {
			continue
		}
		_, _ = fmt.Fprintf(o.Output, "# scenario=%s seed=%d\n", s.name, o.Seed)
		metrics, err := s.run(o)
		dtexperiment.WriteMetrics(o.Output, metrics)
		all = append(all, metrics...)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", s.name, err))
		}
	}
	if o.Scenario != "all" && !slices.Contains(names, o.Scenario) {
		return fmt.Errorf("%w %q, want one of %v or all", errUnknownScenario, o.Scenario, names)
	}
	return errors.Join(failed, writeReport(o, all))
}

func writeReport(o *Options, metrics []dtexperiment.Metric) error {
	if err := os.MkdirAll(o.OutDir, 0o750); err != nil {
		return err
	}
	body, err := json.MarshalIndent(metrics, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.OutDir, o.Scenario+".json"), body, 0o600)
}

// newMetric returns a metric without a policy.
func newMetric(name string, value float64) dtexperiment.Metric {
	return dtexperiment.Metric{Name: name, Value: value}
}
