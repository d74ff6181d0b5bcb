package dtcapacity

import "time"

const (
	maxUsualSamples = 50 // Number of times over which the usual time is taken.
	minUsualSamples = 10 // Fewer are not used.
)

// Usual is the usual time that something takes at a server of usual speed.
type Usual struct {
	Mean    time.Duration
	Samples int // That Mean contains, up to maxUsualSamples.
}

// Add adds the time that it took at a server at which work takes slowdown times the usual time.
func (u *Usual) Add(took time.Duration, slowdown float64) {
	if took < 0 || slowdown <= 0 {
		return
	}
	u.Samples = min(u.Samples+1, maxUsualSamples)
	u.Mean += (time.Duration(float64(took)/slowdown) - u.Mean) / time.Duration(u.Samples)
}

// Time returns the usual time, or zero while too little is known.
func (u *Usual) Time() time.Duration {
	if u == nil || u.Samples < minUsualSamples {
		return 0
	}
	return u.Mean
}
