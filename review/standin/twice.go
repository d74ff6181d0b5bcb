package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice: a worker that doesn't drop a request when its connection closes is silent for a while in a stream.
func playTwice(f *Fleet, trouble bool) (bool, error) {
	const (
		silence = 2 * time.Second
		lag     = 400 * time.Millisecond
		streams = 8
		pieces  = 20
	)
	f.Store.Put("op/config", Config(7))
	var mu sync.Mutex
	first := map[string]string{}           // Worker that has begun a stream, by request.
	goesOnAt := map[string]time.Time{}     // When it went on at another worker.
	workedOn := map[string]time.Duration{} // How long the first one worked on after that.
	behavior := func(c *Call) bool {
		f.Record.Add("worker %s runs %s after event %d", c.Worker.ID, c.ID, c.ResumeAfter())
		mu.Lock()
		isFirst := first[c.ID] == ""
		if isFirst {
			first[c.ID] = c.Worker.ID
		} else {
			goesOnAt[c.ID] = time.Now()
		}
		mu.Unlock()
		_ = c.StartStream()
		for i := c.ResumeAfter() + 1; i <= pieces; i++ {
			if i == pieces/2 && trouble && isFirst {
				time.Sleep(silence)
			}
			_ = c.Event(i, "a stop")
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			if at, ok := goesOnAt[c.ID]; ok && isFirst {
				workedOn[c.ID] = time.Since(at)
			}
			mu.Unlock()
		}
		return c.EndStream() == nil
	}
	for i, id := range []string{"i-model0", "i-model1"} {
		w := &Worker{ID: id, Service: modelService, Zone: zones[i], Version: "v1", Slots: 64, Behavior: behavior}
		if err := f.StartWorker(f.IP(10+i), w); err != nil {
			return false, err
		}
	}
	if err := f.StartRouters(0); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			a := Ask(f.Routers[0].Frontend, http.MethodPost, draftPath+"d", streamFields(id, id), id, 15*time.Second, 3200*time.Millisecond, nil)
			f.Record.Add("client got for %s: status %d, complete %v", id, a.Status, a.Complete)
		}()
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	n := 0
	for id, d := range workedOn {
		f.Record.Add("worker %s worked on %s until %v after it had gone on at another worker", first[id], id, d)
		if d > lag {
			n++
		}
	}
	f.Record.Add("streams that went on at another worker while the one before still worked on them 400 ms later: %d", n)
	return n > 0, nil
}
