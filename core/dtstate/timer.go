package dtstate

import (
	"container/heap"
	"time"
)

// TimerKind identifies the handler of a timer.
type TimerKind uint8

// Kinds of timers.
const (
	timerHeartbeat TimerKind = iota
	timerRequest
	timerQueueCheck
	timerLoads
	timerPage
	timerLedger
	timerSuspect
	timerVerdict
	timerDroppedProbe
	timerHomeWait
)

// Timer is a scheduled call of a handler.
type Timer struct {
	At       time.Time
	Kind     TimerKind
	Key      string // Passed to the handler, such as a request ID or a group.
	Number   uint64 // Passed to the handler, which ignores a timer with an obsolete number.
	sequence uint64
}

// Timers holds the pending timers.
type Timers struct {
	Heap              timerHeap
	SlotRequestTimers []Timer // All have the same duration and are therefore sorted by time.
	NextWakeAt        time.Time
	lastSequence      uint64
}

type timerHeap []Timer

// Len implements heap.Interface.
func (q timerHeap) Len() int { return len(q) }

// Less implements heap.Interface; timers due at the same time run in the order of
// creation.
func (q timerHeap) Less(i, j int) bool {
	if q[i].At.Equal(q[j].At) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].At.Before(q[j].At)
}

// Swap implements heap.Interface.
func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerHeap) Push(x any) { *q = append(*q, x.(Timer)) } //nolint:forcetypeassert // Only Timers pushes.

// Pop implements heap.Interface.
func (q *timerHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = Timer{}
	*q = old[:len(old)-1]
	return last
}

func (s *State) setTimer(now time.Time, d time.Duration, kind TimerKind, key string, n uint64) {
	s.Timers.lastSequence++
	heap.Push(&s.Timers.Heap, Timer{At: now.Add(d), Kind: kind, Key: key, Number: n, sequence: s.Timers.lastSequence})
}

// setSlotRequestTimer sets the timer of a slot request and drops obsolete ones from the
// front of the list.
func (s *State) setSlotRequestTimer(now time.Time, id RequestID, n uint64) {
	t := &s.Timers
	for len(t.SlotRequestTimers) > 0 && !s.isTimerCurrent(&t.SlotRequestTimers[0]) {
		t.SlotRequestTimers = t.SlotRequestTimers[1:]
	}
	t.lastSequence++
	t.SlotRequestTimers = append(t.SlotRequestTimers, Timer{At: now.Add(slotRequestTimeout), Kind: timerRequest, Key: string(id), Number: n, sequence: t.lastSequence})
}

func (s *State) isTimerCurrent(t *Timer) bool {
	r := s.Entry.Requests[RequestID(t.Key)]
	return r != nil && r.timerNumber == t.Number
}

// nextTimer returns the earliest timer, or nil.
func (t *Timers) nextTimer() *Timer {
	switch {
	case len(t.Heap) == 0 && len(t.SlotRequestTimers) == 0:
		return nil
	case len(t.Heap) == 0:
		return &t.SlotRequestTimers[0]
	case len(t.SlotRequestTimers) > 0 && t.SlotRequestTimers[0].At.Before(t.Heap[0].At):
		return &t.SlotRequestTimers[0]
	}
	return &t.Heap[0]
}

// popTimer removes and returns the earliest timer, of which there must be one.
func (t *Timers) popTimer() Timer {
	if len(t.SlotRequestTimers) > 0 && t.nextTimer() == &t.SlotRequestTimers[0] {
		first := t.SlotRequestTimers[0]
		t.SlotRequestTimers = t.SlotRequestTimers[1:]
		return first
	}
	first, _ := heap.Pop(&t.Heap).(Timer)
	return first
}

func (s *State) runTimers(now time.Time) {
	for next := s.Timers.nextTimer(); next != nil && !next.At.After(now); next = s.Timers.nextTimer() {
		s.runTimer(s.Timers.popTimer(), now)
	}
}

func (s *State) runTimer(t Timer, now time.Time) {
	switch t.Kind {
	case timerHeartbeat:
		s.heartbeatTick(now)
	case timerRequest:
		s.handleRequestTimer(RequestID(t.Key), t.Number, now)
	case timerQueueCheck:
		s.handleQueueTimer(t.Key, now)
	case timerLoads:
		s.sendLoads(t.Key, now)
	case timerPage:
		s.handlePageTimer(t.Key, now)
	case timerLedger:
		s.handleLedgerTimer(now)
	case timerSuspect:
		s.handleSuspectTimer(RouterID(t.Key), t.Number, now)
	case timerHomeWait:
		s.handleHomeWaitTimer(t.Key, now)
	case timerVerdict:
		s.handleVerdictTimer(ServerID(t.Key), now)
	case timerDroppedProbe:
		s.repeatDroppedProbe(ServerID(t.Key))
	}
}

// scheduleWake requests a TimerFired event at the earliest timer, if that has changed.
func (s *State) scheduleWake(now time.Time) {
	next := s.Timers.nextTimer()
	if next == nil {
		return
	}
	at := next.At
	if at.Equal(s.Timers.NextWakeAt) && at.After(now) {
		return
	}
	s.Timers.NextWakeAt = at
	s.emit(SetTimer{At: at})
}
