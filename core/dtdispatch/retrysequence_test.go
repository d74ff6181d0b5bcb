package dtdispatch_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

var (
	retrySequencesFlag = flag.Int("retries.sequences", 40, "number of drawn sequences of kills, loads and failures")
	retryFirstFlag     = flag.Uint64("retries.first", 1, "seed of the first of them")
	knownRedFlag       = flag.Bool("known.red", false, "also play what is listed in KNOWN-RED.txt")
	retryMovesFlag     = flag.Bool("retries.moves", false, "whether the load moves between routers in them")
)

// openAttempt is an attempt that will end.
type openAttempt struct {
	name    string
	router  *router // Incarnation that made it.
	number  dtdispatch.RequestNumber
	attempt int
	endsAt  time.Time
	fails   bool
}

// retryPlay plays a drawn sequence on a fleet.
type retryPlay struct {
	*retryFleet
	random   *rand.Rand
	open     []openAttempt
	upAt     map[string]time.Duration // When each router that is down starts again.
	inUse    []string                 // Routers that get requests.
	perTick  int
	fails    float64       // Share of the attempts that fail.
	latency  time.Duration // Of an attempt, at most.
	kills    float64       // Chance of each router to be killed in a tick.
	killsAll float64       // Chance of all to be killed in it.
}

// draw begins a phase with another load.
func (p *retryPlay) draw() {
	p.perTick = 1 + p.random.IntN(8)
	p.fails = [...]float64{0, 0.3, 0.7, 1}[p.random.IntN(4)]
	p.latency = time.Duration(p.random.IntN(1500)) * time.Millisecond
	p.kills = [...]float64{0, 0.01, 0.02}[p.random.IntN(3)]
	p.killsAll = [...]float64{0, 0, 0.02}[p.random.IntN(3)]
	p.inUse = p.names
	if *retryMovesFlag {
		from := p.random.IntN(len(p.names))
		p.inUse = p.names[from : from+1+p.random.IntN(len(p.names)-from)]
	}
}

func (p *retryPlay) killDrawn(at time.Duration) {
	all := p.random.Float64() < p.killsAll
	for _, name := range p.names {
		switch {
		case p.down[name]:
			if at >= p.upAt[name] {
				p.restart(name)
			}
		case all || p.random.Float64() < p.kills:
			p.kill(name)
			p.upAt[name] = at + time.Duration(100+p.random.IntN(2000))*time.Millisecond
		}
	}
}

// tick ends the attempts that are due and sends new requests.
func (p *retryPlay) tick() {
	var open []openAttempt
	due := p.open
	p.open = nil
	for _, a := range due {
		r := p.routers[a.name]
		switch {
		case p.down[a.name] || r != a.router:
		case a.endsAt.After(r.now):
			open = append(open, a)
		case a.fails:
			r.endAttempt(a.number, a.attempt, dtdispatch.OutcomeFailure, func(ev *dtdispatch.AttemptEnded) { ev.Status = 500 })
			p.followSend(a.name, a.number, a.attempt+1)
		default:
			r.endAttempt(a.number, a.attempt, dtdispatch.OutcomeCompleted)
		}
	}
	p.open = append(p.open, open...)
	for range p.perTick {
		name := p.inUse[p.random.IntN(len(p.inUse))]
		if p.down[name] {
			continue
		}
		r := p.routers[name]
		p.requests = append(p.requests, r.now)
		p.followSend(name, r.sendRequest("/read/x"), 1)
	}
}

// followSend plans the end of an attempt that has just been sent. A retry arrives up to 0.2 s after its decision.
func (p *retryPlay) followSend(name string, number dtdispatch.RequestNumber, attempt int) {
	r := p.routers[name]
	if len(effectsOf[dtdispatch.SendRequest](r.effects)) == 0 {
		return
	}
	if attempt > 1 {
		p.retries = append(p.retries, r.now.Add(time.Duration(p.random.IntN(200))*time.Millisecond))
	}
	p.open = append(p.open, openAttempt{
		name: name, router: r, number: number, attempt: attempt, fails: p.random.Float64() < p.fails,
		endsAt: r.now.Add(time.Duration(p.random.Int64N(int64(p.latency) + 1))),
	})
}

// TestDrawnKillsRetryMoreThanTheFleetMay guards against kills, loads and failures in an order that no other test has.
func TestDrawnKillsRetryMoreThanTheFleetMay(t *testing.T) {
	over := 0
	for n := range *retrySequencesFlag {
		seed := *retryFirstFlag + uint64(n)
		random := rand.New(rand.NewPCG(seed, 30)) //nolint:gosec // Reproducible from the seed.
		p := &retryPlay{retryFleet: newRetryFleet(t, 2+random.IntN(6)), random: random, upAt: map[string]time.Duration{}}
		p.always = random.IntN(2) == 0
		var phaseEnd time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += retryTick {
			if at >= phaseEnd {
				p.draw()
				phaseEnd = at + time.Duration(1000+random.IntN(9000))*time.Millisecond
			}
			p.killDrawn(at)
			p.tick()
			p.run(retryTick, p.names...)
			p.keepTime()
		}
		if worst, limit, start := p.worstWindow(); float64(worst) > limit {
			over++
			t.Logf("seed %d: %d retries of %.1f in the window from %s", seed, worst, limit, start)
		}
	}
	NewWithT(t).Expect(over).To(BeZero(), "of %d sequences", *retrySequencesFlag)
}
