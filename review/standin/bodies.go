package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = playBodies }

// playBodies: one tenant sends many times its usual, with bodies as large as the operator's limits allow.
func playBodies(f *Fleet, trouble bool) (bool, error) {
	const (
		bodyBytes = 4 << 20 // maxBodyBytes.
		usual     = 3       // Streams a second.
		times     = 7.5
		hotAt     = 4 * time.Second
		hotFor    = 6500 * time.Millisecond
		pieces    = 50
		pieceGap  = 100 * time.Millisecond
		orderers  = 10
		orderWork = 100 * time.Millisecond
		playFor   = 20 * time.Second
	)
	f.Store.Put("op/config", Config(7))
	for i := range 4 {
		w := &Worker{ID: fmt.Sprintf("i-model%d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 64, Behavior: func(c *Call) bool {
			f.Record.Add("worker %s runs %s with a body of %d bytes", c.Worker.ID, c.ID, len(c.Body))
			c.Body = nil
			if c.StartStream() != nil {
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
	}
	ran, err := f.startDesk(orderWork)
	if err != nil {
		return false, err
	}
	if err := f.StartRouters(0, 1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	r := f.Routers[0]
	end := time.Now().Add(playFor)
	kills := atomic.Int64{}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		f.enforceMemory(r, end, &kills)
	}()
	var wg sync.WaitGroup
	lost, served := atomic.Int64{}, atomic.Int64{}
	for range orderers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				f.order(r, end, ran, &lost, &served)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	body := strings.Repeat("a", bodyBytes)
	for start := time.Now(); time.Now().Before(end); {
		rate := float64(usual)
		if since := time.Since(start); trouble && since >= hotAt && since < hotAt+hotFor {
			rate *= times
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			a := Ask(r.Frontend, http.MethodPost, draftPath+"d", streamFields(id, id), body, 15*time.Second, 3200*time.Millisecond, nil)
			f.Record.Add("client got for stream %s: status %d, complete %v, %d bytes, %v", id, a.Status, a.Complete, len(a.Body), a.Err)
		}()
	}
	wg.Wait()
	<-watched
	f.Record.Add("the process of %s was killed for its memory %d times; orders served: %d", r.Name, kills.Load(), served.Load())
	f.Record.Add("orders passed on from a kept connection to a sound worker that closed without an answer: %d (more than 3 break LOST)", lost.Load())
	return lost.Load() > 3, nil
}
