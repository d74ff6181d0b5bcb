package dtmeasure

import "testing"

// TestConfigurationSpreads checks that a configuration is in force at every router within
// the required 17 s, also with a fifth of the messages lost.
func TestConfigurationSpreads(t *testing.T) {
	const bound = 17
	for _, loss := range []float64{0, 0.2} {
		if m := measureConfigSpread(1, loss); m.Value > bound {
			t.Errorf("%s, bound %d", m, bound)
		} else {
			t.Log(m)
		}
	}
}
