package dtdispatch

import "slices"

// choiceTier says how suitable a server is for a request; lower tiers come first.
type choiceTier int

// Tiers of servers. The second, third and last exist only where servers state their speed or have a pace.
const (
	tierRoom       choiceTier = iota // The load is within the limit.
	tierSlow                         // It is so, but not if the server's speed is taken into account, or the request would wait there.
	tierPaced                        // The server has started lately and is not to be sent the request, but its load is within the limit.
	tierOverloaded                   // The load exceeds the limit.
	tierAvoided                      // The server has failed lately.
	tierLate                         // The request would not start before its deadline.
	tierCount
)

// choose returns the first available server in ranking order whose load including this request
// does not exceed limit, and true. If there is none, it returns the server with the lowest cost of the best
// tier, and false.
func (s *State) choose(r *Request, ranked []*Server, view *LoadView, limit float64) (Placement, bool) {
	var best [tierCount]Placement
	for rank, server := range ranked {
		if slices.Contains(r.TriedServers, server.ID) || s.availability(server, view.Now).Block != BlockNone || s.isSpared(r, server, view.Now) {
			continue
		}
		choice := s.placementOn(server, rank, view, limit)
		tier := s.tierOf(r, &choice, view)
		if tier == tierRoom {
			return choice, true
		}
		if tier == tierPaced && best[tier].Server != nil {
			continue // Servers that have all just started are chosen in ranking order too.
		}
		best[tier] = best[tier].lowerCost(choice)
	}
	for tier := range tierLate {
		if best[tier].Server != nil {
			return best[tier], false
		}
	}
	return lateChoice(best[tierLate], view), false
}

// tierOf returns the tier of a server for a request, and sets when the request would start there.
func (s *State) tierOf(r *Request, choice *Placement, view *LoadView) choiceTier {
	if s.isAvoided(choice.Server, view.Now) {
		return tierAvoided
	}
	isWithinLimit := float64(choice.Load+1) <= choice.Limit
	if view.Capacity != nil {
		choice.Start = view.ExpectedStart(choice.Server, choice.Load, s.tokensToRead(r.PromptParts, choice.Server, view.Now))
		if !choice.Start.Fits(r.Deadline, view.Now) {
			return tierLate
		}
	}
	switch {
	case !isWithinLimit:
		return tierOverloaded
	case s.isPacedOut(r, choice.Server, view):
		return tierPaced
	case choice.Cost > choice.Limit || choice.Start.Wait > r.Route.LatencyObjective/2:
		return tierSlow
	}
	return tierRoom
}

// lateChoice returns the refusal of a request that would start too late at each server, of which earliest is the one with the
// earliest start.
func lateChoice(earliest Placement, view *LoadView) Placement {
	if earliest.Server == nil {
		return Placement{}
	}
	return Placement{RetryAfter: max(earliest.Start.RetryAfter(view.Capacity.Deadline.Sub(view.Now)), minBlockedBackoff)}
}

// placementOn returns the placement of a request on a server.
func (s *State) placementOn(server *Server, rank int, view *LoadView, limit float64) Placement {
	load := view.InFlight(server)
	return Placement{Server: server, Rank: rank, Load: load, Cost: view.WeightedLoad(server, load), Limit: limit, RateLimit: s.rateLimit(server.ID)}
}

// lowerCost returns the placement with the lower cost, or p if they are equal.
func (p Placement) lowerCost(other Placement) Placement {
	if p.Server == nil || other.Cost < p.Cost {
		return other
	}
	return p
}
