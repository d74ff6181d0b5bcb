package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var errNotReady = errors.New("a router did not become ready")

func init() { cases["endless"] = playEndless }

// playEndless: faulty workers break streams off, and answer those that go on with bytes without end.
func playEndless(f *Fleet, trouble bool) (bool, error) {
	const (
		workers     = 4
		faulty      = 2  // Of them.
		breakEvery  = 50 // Of the streams that begin at them, one in so many is broken off.
		streams     = 1800
		streamEvery = 30 * time.Millisecond
		pieces      = 30
		pieceGap    = 50 * time.Millisecond
		orderers    = 10
		linkBytes   = 120_000_000 // A second, at most; a link has 1,000 Mbit/s.
		orderWork   = 100 * time.Millisecond
		playFor     = 60 * time.Second
	)
	f.Store.Put("op/config", Config(7))
	block := strings.Repeat(": these bytes are no answer to any request\n\n", 4000)
	var begun, answers, spoiled atomic.Int64 // Of faulty workers: streams that begin, all answers, those that are spoiled.
	model := func(isFaulty bool) func(c *Call) bool {
		return func(c *Call) bool {
			breaksOff := isFaulty && c.ResumeAfter() == 0 && begun.Add(1)%breakEvery == 0
			f.Record.Add("worker %s runs %s after event %d", c.Worker.ID, c.ID, c.ResumeAfter())
			if isFaulty {
				answers.Add(1)
			}
			if c.StartStream() != nil {
				return false
			}
			if isFaulty && c.ResumeAfter() > 0 {
				spoiled.Add(1)
				begun := time.Now()
				for sent := 0; ; sent += len(block) {
					time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Second / linkBytes)))
					if err := c.Chunk(block); err != nil {
						f.Record.Add("worker %s answered %s with bytes that are no answer until the caller closed after %d MB", c.Worker.ID, c.ID, sent>>20)
						return false
					}
				}
			}
			for i := c.ResumeAfter() + 1; i <= pieces; i++ {
				if breaksOff && i == 5 {
					spoiled.Add(1)
					_ = c.Chunk("id: 5\nda")
					f.Record.Add("worker %s breaks %s off", c.Worker.ID, c.ID)
					return false
				}
				if c.IsGone() || c.Event(i, "a stop") != nil {
					return false
				}
				time.Sleep(pieceGap)
			}
			return c.EndStream() == nil
		}
	}
	for i := range workers {
		w := &Worker{ID: fmt.Sprintf("i-model%d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 64, Behavior: model(trouble && i < faulty)}
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
	for range streams {
		time.Sleep(streamEvery)
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := NewID()
			fields := streamFields(id, id)
			fields["X-Prefix-Hash"] = fmt.Sprintf("5c1e07a2:800,%s:410,%s:250", NewID(), id)
			a := Ask(r.Frontend, http.MethodPost, draftPath+"d", fields, id, 15*time.Second, 3200*time.Millisecond, nil)
			f.Record.Add("client got for stream %s: status %d, complete %v, %d bytes, %v", id, a.Status, a.Complete, len(a.Body), a.Err)
		}()
	}
	wg.Wait()
	<-watched
	f.Record.Add("the process of %s was killed for its memory %d times; orders served: %d", r.Name, kills.Load(), served.Load())
	f.Record.Add("answers of faulty workers: %d, of which spoiled: %d", answers.Load(), spoiled.Load())
	f.Record.Add("orders passed on from a kept connection to a sound worker that closed without an answer: %d (more than 3 break LOST)", lost.Load())
	return lost.Load() > 3, nil
}

// order sends orders one after the other on one connection until that ends, and counts those without an answer.
func (f *Fleet) order(r *Router, end time.Time, ran *sync.Map, lost, served *atomic.Int64) {
	c, err := net.DialTimeout("tcp", r.Frontend, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; time.Now().Before(end); n++ {
		id := NewID()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(c, RequestText(http.MethodPost, orderPath+"o", map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "600"}, "a poster")); err != nil {
			return
		}
		a := &Answer{}
		ReadAnswer(a, reader, http.MethodPost, nil)
		if a.Status != 0 {
			served.Add(1)
			if a.Status != http.StatusOK {
				f.Record.Add("client got for order %s: status %d", id, a.Status)
			}
			if a.Close {
				return
			}
			continue
		}
		time.Sleep(300 * time.Millisecond) // By then its worker has run it.
		_, hasRun := ran.Load(id)
		f.Record.Add("client got no answer to order %s, request %d of its connection: %v; a worker has run it: %v", id, n+1, a.Err, hasRun)
		if n > 0 && hasRun {
			lost.Add(1)
		}
		return
	}
}

// enforceMemory kills a router whose memory exceeds memoryMb, and starts it again, as the platform does.
func (f *Fleet) enforceMemory(r *Router, end time.Time, kills *atomic.Int64) {
	peak := 0
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		mb := r.ResidentMB()
		if mb > peak+20 {
			peak = mb
			f.Record.Add("platform: the process of %s has %d MB", r.Name, mb)
		}
		if mb <= memoryMB {
			continue
		}
		f.Record.Add("platform: the process of %s has %d MB, over memoryMb %d, and is killed", r.Name, mb, memoryMB)
		kills.Add(1)
		r.Signal(syscall.SIGKILL)
		<-r.ended
		peak = 0
		time.Sleep(300 * time.Millisecond)
		if err := r.Start(); err != nil {
			f.Record.Add("could not start %s: %v", r.Name, err)
			return
		}
		r.AwaitReady(5 * time.Second)
	}
}

// startDesk starts the workers of the other service, and returns the IDs of the orders that they have run.
func (f *Fleet) startDesk(work time.Duration) (*sync.Map, error) {
	ran := &sync.Map{}
	for i := range 3 {
		w := &Worker{ID: fmt.Sprintf("i-desk%d", i), Service: deskService, Zone: zones[i], Version: "v1", Slots: 6, Behavior: func(c *Call) bool {
			time.Sleep(work)
			ran.Store(c.ID, true)
			c.Respond(http.StatusOK, "ordered "+c.ID)
			return true
		}}
		if err := f.StartWorker(f.IP(20+i), w); err != nil {
			return nil, err
		}
	}
	return ran, nil
}
