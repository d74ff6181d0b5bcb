package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

// playVersions: workers of two software versions serve side by side, those of the second turn requests away when
// they are full, and a machine loses power once and comes back.
func playVersions(f *Fleet, trouble bool) (bool, error) {
	const (
		slots       = 6 // Of a worker of the second version.
		pause       = 4 // Seconds that a full worker names in Retry-After.
		pieces      = 25
		pieceGap    = 50 * time.Millisecond
		streamEvery = 40 * time.Millisecond
		powerAt     = 4 * time.Second
		darkFor     = time.Second
		sendFor     = 9 * time.Second
		maxGap      = 3200 * time.Millisecond // Clients abandon a stream after it: 4 x sloMs, 8 x itlTargetMs.
	)
	f.Store.Put("op/config", Config(7))
	var mu sync.Mutex
	active := map[string]int{}
	behavior := func(c *Call) bool {
		w := c.Worker
		mu.Lock()
		if active[w.ID] >= w.Slots {
			mu.Unlock()
			f.Record.Add("worker %s (%s) is full and turns %s away", w.ID, w.Version, c.ID)
			c.Refuse(http.StatusServiceUnavailable, pause)
			return true
		}
		active[w.ID]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			active[w.ID]--
			mu.Unlock()
		}()
		f.Record.Add("worker %s (%s) runs %s after event %d", w.ID, w.Version, c.ID, c.ResumeAfter())
		if c.StartStream() != nil {
			return false
		}
		for i := c.ResumeAfter() + 1; i <= pieces; i++ {
			if c.Event(i, w.Version) != nil {
				return false
			}
			select {
			case <-c.Gone:
				return false
			case <-time.After(pieceGap):
			}
		}
		return c.EndStream() == nil
	}
	for i := range 4 {
		w := &Worker{ID: fmt.Sprintf("i-model%d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 400, Behavior: behavior}
		if i >= 2 {
			w.Version, w.Slots = "v2", slots
		}
		if err := f.StartWorker(f.IP(10+i), w); err != nil {
			return false, err
		}
	}
	if err := f.StartRouters(0, 0, 0, 1, 1, 1, 2, 2); err != nil {
		return false, err
	}
	first := f.Routers[0]
	ingress, err := StartIngress(f.IP(201), first)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	mixed, resumed, resumedOn := 0, 0, 0
	isDark := false
	start := time.Now()
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(powerAt)
			f.Record.Add("%s loses power; streams/ in the store: %v", first.Name, f.Store.Keys("streams/"))
			mu.Lock()
			isDark = true
			mu.Unlock()
			ingress.LosePower()
			first.Kill()
			time.Sleep(darkFor)
			_ = first.Start()
			first.AwaitReady(5 * time.Second)
			f.Record.Add("%s is back", first.Name)
			mu.Lock()
			isDark = false
			mu.Unlock()
		}()
	}
	for n := 0; time.Since(start) < sendFor; n++ {
		time.Sleep(streamEvery)
		mu.Lock()
		skip := isDark // The platform sends new connections elsewhere.
		mu.Unlock()
		if skip {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			deadline := time.Now().Add(15 * time.Second)
			versions, last := map[string]bool{}, ""
			onLine := func(line string) {
				if value, ok := strings.CutPrefix(line, "id: "); ok {
					last = value
				}
				if value, ok := strings.CutPrefix(line, "data: "); ok {
					versions[value] = true
				}
			}
			a := Ask(ingress.Address, http.MethodPost, draftPath+"d", streamFields(id, id), id, 15*time.Second, maxGap, onLine)
			f.Record.Add("client got for %s: status %d, complete %v, last event %q, versions %v", id, a.Status, a.Complete, last, names(versions))
			if a.Complete || last == "" {
				return
			}
			again := NewID()
			fields := streamFields(again, id)
			fields["Last-Event-Id"], fields["Resumes"] = last, id
			fields["X-Deadline-Ms"] = fmt.Sprint(time.Until(deadline).Milliseconds())
			other := f.Routers[1+n%(len(f.Routers)-1)]
			before := last
			b := Ask(other.Frontend, http.MethodPost, draftPath+"d", fields, id, time.Until(deadline), maxGap, onLine)
			f.Record.Add("client got for %s, which goes on with %s after event %s at %s: status %d, complete %v, last event %q, versions %v", again, id, before, other.Name, b.Status, b.Complete, last, names(versions))
			mu.Lock()
			defer mu.Unlock()
			resumed++
			if last != before {
				resumedOn++
			}
			if len(versions) > 1 {
				mixed++
			}
		}()
	}
	wg.Wait()
	f.Record.Add("streams taken up: %d, of which %d went on; streams with events of two software versions: %d (more than 2 break ORDER)", resumed, resumedOn, mixed)
	return mixed > 2, nil
}

func names(set map[string]bool) []string {
	var list []string
	for _, name := range []string{"v1", "v2"} {
		if set[name] {
			list = append(list, name)
		}
	}
	return list
}
