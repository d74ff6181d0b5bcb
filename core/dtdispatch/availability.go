package dtdispatch

import (
	"slices"
	"time"
)

// minBlockedBackoff is the shortest Retry-After while no server is available.
const minBlockedBackoff = 100 * time.Millisecond

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
	BlockBrittle          // The server is brittle and may have no room.
)

// Availability says whether a server may be sent a request and, if not, until when.
type Availability struct {
	Block Block
	Until time.Time // Zero if the end of the block is unknown.
}

// availability returns whether a server may be sent a request. It holds for any request: what one
// request has met at the server, and whether the server has failed lately, are decided elsewhere.
func (s *State) availability(server *Server, now time.Time) Availability {
	switch {
	case server.Draining:
		return Availability{Block: BlockDraining}
	case slices.Contains(s.Settings.OwnAddresses, server.Address):
		return Availability{Block: BlockOwnAddress}
	case s.OutOfService.Domains[server.Domain]:
		return Availability{Block: BlockDomain}
	}
	if a := s.announcedAvailability(server, now); a.Block != BlockNone {
		return a
	}
	if a := s.coldAvailability(server, now); a.Block != BlockNone {
		return a
	}
	if a := s.rateAvailability(server, now); a.Block != BlockNone {
		return a
	}
	return s.brittleAvailability(server, now)
}

// acceptsRequests reports whether a server may be sent requests as soon as its budgets allow them.
func (s *State) acceptsRequests(server *Server, now time.Time) bool {
	switch s.availability(server, now).Block {
	case BlockDraining, BlockOwnAddress, BlockDomain, BlockLeaving:
		return false
	}
	return true
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
	if s.coldBudget(server, now).HasRoom(rate, s.Settings.Bounds, s.RouterCount(), now) {
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
	servers := s.eligibleServers(r, s.servingServers(r.Service), now)
	if r.HasVersion {
		servers = withVersion(servers, r.Version)
	}
	for _, server := range servers {
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
	case BlockBrittle:
		return ReasonBrittleServers
	}
	return ReasonNoServer
}

// blockedReason returns the reason for refusing a request that no server may be sent, or
// otherwise if no server becomes available at a known time.
func (s *State) blockedReason(r *Request, otherwise Reason, now time.Time) Reason {
	if r.Placement.RetryAfter > 0 {
		return ReasonLateStart
	}
	if next := s.nextAvailability(r, now); next.Block != BlockNone {
		return next.Block.refusalReason()
	}
	return otherwise
}

// retryAfter returns how long the caller of a request that is refused for a reason is to wait.
func (s *State) retryAfter(r *Request, reason Reason, now time.Time) time.Duration {
	switch reason {
	case ReasonLateStart:
		return r.Placement.RetryAfter
	case ReasonServerBackoff, ReasonColdServers, ReasonServerLimit, ReasonBrittleServers:
		return max(s.nextAvailability(r, now).Until.Sub(now), minBlockedBackoff)
	case ReasonBusy, ReasonRetryBudget, ReasonWaitTooLong, ReasonQueueFull, ReasonWaitExpired:
		if s.Settings.SharesRoom {
			return s.returnTime(r, now)
		}
	}
	return retryAfterBusy
}
