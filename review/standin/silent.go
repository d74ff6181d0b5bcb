package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["silent"] = playSilent }

// Figures of the site's engines and of the streams that come to one of them.
const (
	engineTokens  = 471922 // Memory.
	promptTokens  = 7100
	tokensPerMs   = 56.6 // Of a prompt that is read.
	eventTokens   = 6
	engineTick    = 44 * time.Millisecond // Of an event, at 64 requests at once.
	shortStream   = 100                   // Events.
	longStream    = 150
	streamsAtOnce = 64 // As many as the worker has slots.
	streamsUsual  = 38 // Their memory never runs out.
)

// run is a stream that the engine generates.
type run struct {
	id        string
	next      int // Event that comes next.
	length    int
	tokens    int
	preempted bool
	readAgain time.Time // When the prompt of a preempted run has been read again.
	events    chan int  // Closed at the end.
}

// engine generates the events of all runs. When memory runs out, the newest run is preempted, and read in again
// once there is room, as PROTOCOL.md says.
type engine struct {
	mu     sync.Mutex
	runs   []*run // In the order of their starts.
	record *Record
}

func (e *engine) start(id string, after, length int) *run {
	r := &run{id: id, next: after + 1, length: length, tokens: promptTokens + after*eventTokens, events: make(chan int, longStream)}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	return r
}

func (e *engine) drop(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.runs {
		if e.runs[i] == r {
			e.runs = append(e.runs[:i:i], e.runs[i+1:]...)
			return
		}
	}
}

func (e *engine) used() int {
	n := 0
	for _, r := range e.runs {
		if !r.preempted {
			n += r.tokens
		}
	}
	return n
}

func (e *engine) loop() {
	for range time.Tick(engineTick) {
		e.mu.Lock()
		e.step(time.Now())
		e.mu.Unlock()
	}
}

func (e *engine) step(now time.Time) {
	for _, r := range e.runs { // The oldest preempted run first.
		if r.preempted && e.used()+r.tokens+longStream*eventTokens <= engineTokens {
			r.preempted = false
			r.readAgain = now.Add(time.Duration(float64(r.tokens) / tokensPerMs * float64(time.Millisecond)))
			e.record.Add("worker reads %s in again", r.id)
		}
	}
	var kept []*run
	for _, r := range e.runs {
		if !r.preempted && !now.Before(r.readAgain) {
			r.events <- r.next
			r.next++
			r.tokens += eventTokens
		}
		if r.next > r.length {
			close(r.events)
			continue
		}
		kept = append(kept, r)
	}
	e.runs = kept
	for i := len(e.runs) - 1; i >= 0 && e.used() > engineTokens; i-- {
		if !e.runs[i].preempted {
			e.runs[i].preempted = true
			e.record.Add("worker is out of memory and preempts %s, the newest, before event %d", e.runs[i].id, e.runs[i].next)
		}
	}
}

// playSilent: the memory of the only worker runs out, so that it preempts streams in their middle; the machine has
// got SIGHUP for a changed settings file.
func playSilent(f *Fleet, trouble bool) (bool, error) {
	f.Store.Put("op/config", Config(7))
	e := &engine{record: f.Record}
	go e.loop()
	var lengths sync.Map
	behavior := func(c *Call) bool {
		f.Record.Add("worker %s runs %s after event %d", c.Worker.ID, c.ID, c.ResumeAfter())
		if c.StartStream() != nil {
			return false
		}
		length, _ := lengths.Load(c.ID)
		r := e.start(c.ID, c.ResumeAfter(), length.(int))
		for {
			select {
			case <-c.Gone:
				f.Record.Add("worker %s drops %s before event %d: its connection was closed", c.Worker.ID, c.ID, r.next)
				e.drop(r)
				return false
			case id, ok := <-r.events:
				if !ok {
					return c.EndStream() == nil
				}
				if c.Event(id, "a stop") != nil {
					e.drop(r)
					return false
				}
			}
		}
	}
	w := &Worker{ID: "i-model0", Service: modelService, Zone: zones[0], Version: "v1", Slots: 64, Behavior: behavior}
	if err := f.StartWorker(f.IP(10), w); err != nil {
		return false, err
	}
	if err := f.StartRouters(0, 1, 2, 0); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	r := f.Routers[0]
	if err := r.ChangeSettings(); err != nil {
		return false, err
	}
	r.Signal(syscall.SIGHUP)
	f.Record.Add("%s gets SIGHUP, its settings file has changed", r.Name)
	time.Sleep(200 * time.Millisecond)
	streams := streamsUsual
	if trouble {
		streams = streamsAtOnce
	}
	var cut atomic.Int64
	var wg sync.WaitGroup
	for n := range streams {
		time.Sleep(5 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			lengths.Store(id, shortStream)
			if n%2 == 1 {
				lengths.Store(id, longStream)
			}
			fields := streamFields(id, id)
			fields["X-Prefix-Hash"], fields["X-Token-Usage"] = "5c1e07a2:800,91bd3f06:410,"+id+":5890", "7100,660"
			var last time.Time
			longest := time.Duration(0)
			a := Ask(r.Frontend, http.MethodPost, draftPath+"d", fields, "{}", 15*time.Second, 3200*time.Millisecond, func(string) {
				if !last.IsZero() {
					longest = max(longest, time.Since(last))
				}
				last = time.Now()
			})
			f.Record.Add("client got for %s: status %d, complete %v after %v, longest pause %v, %v", id, a.Status, a.Complete, a.Took, longest, a.Err)
			if !a.Complete {
				cut.Add(1)
			}
		}()
	}
	wg.Wait()
	f.Record.Add("streams of %d that ended without a complete answer: %d", streams, cut.Load())
	return cut.Load() > 0, nil
}
