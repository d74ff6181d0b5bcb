package dtloop_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtloop"
)

// recorder is a reducer that records its events, and a performer.
type recorder struct{ events chan string }

func (r *recorder) Step(ev string, _ time.Time) []string {
	if ev == "slow" {
		time.Sleep(150 * time.Millisecond) // Stands for a pause of the process.
	}
	r.events <- ev
	return nil
}

func (*recorder) Perform(string) {}

func (*recorder) AfterStep(*recorder, time.Duration) {}

// TestPauseIsReportedBeforeOtherEvents guards against a reducer that decides the first event after a
// pause by what it knew before.
func TestPauseIsReportedBeforeOtherEvents(t *testing.T) {
	g := NewWithT(t)
	r := &recorder{events: make(chan string, 16)}
	binding := dtloop.TimerBinding[string, string]{
		Deadline: func(string) (time.Time, bool) { return time.Time{}, false },
		Event:    "timer", MaxIdle: 100 * time.Millisecond, Paused: func(_, _ time.Duration) string { return "paused" },
	}
	loop := dtloop.New(r, binding, 4)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, ev := range []string{"first", "slow", "after"} {
		loop.Post(ev)
	}
	go loop.Run(ctx, r)
	var got []string
	for range 4 {
		ev := ""
		g.Eventually(r.events).Should(Receive(&ev))
		got = append(got, ev)
	}
	g.Expect(got).To(Equal([]string{"first", "slow", "paused", "after"}))
}
