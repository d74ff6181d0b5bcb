package dtlink_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtlink"
)

// When the budget runs low, load messages are shed first, then gossip; configuration
// and heartbeats never are.
func TestBudgetShedsByPriority(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(0)
	b := dtlink.NewBudget(1000, now)
	countAllowed := func(kind string) int {
		n := 0
		for b.Allow(kind, 100, now) && n < 50 {
			n++
		}
		return n
	}
	g.Expect(countAllowed("load")).To(Equal(10))
	g.Expect(countAllowed("digest")).To(Equal(5))
	g.Expect(countAllowed("config")).To(Equal(50))
	g.Expect(countAllowed("heartbeat")).To(Equal(50))
	g.Expect(countAllowed("dispatch")).To(Equal(50))
	now = now.Add(3 * time.Second)
	g.Expect(b.Allow("load", 100, now)).To(BeFalse())
	now = now.Add(3 * time.Second)
	g.Expect(b.Allow("load", 100, now)).To(BeTrue())
}
