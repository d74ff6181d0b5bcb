package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["silent"] = playSilent }

// playSilent: a worker is silent for a while in the middle of its streams, and the machine gets SIGHUP.
func playSilent(f *Fleet, trouble bool) (bool, error) {
	const silence = 2 * time.Second
	f.Store.Put("op/config", Config(7))
	behavior := func(c *Call) bool {
		f.Record.Add("worker %s runs %s after event %d", c.Worker.ID, c.ID, c.ResumeAfter())
		if c.StartStream() != nil {
			return false
		}
		for i := c.ResumeAfter() + 1; i <= 20; i++ {
			if i == 10 && trouble {
				time.Sleep(silence)
			}
			if c.IsGone() {
				f.Record.Add("worker %s: the connection of %s was closed before event %d", c.Worker.ID, c.ID, i)
				return false
			}
			if c.Event(i, "a stop") != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
		return c.EndStream() == nil
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
	r.Signal(syscall.SIGHUP)
	f.Record.Add("%s gets SIGHUP", r.Name)
	time.Sleep(200 * time.Millisecond)
	cut := atomic.Int64{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			a := Ask(r.Frontend, http.MethodPost, draftPath+"d", streamFields(id, id), "{}", 15*time.Second, 3200*time.Millisecond, nil)
			f.Record.Add("client got for %s: status %d, complete %v, %d bytes after %v, %v", id, a.Status, a.Complete, len(a.Body), a.Took, a.Err)
			if !a.Complete {
				cut.Add(1)
			}
		}()
	}
	wg.Wait()
	f.Record.Add("streams that ended without a complete answer: %d", cut.Load())
	return cut.Load() > 0, nil
}
