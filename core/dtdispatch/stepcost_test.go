package dtdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// BenchmarkRequest shows what the steps of a request cost as the fleet grows. A delegate hears most routers of its failure domain.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d routers", size), func(b *testing.B) {
			f, names := newLargeFleet(b, size)
			r := f.routers[names[0]]
			for _, name := range names {
				if len(f.links[name]) > len(f.links[names[0]]) {
					r = f.routers[name]
				}
			}
			for b.Loop() {
				r.now = r.now.Add(time.Millisecond)
				r.endAttempt(r.sendRequest("/live/x"), 1, dtdispatch.OutcomeCompleted)
			}
		})
	}
}
