package dtmeasure

import "testing"

// TestConfigSpread checks that a configuration is in force at every router within the
// required 17 s, without message loss and with a fifth of the messages lost.
func TestConfigSpread(t *testing.T) {
	const bound = 17
	for _, loss := range []float64{0, 0.2} {
		if m := measureConfigSpread(1, loss); m.Value > bound {
			t.Errorf("%s, bound %d", m, bound)
		} else {
			t.Log(m)
		}
	}
}
