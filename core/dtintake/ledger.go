package dtintake

import (
	"cmp"
	"slices"
	"time"
)

// Times and sizes by which a connection counts as stalled.
const (
	StallTime        = 500 * time.Millisecond // Without progress. A caller within the limits sends its request at once.
	minProgressBytes = 16 << 10               // Fewer bytes of a body in StallTime are no progress, or single bytes would be.
	closingPart      = 8                      // Connections being closed may be one in so many beyond MaxConns.
)

// HolderID identifies a connection of a caller.
type HolderID uint64

// Stage is what a connection does.
type Stage uint8

// Stages of a connection.
const (
	StageIdle    Stage = iota // Waits for a request.
	StageHead                 // A head has begun to arrive.
	StageBody                 // A body is arriving.
	StageRunning              // A request has arrived completely, and waits, runs or is answered.
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"idle", "head", "body", "running"}[s] }

// Reason is why a connection is closed or a request refused.
type Reason uint8

// Reasons of a closing.
const (
	ReasonNone             Reason = iota
	ReasonForMemory               // Closed, since another one needs memory.
	ReasonForPlace                // Closed, since another caller connects.
	ReasonForReceiveBuffer        // Closed, since another caller connects and no receive buffer is left.
	ReasonNoMemory                // Its own request finds no memory.
	ReasonNoPlace                 // It connects, and no other one can be closed for it.
	ReasonNoReceiveBuffer         // The same, and there would be a place, but no receive buffer is left.
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"none", "for_memory", "for_place", "for_receive_buffer", "no_memory", "no_place", "no_receive_buffer"}[r]
}

// Holder is a connection of a caller and what it holds.
type Holder struct {
	ID            HolderID
	Stage         Stage
	Bytes         int64 // Beyond ConnBytes.
	ReceiveBytes  int64 // Size of the kernel's receive buffer.
	ProgressAt    time.Time
	ProgressBytes int64 // Arrived since ProgressAt.
	IsClosing     bool  // It has been named in a Closing and does not count any more.
}

// Closing is a connection that is closed, or a request that is refused, for lack of room.
type Closing struct {
	ID      HolderID
	Reason  Reason
	Stage   Stage
	Bytes   int64         // That it held beyond ConnBytes.
	Stalled time.Duration // Since its last progress.
}

// Decision is whether something is granted, and which connections are to be closed for it.
type Decision struct {
	Granted      bool
	Close        []Closing
	Refused      Closing // Of the one that asked, unless granted.
	ReceiveBytes int64   // Size of the receive buffer of a connection that has been granted.
}

// Ledger counts what the connections of a process hold.
type Ledger struct {
	Limits  Limits
	Used    int64 // By connections, bodies and responses.
	Conns   int   // Without those being closed.
	Closing int   // Connections being closed.
	Receive ReceivePool
	Holders map[HolderID]*Holder
	last    HolderID
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{Limits: l, Receive: ReceivePool{Limit: l.CallerReceiveBytes}, Holders: map[HolderID]*Holder{}}
}

// Open adds a new connection. At the limit, the one that has stalled for longest is closed for it.
func (l *Ledger) Open(now time.Time) (HolderID, Decision) {
	d := Decision{Granted: true}
	closeFor, refuseFor := ReasonForPlace, ReasonNoPlace
	hasPlace := l.Conns < l.Limits.MaxConns && l.Used+ConnBytes <= l.Limits.part(tinyBodyEighths)
	if hasPlace {
		closeFor, refuseFor = ReasonForReceiveBuffer, ReasonNoReceiveBuffer
	}
	if !hasPlace || l.Receive.IsFull() {
		victims := l.victims(now, 0, StageBody, StageHead, StageIdle)
		if len(victims) == 0 || l.Closing > l.Limits.MaxConns/closingPart {
			return 0, Decision{Refused: Closing{Reason: refuseFor}}
		}
		d.Close = append(d.Close, l.markClosing(victims[0], closeFor, now))
	}
	l.last++
	h := &Holder{ID: l.last, ProgressAt: now, ReceiveBytes: l.Receive.Take()}
	l.Holders[h.ID] = h
	l.Conns++
	l.Used += ConnBytes
	d.ReceiveBytes = h.ReceiveBytes
	return h.ID, d
}

// Widen returns the size to which the receive buffer of a connection grows for a large body.
func (l *Ledger) Widen(id HolderID) int64 {
	h := l.Holders[id]
	if h == nil || h.IsClosing {
		return 0
	}
	h.ReceiveBytes = l.Receive.Widen(h.ReceiveBytes)
	return h.ReceiveBytes
}

// Leave removes a connection that has ended.
func (l *Ledger) Leave(id HolderID) {
	h := l.Holders[id]
	if h == nil {
		return
	}
	if h.IsClosing {
		l.Closing--
	} else {
		l.Conns--
		l.Used -= h.total()
		l.Receive.Return(h.ReceiveBytes)
	}
	delete(l.Holders, id)
}

// SetStage states what a connection does now. One that is idle again holds nothing; one that was to be closed while it was
// idle stays if a request has begun to arrive.
func (l *Ledger) SetStage(id HolderID, s Stage, now time.Time) {
	h := l.Holders[id]
	if h == nil {
		return
	}
	if h.IsClosing && h.Stage == StageIdle && s != StageIdle {
		h.IsClosing = false
		l.Closing--
		l.Conns++
		l.Used += h.total()
		l.Receive.Used += h.ReceiveBytes
	}
	if s == StageIdle && !h.IsClosing {
		l.Used -= h.Bytes
		h.Bytes = 0
	}
	h.Stage, h.ProgressAt, h.ProgressBytes = s, now, 0
}

// Progress states that n bytes of a body have arrived.
func (l *Ledger) Progress(id HolderID, n int64, now time.Time) {
	h := l.Holders[id]
	if h == nil {
		return
	}
	h.ProgressBytes += n
	if h.ProgressBytes >= minProgressBytes {
		h.ProgressAt, h.ProgressBytes = now, 0
	}
}

// Take asks for n more bytes for the body of a request. If room is short, connections that have stalled are closed for it.
func (l *Ledger) Take(id HolderID, n int64, now time.Time) Decision {
	h := l.Holders[id]
	if h == nil {
		return Decision{}
	}
	return l.take(h, n, l.Limits.bodyLimit(h.Bytes+n), now)
}

// TakeReply asks for n more bytes for the response to the request of a connection, which then holds size bytes. They are given
// back with the request.
func (l *Ledger) TakeReply(id HolderID, n, size int64, now time.Time) Decision {
	h := l.Holders[id]
	if h == nil {
		return Decision{}
	}
	return l.take(h, n, l.Limits.replyLimit(size), now)
}

// take asks for n more bytes for a connection, where at most limit may be used.
func (l *Ledger) take(h *Holder, n, limit int64, now time.Time) Decision {
	d := Decision{}
	if !h.IsClosing {
		d = l.makeRoom(l.Used+n-limit, h.ID, now)
	}
	if d.Granted {
		h.Bytes += n
		l.Used += n
		return d
	}
	d.Refused = Closing{ID: h.ID, Reason: ReasonNoMemory, Stage: h.Stage, Bytes: h.Bytes, Stalled: now.Sub(h.ProgressAt)}
	return d
}

// Return gives back n bytes of the body of a request.
func (l *Ledger) Return(id HolderID, n int64) {
	if h := l.Holders[id]; h != nil && !h.IsClosing {
		h.Bytes -= n
		l.Used -= n
	}
}

// Reserve asks for n more bytes for a response that then holds size bytes. The last part of the budget is for small ones.
func (l *Ledger) Reserve(n, size int64, now time.Time) Decision {
	d := l.makeRoom(l.Used+n-l.Limits.replyLimit(size), 0, now)
	if d.Granted {
		l.Used += n
	}
	return d
}

// Release gives back n bytes of a response.
func (l *Ledger) Release(n int64) { l.Used -= n }

// makeRoom closes connections that have stalled in the middle of a body until missing bytes are free. It closes none if
// all of them together do not hold that much.
func (l *Ledger) makeRoom(missing int64, except HolderID, now time.Time) Decision {
	d := Decision{Granted: true}
	if missing <= 0 {
		return d
	}
	free := int64(0)
	victims := l.victims(now, except, StageBody)
	count := 0
	for ; count < len(victims) && free < missing; count++ {
		free += victims[count].total()
	}
	if free < missing {
		return Decision{}
	}
	for _, h := range victims[:count] {
		d.Close = append(d.Close, l.markClosing(h, ReasonForMemory, now))
	}
	return d
}

// victims returns the connections that may be closed: first those that have stalled in the middle of a request, by the bytes
// that they hold times the time without progress, and then idle ones. Only those in the given stages are among them: a head holds
// no more than its connection, and a request that runs is not closed.
func (l *Ledger) victims(now time.Time, except HolderID, stages ...Stage) []*Holder {
	var found []*Holder
	for _, h := range l.Holders {
		if h.IsClosing || h.ID == except || !slices.Contains(stages, h.Stage) || now.Sub(h.ProgressAt) < StallTime {
			continue
		}
		found = append(found, h)
	}
	slices.SortFunc(found, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(b.rank(now), a.rank(now)), cmp.Compare(a.ID, b.ID))
	})
	return found
}

func (l *Ledger) markClosing(h *Holder, r Reason, now time.Time) Closing {
	h.IsClosing = true
	l.Conns--
	l.Closing++
	l.Used -= h.total()
	l.Receive.Return(h.ReceiveBytes)
	return Closing{ID: h.ID, Reason: r, Stage: h.Stage, Bytes: h.Bytes, Stalled: now.Sub(h.ProgressAt)}
}

func (h *Holder) total() int64 { return h.Bytes + ConnBytes }

// rank is higher for a connection that is to be closed earlier. An idle one ranks below all others.
func (h *Holder) rank(now time.Time) float64 {
	r := float64(h.total()) * now.Sub(h.ProgressAt).Seconds()
	if h.Stage == StageIdle {
		return -1 / r
	}
	return r
}
