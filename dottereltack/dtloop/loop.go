package dtloop

import (
	"context"
	"time"
)

// Sizes of the queues.
const (
	maxEventBatch    = 256 // Events stepped in a row before a new request gets its turn.
	eventQueueFactor = 4   // Size of the event queue as a multiple of that for new requests.
)

// reducer is a state that only Step changes; it returns the effects of an event.
type reducer[E, F any] interface {
	Step(ev E, now time.Time) []F
}

// performer carries out the effects of a step. It must not block the loop.
type performer[S, F any] interface {
	Perform(e F)
	AfterStep(s S, took time.Duration)
}

// Waker connects the loop's timer to the reducer.
type Waker[E, F any] struct {
	Deadline func(F) (time.Time, bool) // The time of a wake-up effect; false for other effects.
	Event    E                         // The event that is stepped at that time.
}

// Loop steps a state of type S with events of type E and performs the resulting effects of
// type F.
type Loop[S reducer[E, F], E, F any] struct {
	state    S
	waker    Waker[E, F]
	requests chan E
	events   chan E
	calls    chan func(S)
	done     chan struct{}
	timer    *time.Timer
}

// New returns a loop that queues up to capacity new requests. All other events have a
// queue of their own, several times as large.
func New[S reducer[E, F], E, F any](s S, w Waker[E, F], capacity int) *Loop[S, E, F] {
	return &Loop[S, E, F]{
		state: s, waker: w,
		requests: make(chan E, capacity),
		events:   make(chan E, capacity*eventQueueFactor),
		calls:    make(chan func(S)),
		done:     make(chan struct{}),
		timer:    time.NewTimer(0),
	}
}

// Post queues an event that must not be lost. It blocks while the queue is full.
func (l *Loop[S, E, F]) Post(ev E) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// Offer queues a new request without blocking and reports whether there was room.
func (l *Loop[S, E, F]) Offer(ev E) bool {
	select {
	case l.requests <- ev:
		return true
	default:
		return false
	}
}

// Do runs f on the loop's goroutine and waits for it. It returns false if the loop has ended.
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

// Run steps the state until ctx ends. Events that are not new requests take precedence.
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
			l.step(l.waker.Event, p)
		case f := <-l.calls:
			f(l.state)
		}
	}
}

// stepQueued steps a batch of queued events, then gives the timer or one new request its turn.
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
		l.step(l.waker.Event, p)
	case ev := <-l.requests:
		l.step(ev, p)
	default:
	}
}

// step applies one event and performs its effects.
func (l *Loop[S, E, F]) step(ev E, p performer[S, F]) {
	now := time.Now()
	for _, e := range l.state.Step(ev, now) {
		if at, ok := l.waker.Deadline(e); ok {
			l.timer.Reset(time.Until(at))
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
