package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = playPoison }

// playPoison: one part of a prompt crashes each worker that begins to write an answer on it.
func playPoison(f *Fleet, trouble bool) (bool, error) {
	const (
		deadlyPart  = "dead0001"
		deadlyEvery = 10 // One request in so many has the part.
		workers     = 9
		backAfter   = 3 * time.Second
		requests    = 400
		sendEvery   = 75 * time.Millisecond
		pieces      = 20
		pieceGap    = 50 * time.Millisecond
		contact     = 3 * time.Second // contactMs.
	)
	f.Store.Put("op/config", Config(7))
	var mu sync.Mutex
	var crashes []time.Time
	late := 0
	behavior := func(c *Call) bool {
		isDeadly := strings.Contains(c.Request.Header.Get("X-Prefix-Hash"), deadlyPart)
		if isDeadly {
			mu.Lock()
			if len(crashes) >= 5 && time.Since(crashes[4]) > contact {
				late++
			}
			mu.Unlock()
		}
		f.Record.Add("worker %s runs %s after event %d, part %s in it: %v", c.Worker.ID, c.ID, c.ResumeAfter(), deadlyPart, isDeadly)
		if c.StartStream() != nil {
			return false
		}
		for i := c.ResumeAfter() + 1; i <= pieces; i++ {
			if c.IsGone() || c.Event(i, "a stop") != nil {
				return false
			}
			time.Sleep(pieceGap)
			if isDeadly {
				if c.Worker.Restart(backAfter) {
					f.Record.Add("worker %s has begun to write its answer to %s and crashes", c.Worker.ID, c.ID)
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
				return false
			}
		}
		return c.EndStream() == nil
	}
	for i := range workers {
		w := &Worker{ID: fmt.Sprintf("i-model%d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 64, Behavior: behavior}
		if err := f.StartWorker(f.IP(10+i), w); err != nil {
			return false, err
		}
	}
	if err := f.StartRouters(0, 1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var lost atomic.Int64
	for n := range requests {
		time.Sleep(sendEvery)
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			fields := streamFields(id, id)
			isDeadly := trouble && n%deadlyEvery == 0
			if isDeadly { // The first part is shared with sound requests.
				fields["X-Prefix-Hash"] = "5c1e07a2:800," + deadlyPart + ":410," + id + ":250"
			}
			r := f.Routers[(n+n/deadlyEvery)%len(f.Routers)]
			a := Ask(r.Frontend, http.MethodPost, draftPath+"d", fields, id, 15*time.Second, 3200*time.Millisecond, nil)
			f.Record.Add("client got from %s for %s: status %d, complete %v", r.Name, id, a.Status, a.Complete)
			if !isDeadly && a.Status == http.StatusOK && !a.Complete {
				lost.Add(1)
			}
		}()
	}
	wg.Wait()
	f.Record.Add("crashes of workers: %d; sound streams that were broken off: %d", len(crashes), lost.Load())
	f.Record.Add("requests with the part that reached workers over contactMs after the fifth crash: %d (more than 3 break BUDGET)", late)
	return late > 3, nil
}
