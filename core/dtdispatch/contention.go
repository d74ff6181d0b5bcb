package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtadmission"
)

// Parameters of the wait for a turn at servers that have no room.
const (
	// maxTurnWaits is the largest number of requests that wait for one service; each of them may hold a body.
	maxTurnWaits = 256
	// turnCheckInterval is the longest time after which a router looks for room while requests wait. Loads change no more
	// often than minCollectInterval without an event.
	turnCheckInterval = 100 * time.Millisecond
	// maxRoomAge is the age up to which what was found of the room is used again, so that a storm of requests does not have
	// it calculated for each of them.
	maxRoomAge = 5 * time.Millisecond
	// waitShare is the part of the time until a request must start that its expected wait may take. More urgent requests
	// that arrive later go first, and a wait that ends with a refusal is lost time for the caller.
	waitShare = 0.5
	// durationWeight is the weight of the last request in the mean duration, which follows within some ten requests.
	durationWeight = 0.1
	// durationDeviations is how much longer than the mean, in mean deviations, a request is expected to take at most.
	durationDeviations         = 2
	contentionForgetInterval   = 10 * time.Second
	maxDurationShareOfDeadline = 0.5 // A request may start until half of its time has passed even if requests take longer.
)

// Contention is what a router keeps of a service for whose servers callers may compete.
type Contention struct {
	Queue     *dtadmission.Queue
	Returns   *dtadmission.Returns
	Durations map[string]AttemptDuration // By route.
	Duration  AttemptDuration            // For all routes.
	ForgetAt  time.Time
	Room      dtadmission.Room
	RoomAt    time.Time // When Room was calculated; zero if it is out of date.
}

// AttemptDuration is the time from the start of an attempt to its end.
type AttemptDuration struct {
	Mean      time.Duration
	Deviation time.Duration // Mean distance from the mean.
}

// add counts a further duration; earlier ones decay.
func (d *AttemptDuration) add(took time.Duration) {
	if d.Mean == 0 {
		d.Mean, d.Deviation = took, took/2
		return
	}
	d.Deviation += time.Duration(durationWeight * float64((took-d.Mean).Abs()-d.Deviation))
	d.Mean += time.Duration(durationWeight * float64(took-d.Mean))
}

func (s *State) contention(service string) *Contention {
	return getOrCreate(s.Contention, service, func() *Contention {
		return &Contention{Queue: dtadmission.NewQueue(maxTurnWaits), Returns: dtadmission.NewReturns(), Durations: map[string]AttemptDuration{}}
	})
}

// waitForTurn has a new request wait, or refuses it, if the servers have no room for it or others wait already. It returns
// false if the request may start at once. Further attempts do not wait: their slot was theirs before.
func (s *State) waitForTurn(r *Request, now time.Time) bool {
	if !s.Settings.SharesRoom || s.Shutdown.Ending {
		return false
	}
	c := s.contention(r.Service)
	isReturned := c.Returns.TakeReturn(r.callerKind(), now)
	room := s.roomAt(r.Service, c, now)
	if c.Queue.Len == 0 && room.MayStart() {
		c.Queue.CountDemand(r.Priority, r.Account, now)
		return false
	}
	w := dtadmission.Waiter{
		ID: uint64(r.Number), Class: r.Priority, Account: r.Account, ArrivedAt: now, StartBy: c.startBy(r, now), IsReturned: isReturned,
	}
	if !c.canStart(&w, now) {
		s.giveUp(r, ReasonWaitTooLong, now)
		return true
	}
	c.Queue.CountDemand(r.Priority, r.Account, now)
	if shed, isFull := c.Queue.Push(w, now); isFull {
		s.endWait(&shed, ReasonQueueFull, now)
	}
	return true
}

// callerKind returns what the caller may be recognized by if it is refused and returns.
func (r *Request) callerKind() dtadmission.CallerKind {
	return dtadmission.CallerKind{Account: r.Account, Route: r.Route.Name}
}

// startBy returns the time by which a request must start to be answered before its deadline.
func (c *Contention) startBy(r *Request, now time.Time) time.Time {
	remaining := r.Deadline.Sub(now)
	longest := max(time.Duration(maxDurationShareOfDeadline*float64(remaining)), 0)
	d := c.Durations[r.Route.Name]
	return r.Deadline.Add(-min(max(d.Mean+durationDeviations*d.Deviation, minTimeForRetry), longest))
}

// rate returns how many requests a second this router starts while the servers are full: by Little's law, as many as it
// has in flight in the time that one takes. It is zero while that time is unknown.
func (c *Contention) rate() float64 {
	if c.Duration.Mean <= 0 {
		return 0
	}
	return float64(max(c.Room.Own, 1)) / c.Duration.Mean.Seconds()
}

// canStart reports whether a request that is to wait is expected to start in time. While the rate is unknown, as many may
// wait as this router has in flight.
func (c *Contention) canStart(w *dtadmission.Waiter, now time.Time) bool {
	rate := c.rate()
	if rate == 0 {
		return c.Queue.Ahead(w, now) < float64(max(c.Room.Own, 1)) && now.Before(w.StartBy)
	}
	return c.Queue.ExpectedWait(w, rate, now) <= time.Duration(waitShare*float64(w.StartBy.Sub(now)))
}

// endTurnWaits starts the requests whose turn has come, and refuses those that can't be answered in time any more.
func (s *State) endTurnWaits(now time.Time) {
	for _, service := range sortedKeys(s.Contention) {
		c := s.Contention[service]
		if c.Queue.Len == 0 {
			continue
		}
		for _, w := range c.Queue.Expire(now) {
			s.endWait(&w, ReasonWaitExpired, now)
		}
		s.startWaiting(service, c, now)
	}
}

// startWaiting starts the requests that wait for a service while there is room for them.
func (s *State) startWaiting(service string, c *Contention, now time.Time) {
	for c.Queue.Len > 0 {
		if s.Shutdown.Ending {
			w, _ := c.Queue.Take(now)
			s.endWait(&w, ReasonStopping, now)
			continue
		}
		room := s.roomAt(service, c, now)
		room.IsQueued = true
		if !room.MayStart() {
			return
		}
		w, _ := c.Queue.Take(now)
		if r := s.Requests[RequestNumber(w.ID)]; r != nil {
			s.logWait(r, &w, "started", now)
			s.startAttempt(r, ReasonNoServer, now)
		}
	}
}

// endWait refuses a request that was waiting.
func (s *State) endWait(w *dtadmission.Waiter, reason Reason, now time.Time) {
	r := s.Requests[RequestNumber(w.ID)]
	if r == nil {
		return
	}
	s.logWait(r, w, reason.String(), now)
	s.giveUp(r, reason, now)
}

func (s *State) logWait(r *Request, w *dtadmission.Waiter, outcome string, now time.Time) {
	s.emit(LogRecord{
		Event: "wait", RequestID: r.ID, Subject: r.Service, Outcome: outcome, Account: r.Account, Route: r.Route.Name,
		Waited: now.Sub(w.ArrivedAt), Elapsed: now.Sub(r.ArrivedAt), Priority: r.Priority, IsReturned: w.IsReturned,
	})
}

// nextTurnAt returns when room is to be looked for again unless something happens before, or the zero time.
func (s *State) nextTurnAt(now time.Time) time.Time {
	next := time.Time{}
	for _, c := range s.Contention {
		if c.Queue.Len == 0 {
			continue
		}
		if at := earlier(now.Add(turnCheckInterval), c.Queue.NextExpiry()); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// countStart counts an attempt that has been sent.
func (s *State) countStart(r *Request, now time.Time) {
	if !s.Settings.SharesRoom {
		return
	}
	c := s.contention(r.Service)
	c.Room.CountStart()
	if r.Attempt == 1 {
		c.Queue.Usage.Count(r.Account, now)
	}
}

// countEnd counts an attempt that has ended.
func (s *State) countEnd(r *Request, ev *AttemptEnded, now time.Time) {
	if !s.Settings.SharesRoom {
		return
	}
	c := s.contention(r.Service)
	c.RoomAt = time.Time{}
	if ev.Outcome != OutcomeCompleted && ev.Outcome != OutcomeTimedOut {
		return
	}
	took := max(now.Sub(r.SentAt), time.Millisecond)
	d := c.Durations[r.Route.Name]
	d.add(took)
	c.Durations[r.Route.Name] = d
	c.Duration.add(took)
}

// returnTime returns how long the caller of a request that is refused for want of room is to wait.
func (s *State) returnTime(r *Request, now time.Time) time.Duration {
	c := s.contention(r.Service)
	s.roomAt(r.Service, c, now)
	weights := c.Queue.Usage.Weight(r.Account, now)
	refusal := dtadmission.Refusal{Kind: r.callerKind(), Weight: weights, Rate: c.rate(), Remaining: r.Deadline.Sub(now), IfUnknown: retryAfterBusy}
	wanting := c.Queue.Accounts()
	for account := range c.Returns.ByAccount {
		wanting[account] = true
	}
	delete(wanting, r.Account)
	for account := range wanting {
		weights += c.Queue.Usage.Weight(account, now)
	}
	refusal.Weights = weights
	return c.Returns.RetryAfter(&refusal, now)
}

// forgetContention removes what is too old to be used.
func (s *State) forgetContention(now time.Time) {
	for _, c := range s.Contention {
		if now.Before(c.ForgetAt) {
			continue
		}
		c.ForgetAt = now.Add(contentionForgetInterval)
		c.Queue.Forget(now)
		c.Returns.Forget(now)
	}
}
