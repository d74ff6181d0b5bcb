package dtmeasure

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
)

// measurePlacement runs every experiment under every policy and plots each metric.
func measurePlacement(o *Options) ([]dtexperiment.Metric, error) {
	var all []dtexperiment.Metric
	for _, s := range dtexperiment.Scenarios() {
		for _, p := range dtexperiment.Policies() {
			all = append(all, s.Run(o.Seed, p)...)
		}
	}
	return all, plotMetrics(o.OutDir, all)
}

// plotMetrics writes a bar chart for each metric, with a bar for each policy.
func plotMetrics(dir string, metrics []dtexperiment.Metric) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	byName := map[string][]dtexperiment.Metric{}
	var names []string
	for _, m := range metrics {
		if byName[m.Name] == nil {
			names = append(names, m.Name)
		}
		byName[m.Name] = append(byName[m.Name], m)
	}
	for _, name := range names {
		if err := plotMetric(filepath.Join(dir, name+".svg"), name, byName[name]); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

func plotMetric(path, name string, metrics []dtexperiment.Metric) error {
	p := plot.New()
	p.Title.Text = name
	p.Y.Min = 0
	var labels []string
	values := plotter.Values{}
	for _, m := range metrics {
		labels = append(labels, m.Policy)
		values = append(values, m.Value)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(40))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX(labels...)
	return p.Save(6*vg.Inch, 3*vg.Inch, path)
}
