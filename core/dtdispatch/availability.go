package dtdispatch

import (
	"slices"
	"time"
)

// Parameters of what servers announce in their responses.
const (
	maxServerBackoff    = 5 * time.Minute        // Longer pauses that a server asks for are cut to this.
	noticeRetention     = 10 * time.Minute       // Time for which the notice of a server that is no longer listed is kept.
	minBlockedBackoff   = 100 * time.Millisecond // Shortest Retry-After while no server is available.
	incarnationLeniency = 2 * time.Second        // Clocks of hosts may differ by this much.
)

// Block is why a server may not be sent a request.
type Block uint8

// Reasons for which a server may not be sent a request.
const (
	BlockNone       Block = iota
	BlockDraining         // The server is listed as draining.
	BlockOwnAddress       // The server is listed at an address of this router.
	BlockDomain           // Its failure domain is out of service.
	BlockLeaving          // The server has announced that it is leaving.
	BlockBackoff          // The server has asked for a pause.
	BlockCold             // This router has used up its share of what a cold server may get.
	BlockRate             // This router has used up its share of the rate that the server has named.
)

// String returns the name of the block in logs.
func (b Block) String() string {
	return [...]string{"none", "draining", "own_address", "domain_out", "leaving", "backoff", "cold", "rate"}[b]
}

// Availability says whether a server may be sent a request and, if not, until when.
type Availability struct {
	Block Block
	Until time.Time // Zero if the end of the block is unknown.
}

// ServerNotice is what a server has announced about itself in responses to this router.
type ServerNotice struct {
	Start        int64     // Incarnation of the server, in Unix milliseconds; zero if unknown.
	ReceivedAt   time.Time // Time of the last announcement.
	Leaving      bool
	BackoffUntil time.Time // No requests are wanted until then.
}

// appliesTo reports whether the notice may have come from the listed incarnation of a server. An
// entry that is older than the notice does not end it, because lists may lag behind responses.
func (n *ServerNotice) appliesTo(server *Server) bool {
	if n.Start == server.Start || n.Start == 0 || server.Start == 0 {
		return true
	}
	return server.Start < n.ReceivedAt.Add(-incarnationLeniency).UnixMilli()
}

// availability returns whether a server may be sent a request. It holds for any request: what one
// request has met at the server, and whether the server has failed lately, are decided elsewhere.
func (s *State) availability(server *Server, now time.Time) Availability {
	switch {
	case server.Draining:
		return Availability{Block: BlockDraining}
	case slices.Contains(s.Settings.OwnAddresses, server.Address):
		return Availability{Block: BlockOwnAddress}
	case s.Roster.OutOfServiceDomains[server.Domain]:
		return Availability{Block: BlockDomain}
	}
	if a := s.announcedAvailability(server, now); a.Block != BlockNone {
		return a
	}
	if a := s.coldAvailability(server, now); a.Block != BlockNone {
		return a
	}
	return s.rateAvailability(server, now)
}

// acceptsRequests reports whether a server may be sent requests as soon as its budgets allow them.
func (s *State) acceptsRequests(server *Server, now time.Time) bool {
	switch s.availability(server, now).Block {
	case BlockDraining, BlockOwnAddress, BlockDomain, BlockLeaving:
		return false
	}
	return true
}

// announcedAvailability applies what the server has announced in its responses.
func (s *State) announcedAvailability(server *Server, now time.Time) Availability {
	notice := s.Notices[server.ID]
	switch {
	case notice == nil || !notice.appliesTo(server):
		return Availability{}
	case notice.Leaving:
		return Availability{Block: BlockLeaving}
	case now.Before(notice.BackoffUntil):
		return Availability{Block: BlockBackoff, Until: notice.BackoffUntil}
	}
	return Availability{}
}

// coldAvailability applies this router's share of the requests that a cold server may get. A warm
// server has no such limit.
func (s *State) coldAvailability(server *Server, now time.Time) Availability {
	if !now.Before(server.ColdUntil) || s.Config == nil {
		return Availability{}
	}
	rate := s.Config.Services[server.Service].ColdRate
	if rate <= 0 {
		return Availability{}
	}
	if s.coldBudget(server, now).HasRoom(rate, s.Settings.Bounds, s.RouterCount(now), now) {
		return Availability{}
	}
	return Availability{Block: BlockCold, Until: now.Add(retryAfterBusy)} // Another router may send one sooner.
}

// rateAvailability applies this router's share of the request rate that the server has named.
func (s *State) rateAvailability(server *Server, now time.Time) Availability {
	rate := s.limitedRate(server, now)
	if rate == nil || rate.Tokens >= 1 {
		return Availability{}
	}
	until, hasShare := rate.nextTokenAt(now)
	if !hasShare {
		until = now.Add(retryAfterBusy) // Another router has a share.
	}
	return Availability{Block: BlockRate, Until: until}
}

// nextAvailability returns the block that ends first among those of the servers that r may use. Its
// Block is BlockNone if no block of them has a known end.
func (s *State) nextAvailability(r *Request, now time.Time) Availability {
	next := Availability{}
	for _, server := range s.eligibleServers(r, s.Roster.ByService[r.Service], now) {
		a := s.availability(server, now)
		if a.Until.IsZero() || slices.Contains(r.TriedServers, server.ID) {
			continue
		}
		if next.Block == BlockNone || a.Until.Before(next.Until) {
			next = a
		}
	}
	return next
}

// refusalReason returns the reason for refusing a request because of the block.
func (b Block) refusalReason() Reason {
	switch b {
	case BlockBackoff:
		return ReasonServerBackoff
	case BlockCold:
		return ReasonColdServers
	case BlockRate:
		return ReasonServerLimit
	}
	return ReasonNoServer
}

// blockedReason returns the reason for refusing a request that no server may be sent, or
// otherwise if no server becomes available at a known time.
func (s *State) blockedReason(r *Request, otherwise Reason, now time.Time) Reason {
	if next := s.nextAvailability(r, now); next.Block != BlockNone {
		return next.Block.refusalReason()
	}
	return otherwise
}

// blockedRetryAfter returns how long the caller of a request that no server may be sent is to wait.
func (s *State) blockedRetryAfter(r *Request, now time.Time) time.Duration {
	return max(s.nextAvailability(r, now).Until.Sub(now), minBlockedBackoff)
}

// recordNotice applies what a server has announced in a response to a request that was sent to the
// given incarnation.
func (s *State) recordNotice(server *Server, report *ServerReport, requestID string) {
	if !report.Leaving && report.Backoff <= 0 {
		return
	}
	notice := s.Notices[server.ID]
	if notice == nil || !notice.appliesTo(server) {
		notice = &ServerNotice{}
		s.Notices[server.ID] = notice
	}
	notice.Start, notice.ReceivedAt = server.Start, report.ReceivedAt
	if report.Leaving && !notice.Leaving {
		notice.Leaving = true
		s.emit(LogRecord{Event: "server_leaving", RequestID: requestID, Subject: string(server.ID)})
	}
	until := report.ReceivedAt.Add(min(report.Backoff, maxServerBackoff))
	if report.Backoff <= 0 || !until.After(notice.BackoffUntil) {
		return
	}
	if !report.ReceivedAt.Before(notice.BackoffUntil) {
		s.emit(LogRecord{Event: "server_backoff", RequestID: requestID, Subject: string(server.ID), Backoff: report.Backoff})
	}
	notice.BackoffUntil = until
}

// forgetNotices removes the notices of earlier incarnations and of servers that left long ago.
func (s *State) forgetNotices(now time.Time) {
	for id, notice := range s.Notices {
		server := s.Roster.Servers[id]
		isOver := server != nil && !notice.appliesTo(server)
		isOld := server == nil && now.Sub(notice.ReceivedAt) > noticeRetention
		if isOver || isOld {
			delete(s.Notices, id)
		}
	}
}
