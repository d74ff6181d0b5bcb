package dtloop

import (
	"context"
	"time"
)

// Limits of event processing.
const (
	maxEventBatch    = 256 // Events processed in a row before the timer or a new request is served.
	eventQueueFactor = 4   // Capacity of the event queue as a multiple of that of the request queue.
)

// reducer is a state machine. Step applies an event and returns its effects.
type reducer[E, F any] interface {
	Step(ev E, now time.Time) []F
}

// performer carries out effects without blocking the loop; AfterStep is called after the
// effects of each step with its duration.
type performer[S, F any] interface {
	Perform(e F)
	AfterStep(s S, took time.Duration)
}

// TimerBinding connects the loop's timer to the reducer's effects and events.
type TimerBinding[E, F any] struct {
	Deadline func(F) (time.Time, bool) // Returns the time of a set-timer effect, or false for other effects.
	Event    E                         // Event to process at that time.
	MaxIdle  time.Duration             // Longest time between two events unless the process is paused; zero if there is none.
	// Paused returns the event to process first after a longer time, a part of which the steady clock may not have counted.
	Paused func(gap, uncounted time.Duration) E
}

// Loop applies events of type E to a state of type S and performs the resulting effects of
// type F.
type Loop[S reducer[E, F], E, F any] struct {
	state     S
	binding   TimerBinding[E, F]
	requests  chan E
	events    chan E
	calls     chan func(S)
	done      chan struct{}
	timer     *time.Timer
	lastStep  time.Time
	suspended time.Duration // For how long the host had been suspended when that was last asked.
}

// New returns a loop that queues up to capacity new requests and, separately, up to
// eventQueueFactor times as many other events.
func New[S reducer[E, F], E, F any](s S, binding TimerBinding[E, F], capacity int) *Loop[S, E, F] {
	return &Loop[S, E, F]{
		state: s, binding: binding,
		requests: make(chan E, capacity),
		events:   make(chan E, capacity*eventQueueFactor),
		calls:    make(chan func(S)),
		done:     make(chan struct{}),
		timer:    time.NewTimer(0),

		suspended: hostSuspension(),
	}
}

// Post queues an event and blocks while the queue is full; it discards the event if the loop
// has ended.
func (l *Loop[S, E, F]) Post(ev E) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// Offer queues a new request, or news of one that Post would put before it, without blocking and reports whether there was room.
func (l *Loop[S, E, F]) Offer(ev E) bool {
	select {
	case l.requests <- ev:
		return true
	default:
		return false
	}
}

// Do runs f on the loop's goroutine, waits for it and reports whether it ran; it does not run
// f if the loop has ended.
func (l *Loop[S, E, F]) Do(f func(S)) bool {
	done := make(chan struct{})
	call := func(s S) {
		f(s)
		close(done)
	}
	select {
	case l.calls <- call:
		<-done
		return true
	case <-l.done:
		return false
	}
}

// Run processes events until ctx ends; events that are not new requests take precedence.
func (l *Loop[S, E, F]) Run(ctx context.Context, p performer[S, F]) {
	defer close(l.done)
	defer l.timer.Stop()
	for {
		select {
		case ev := <-l.events:
			l.step(ev, p)
			l.stepQueued(p)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev, p)
			l.stepQueued(p)
		case ev := <-l.requests:
			l.step(ev, p)
		case <-l.timer.C:
			l.step(l.binding.Event, p)
		case f := <-l.calls:
			f(l.state)
		}
	}
}

// stepQueued processes a batch of queued events, then the timer or one new request.
func (l *Loop[S, E, F]) stepQueued(p performer[S, F]) {
	for range maxEventBatch {
		select {
		case ev := <-l.events:
			l.step(ev, p)
			continue
		default:
		}
		break
	}
	select {
	case <-l.timer.C:
		l.step(l.binding.Event, p)
	case ev := <-l.requests:
		l.step(ev, p)
	default:
	}
}

func (l *Loop[S, E, F]) step(ev E, p performer[S, F]) {
	now := time.Now()
	if gap, uncounted := l.idleTime(now); gap > l.binding.MaxIdle {
		l.apply(l.binding.Paused(gap, uncounted), now, p)
	}
	l.lastStep = now
	l.apply(ev, now, p)
}

// idleTime returns the time since the last step, and the part of it in which the host was suspended. Only the wall clock shows a
// suspension at little cost, but it may have been set.
func (l *Loop[S, E, F]) idleTime(now time.Time) (gap, uncounted time.Duration) {
	if l.binding.MaxIdle == 0 || l.lastStep.IsZero() {
		return 0, 0
	}
	gap = now.Sub(l.lastStep)
	if max(gap, now.Round(0).Sub(l.lastStep.Round(0))) <= l.binding.MaxIdle {
		return gap, 0
	}
	suspended := hostSuspension()
	uncounted = suspended - l.suspended
	l.suspended = suspended
	return gap + uncounted, uncounted
}

func (l *Loop[S, E, F]) apply(ev E, now time.Time, p performer[S, F]) {
	for _, e := range l.state.Step(ev, now) {
		if deadline, ok := l.binding.Deadline(e); ok {
			l.timer.Reset(time.Until(deadline))
			continue
		}
		p.Perform(e)
	}
	p.AfterStep(l.state, time.Since(now))
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
