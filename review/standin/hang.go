package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hang"] = playHang }

// playHang: a worker crashes while it reads the prompts of requests that share many parts.
func playHang(f *Fleet, trouble bool) (bool, error) {
	const (
		parts     = 738 // Of a prompt of 11,808 tokens, one for each block of 16; the head stays under maxHeaderBytes.
		workers   = 6
		group     = 100 // Requests of a group, which share all parts but their last.
		prefill   = 2 * time.Second
		crashAt   = 800 * time.Millisecond // After the first group.
		backAfter = 3 * time.Second
		secondAt  = 1200 * time.Millisecond
		pieces    = 20
		pieceGap  = 50 * time.Millisecond
		orderers  = 20
		timeout   = 600 * time.Millisecond // timeoutMs of the orders' route.
		slack     = 500 * time.Millisecond
		playFor   = 30 * time.Second
		patience  = 5 * time.Second // Of the clients that send orders.
	)
	f.Store.Put("op/config", Config(7))
	var all []*Worker
	var active atomic.Int64
	for i := range workers {
		w := &Worker{ID: fmt.Sprintf("i-model%d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 64, Behavior: func(c *Call) bool {
			f.Record.Add("worker %s runs %s", c.Worker.ID, c.ID)
			active.Add(1)
			defer active.Add(-1)
			if c.StartStream() != nil {
				return false
			}
			select {
			case <-time.After(prefill):
			case <-c.Gone:
				return false
			}
			for i := c.ResumeAfter() + 1; i <= pieces; i++ {
				if c.IsGone() || c.Event(i, "a stop") != nil {
					return false
				}
				time.Sleep(pieceGap)
			}
			return c.EndStream() == nil
		}}
		if err := f.StartWorker(f.IP(10+i), w); err != nil {
			return false, err
		}
		all = append(all, w)
	}
	if _, err := f.startDesk(20 * time.Millisecond); err != nil {
		return false, err
	}
	if err := f.StartRouters(0, 1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(playFor)
	var wg sync.WaitGroup
	var served, late, veryLate atomic.Int64
	var mu sync.Mutex
	lastServed, longest := map[string]time.Time{}, map[string]time.Duration{} // By router.
	for n := range orderers {
		r := f.Routers[n%len(f.Routers)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				id := NewID()
				fields := map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "5000"}
				a := Ask(r.Frontend, http.MethodPost, orderPath+"o", fields, "a poster", patience, 0, nil)
				if a.Took > timeout {
					late.Add(1)
					f.Record.Add("client got from %s for order %s: status %d after %v", r.Name, id, a.Status, a.Took)
				}
				if a.Took > timeout+slack {
					veryLate.Add(1)
				}
				if a.Status == http.StatusOK {
					served.Add(1)
				}
				if a.Status == http.StatusOK {
					mu.Lock()
					if gap := time.Since(lastServed[r.Name]); lastServed[r.Name].IsZero() || gap > longest[r.Name] {
						longest[r.Name] = gap
					}
					if lastServed[r.Name].IsZero() {
						longest[r.Name] = 0
					}
					lastServed[r.Name] = time.Now()
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	shared := make([]string, parts)
	for i := range shared {
		shared[i] = NewID()[:8] + ":16"
	}
	prefix := strings.Join(shared, ",")
	ask := func(r *Router) {
		defer wg.Done()
		id := NewID()
		fields := streamFields(id, id)
		fields["X-Prefix-Hash"], fields["X-Token-Usage"] = prefix+","+id+":16", "11824,80"
		a := Ask(r.Frontend, http.MethodPost, stopPath+"d", fields, id, 15*time.Second, 3200*time.Millisecond, nil)
		f.Record.Add("client got for stream %s: status %d, complete %v, %d bytes, after %v", id, a.Status, a.Complete, len(a.Body), a.Took)
	}
	start := time.Now()
	for n := range group {
		wg.Add(1)
		go ask(f.Routers[n%len(f.Routers)])
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(time.Until(start.Add(crashAt)))
	if trouble {
		busiest := all[0]
		for _, w := range all {
			if w.Connections() > busiest.Connections() {
				busiest = w
			}
		}
		f.Record.Add("worker %s crashes with %d connections", busiest.ID, busiest.Connections())
		busiest.Restart(backAfter)
	}
	time.Sleep(time.Until(start.Add(secondAt)))
	for n := range group {
		wg.Add(1)
		go ask(f.Routers[n%len(f.Routers)])
		time.Sleep(4 * time.Millisecond)
	}
	wg.Wait()
	for _, r := range f.Routers { // A router that stands still to the end serves nothing more.
		longest[r.Name] = max(longest[r.Name], time.Since(lastServed[r.Name]))
		f.Record.Add("longest time in which %s served no order: %v", r.Name, longest[r.Name])
	}
	f.Record.Add("orders served: %d", served.Load())
	f.Record.Add("orders without an answer at timeoutMs: %d; of these without one half a second later: %d (more than half of 8 or more break CONFIG)", late.Load(), veryLate.Load())
	return late.Load() >= 8 && veryLate.Load()*2 > late.Load(), nil
}
