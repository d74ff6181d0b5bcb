package dtexperiment_test

import (
	"testing"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtexperiment"
)

// bound is the range, from the users' requirements, in which a metric must lie.
type bound struct {
	name string
	min  float64
	max  float64
}

// checkBounds runs a scenario under the affinity policy and checks its metrics.
func checkBounds(t *testing.T, run func(uint64, string) []dtexperiment.Metric, seed uint64, bounds ...bound) {
	t.Helper()
	t.Parallel()
	values := map[string]float64{}
	for _, m := range run(seed, dtconfig.PolicyAffinityBounded) {
		values[m.Name] = m.Value
	}
	for _, want := range bounds {
		got, ok := values[want.name]
		if !ok || got < want.min || got > want.max {
			t.Errorf("%s=%.4g, wanted %.4g to %.4g", want.name, got, want.min, want.max)
		}
	}
}

func TestSteady(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run("", func(t *testing.T) {
			checkBounds(t, dtexperiment.Steady, seed,
				bound{"cache_reuse_steady", 0.95, 1}, bound{"load_over_bound_max", 0, 0}, bound{"load_given_over_bound_max", -99, 0},
				bound{"steady_refused_ratio", 0, 0}, bound{"steady_first_byte_p95", 0, 0.94})
		})
	}
}

func TestChurn(t *testing.T) {
	checkBounds(t, dtexperiment.Churn, 2, bound{"cache_reuse_churn", 0.85, 1}, bound{"leaving_last_work_seconds", 0, 3}, bound{"churn_unanswered", 0, 0})
}

func TestRollingRestart(t *testing.T) {
	checkBounds(t, dtexperiment.RollingRestart, 1, bound{"restart_cut", 0, 0})
}

func TestColdStart(t *testing.T) {
	checkBounds(t, dtexperiment.ColdStart, 1, bound{"cold_overload_max", 0, 1}, bound{"cold_unanswered", 0, 0}, bound{"cold_completed", 1, 1e9})
}

func TestSurge(t *testing.T) {
	checkBounds(t, dtexperiment.Surge, 1, bound{"surge_p95_ratio", 0, 1.2}, bound{"surge_others_refused", 0, 0})
}

func TestPoison(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run("", func(t *testing.T) {
			checkBounds(t, dtexperiment.Poison, seed,
				bound{"poison_servers_killed", 1, 2}, bound{"poison_told_ratio", 1, 1}, bound{"poison_unanswered", 0, 0})
		})
	}
}

// TestPoisonPart guards against requests that share only a prompt part which crashes servers. Two
// may be under way before the crashes of the first three servers are known.
func TestPoisonPart(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run("", func(t *testing.T) {
			checkBounds(t, dtexperiment.PoisonPart, seed,
				bound{"part_servers_killed", 1, 5}, bound{"part_sound_refused", 0, 0}, bound{"part_unanswered", 0, 0})
		})
	}
}

func TestThirdOfServersFails(t *testing.T) {
	checkBounds(t, dtexperiment.ThirdOfServersFail, 1, bound{"retry_amplification_max", 0, 1.1})
}
