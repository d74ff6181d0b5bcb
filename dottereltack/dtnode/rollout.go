package dtnode

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// rolloutGauges are the metrics of roll-outs.
type rolloutGauges struct {
	active         atomic.Int64
	reverted       atomic.Int64
	targetRequests atomic.Int64 // Of this router, to targets of active roll-outs.
	oldRequests    atomic.Int64
}

func (g *rolloutGauges) register(set *metrics.Set) {
	for name, value := range map[string]*atomic.Int64{
		"dottereltack_rollouts_active":         &g.active,
		"dottereltack_rollouts_reverted":       &g.reverted,
		"dottereltack_rollout_target_requests": &g.targetRequests,
		"dottereltack_rollout_old_requests":    &g.oldRequests,
	} {
		set.NewGauge(name, func() float64 { return float64(value.Load()) })
	}
}

// update sets the metrics as of the last step.
func (g *rolloutGauges) update(s *dtdispatch.State) {
	var active, reverted int64
	var target, old uint64
	for _, ro := range s.Rollouts.ByService {
		switch {
		case ro.Withdrawn:
		case ro.State == dtrollout.StateActive:
			active++
			target += ro.Own.Requests(true)
			old += ro.Own.Requests(false)
		case ro.State == dtrollout.StateReverted:
			reverted++
		}
	}
	g.active.Store(active)
	g.reverted.Store(reverted)
	g.targetRequests.Store(int64(target))
	g.oldRequests.Store(int64(old))
}
