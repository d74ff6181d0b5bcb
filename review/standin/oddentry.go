package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["oddentry"] = playOddEntry }

// playOddEntry: another writer's entry, which lacks fields, stands among those of the workers.
func playOddEntry(f *Fleet, trouble bool) (bool, error) {
	const (
		clients = 10
		playFor = 15 * time.Second
	)
	f.Store.Put("op/config", Config(7))
	if _, err := f.startDesk(20 * time.Millisecond); err != nil {
		return false, err
	}
	if err := f.StartRouters(0, 1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.Store.Put("servers/edge-centru-b-2", map[string]any{
			"service": deskService, "address": f.Routers[1].Frontend, "zone": zones[1], "slots": 6, "state": "ready",
		})
		f.Record.Add("another writer writes %s", f.Store.Get("servers/edge-centru-b-2"))
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var all, denied atomic.Int64
	statuses := map[int]int{}
	var mu sync.Mutex
	end := time.Now().Add(playFor)
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := f.Routers[n%2]
			for time.Now().Before(end) {
				id := NewID()
				a := Ask(r.Frontend, http.MethodPost, orderPath+"o", map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "600"}, "a poster", 2*time.Second, 0, nil)
				all.Add(1)
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
				if a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden || a.Status == http.StatusNotFound {
					denied.Add(1)
					f.Record.Add("client got from %s for order %s: status %d", r.Name, id, a.Status)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	f.Record.Add("orders: %d, statuses %v; ended with 401, 403 or 404: %d", all.Load(), statuses, denied.Load())
	return denied.Load() > 5+all.Load()/500, nil
}
