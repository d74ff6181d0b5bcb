package dtstate

import (
	"sort"
	"time"
)

// Intervals and bounds of an owner's queues.
const (
	queueCheckInterval = 100 * time.Millisecond
	maxLanesTried      = 8 // Lanes whose first request is tried for a free slot.

	// Before this number of heartbeats the completion rate is too unreliable.
	minHeartbeatsForEstimate = 8
	batchPromotionAge        = 5 * time.Second // Age at which a batch request is treated as interactive.
)

// QueuedRequest is a slot request that waits for a slot.
type QueuedRequest struct {
	SlotRequest *SlotRequest
	QueuedAt    time.Time
	Deadline    time.Time
}

// laneKey identifies a lane, the FIFO of one class and one client account.
type laneKey struct {
	class   Class
	account ClientAccount
}

// Queue holds the slot requests that wait for servers of one group, in one lane for each
// class and client account.
type Queue struct {
	Lanes        map[laneKey][]*QueuedRequest
	ByKey        map[SlotKey]*QueuedRequest
	CountByClass [classCount]int
	timerSet     bool // A queue check is scheduled already.
}

func (q *Queue) init() {
	q.Lanes = map[laneKey][]*QueuedRequest{}
	q.ByKey = map[SlotKey]*QueuedRequest{}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.ByKey) }

// hasWaiting reports whether a request of this class or a more urgent one waits.
func (q *Queue) hasWaiting(class Class) bool {
	for c := ClassOrder; c <= class; c++ {
		if q.CountByClass[c] > 0 {
			return true
		}
	}
	return false
}

func (q *Queue) add(qr *QueuedRequest) {
	id := laneKey{qr.SlotRequest.Class, qr.SlotRequest.Account}
	q.Lanes[id] = append(q.Lanes[id], qr)
	q.ByKey[SlotKey{qr.SlotRequest.Request, qr.SlotRequest.Attempt}] = qr
	q.CountByClass[qr.SlotRequest.Class]++
}

func (q *Queue) remove(qr *QueuedRequest) {
	key := SlotKey{qr.SlotRequest.Request, qr.SlotRequest.Attempt}
	if q.ByKey[key] != qr {
		return
	}
	delete(q.ByKey, key)
	q.CountByClass[qr.SlotRequest.Class]--
	id := laneKey{qr.SlotRequest.Class, qr.SlotRequest.Account}
	lane := q.Lanes[id]
	for i := range lane {
		if lane[i] == qr {
			lane = append(lane[:i], lane[i+1:]...)
			break
		}
	}
	if len(lane) == 0 {
		delete(q.Lanes, id)
		return
	}
	q.Lanes[id] = lane
}

// all returns the waiting requests, oldest first.
func (q *Queue) all() []*QueuedRequest {
	list := make([]*QueuedRequest, 0, len(q.ByKey))
	for _, qr := range q.ByKey {
		list = append(list, qr)
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].QueuedAt.Equal(list[j].QueuedAt) {
			return list[i].QueuedAt.Before(list[j].QueuedAt)
		}
		return list[i].SlotRequest.Request < list[j].SlotRequest.Request
	})
	return list
}

// heads returns the first request of each lane, in serving order.
func (q *Queue) heads(og *OwnedGroup, now time.Time) []*QueuedRequest {
	heads := make([]*QueuedRequest, 0, len(q.Lanes))
	for _, lane := range q.Lanes {
		heads = append(heads, lane[0])
	}
	sort.Slice(heads, func(i, j int) bool { return og.servedBefore(heads[i], heads[j], now) })
	return heads
}

// servedBefore reports whether a is served before b: by class, then by the accounts'
// virtual time, then by request ID.
func (g *OwnedGroup) servedBefore(a, b *QueuedRequest, now time.Time) bool {
	if ca, cb := a.effectiveClass(now), b.effectiveClass(now); ca != cb {
		return ca < cb
	}
	va, vb := g.Accounts[a.SlotRequest.Account].VirtualTime, g.Accounts[b.SlotRequest.Account].VirtualTime
	if va != vb {
		return va < vb
	}
	return a.SlotRequest.Request < b.SlotRequest.Request
}

// effectiveClass returns the class that qr is served in, which for a batch request
// changes after batchPromotionAge.
func (qr *QueuedRequest) effectiveClass(now time.Time) Class {
	if qr.SlotRequest.Class == ClassBatch && now.Sub(qr.QueuedAt) > batchPromotionAge {
		return ClassInteractive
	}
	return qr.SlotRequest.Class
}

// enqueue queues a slot request, or denies it if the queue is full or the deadline would
// pass before it is served.
func (s *State) enqueue(g *ServerGroup, req *SlotRequest, now time.Time) {
	og := s.Owner.group(g.Name)
	account := og.account(req.Account, now)
	account.VirtualTime = max(account.VirtualTime, og.VirtualTime)
	limits := s.Config.Limits()
	lane := og.Queue.Lanes[laneKey{req.Class, req.Account}]
	if og.Queue.Len() >= limits.MaxQueuedPerShard || len(lane) >= limits.MaxQueuedPerAccount {
		s.denySlot(req, ReasonQueueFull, s.estimateWait(og, req.Class), now)
		return
	}
	deadline := now.Add(time.Duration(req.RemainingMs) * time.Millisecond)
	if wait := s.estimateWait(og, req.Class); now.Add(wait).After(deadline) {
		s.denySlot(req, ReasonDeadline, wait, now)
		return
	}
	og.Queue.add(&QueuedRequest{SlotRequest: req, QueuedAt: now, Deadline: deadline})
	s.send(req.EntryRouter, &SlotQueued{Request: req.Request, Attempt: req.Attempt}, now)
	s.setQueueTimer(og, g.Name, now)
}

// estimateWait returns the expected wait of a new request of a class at the current
// completion rate, or zero if the rate is not known yet.
func (s *State) estimateWait(og *OwnedGroup, class Class) time.Duration {
	ahead := 0
	for c := ClassOrder; c <= class; c++ {
		ahead += og.Queue.CountByClass[c]
	}
	if og.CompletionRate <= 0 || ahead == 0 || og.Heartbeats < minHeartbeatsForEstimate {
		return 0
	}
	return time.Duration(float64(ahead) / og.CompletionRate * float64(time.Second))
}

// setQueueTimer schedules a queue check while requests wait.
func (s *State) setQueueTimer(og *OwnedGroup, group string, now time.Time) {
	if og.Queue.timerSet || og.Queue.Len() == 0 {
		return
	}
	og.Queue.timerSet = true
	s.setTimer(now, queueCheckInterval, timerQueueCheck, group, 0)
}

// handleQueueTimer denies requests past their deadline and serves the others.
func (s *State) handleQueueTimer(group string, now time.Time) {
	og := s.Owner.group(group)
	og.Queue.timerSet = false
	for _, qr := range og.Queue.all() {
		if now.After(qr.Deadline) {
			og.Queue.remove(qr)
			s.denySlot(qr.SlotRequest, ReasonDeadline, s.estimateWait(og, qr.SlotRequest.Class), now)
		}
	}
	if g := s.Fleet.Groups[group]; g != nil {
		s.serveQueue(g, now)
	}
	s.setQueueTimer(og, group, now)
}

// serveQueue serves waiting requests in fair order until no more can be placed.
func (s *State) serveQueue(g *ServerGroup, now time.Time) {
	og := s.Owner.group(g.Name)
	s.serveHomeWaiters(g, og, now)
	for og.Queue.Len() > 0 && s.serveNext(g, og, now) {
		continue
	}
}

// serveNext places or denies the first request of one of the first maxLanesTried lanes,
// and reports whether it could.
func (s *State) serveNext(g *ServerGroup, og *OwnedGroup, now time.Time) bool {
	for i, qr := range og.Queue.heads(og, now) {
		if i == maxLanesTried {
			return false
		}
		og.Queue.remove(qr)
		if reason := s.denialReason(g, qr.SlotRequest); reason != ReasonNone {
			s.denySlot(qr.SlotRequest, reason, 0, now)
			return true
		}
		if s.place(g, qr.SlotRequest, now) {
			og.VirtualTime = max(og.VirtualTime, og.account(qr.SlotRequest.Account, now).VirtualTime)
			return true
		}
		s.requeueFirst(og, qr)
	}
	return false
}

func (s *State) requeueFirst(og *OwnedGroup, qr *QueuedRequest) {
	id := laneKey{qr.SlotRequest.Class, qr.SlotRequest.Account}
	og.Queue.Lanes[id] = append([]*QueuedRequest{qr}, og.Queue.Lanes[id]...)
	og.Queue.ByKey[SlotKey{qr.SlotRequest.Request, qr.SlotRequest.Attempt}] = qr
	og.Queue.CountByClass[qr.SlotRequest.Class]++
}
