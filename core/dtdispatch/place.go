package dtdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dottereltack/dottereltack/core/dtcapacity"
)

// cacheWarmupPeriod is the time after its first listing at which a server is assumed to have
// the frequently requested prompt parts in its cache.
const cacheWarmupPeriod = 10 * time.Second

// initialCandidates is the number of servers that are ranked at first. Most requests are placed
// on one of them, so the remaining servers are ranked only if needed.
const initialCandidates = 32

// ranker ranks the servers of a service for one request.
type ranker interface {
	// Rank returns the n highest-ranked servers in order.
	Rank(servers []*Server, v *LoadView, n int) []*Server
}

// affinityRanker ranks servers by rendezvous hashing of a key. Requests that share prompt parts
// are placed on the same server and overflow to the same next one.
type affinityRanker struct{ key uint64 }

// Rank implements ranker.
func (a affinityRanker) Rank(servers []*Server, _ *LoadView, n int) []*Server {
	return topRanked(servers, n, func(server *Server) sortKey { return sortKey{score: Mix(a.key, server.IDHash)} })
}

// loadRanker ranks servers by load. Ties are broken in favor of the router's own failure domain,
// then by the hash of the request.
type loadRanker struct {
	key    uint64
	domain string
}

// weightedKey returns the sort key of a server by its load and speed. Servers are chosen at random in inverse proportion to their cost:
// routers that chose the lowest one would all choose the same servers until they hear of each other's requests. A load that is
// not known is taken to be higher at a slower server.
func (l loadRanker) weightedKey(v *LoadView, server *Server) sortKey {
	const (
		drawBits  = 53
		afterward = 1e6 // Cost of servers that have more requests than others, which come after the others.
	)
	score, slowdown := Mix(l.key, server.IDHash), v.Slowdown(server)
	cost := (l.cost(v, server) + 2) * slowdown
	switch {
	case v.Credited[server.ID]:
		return sortKey{score: score}
	case v.Fleet != nil && v.Fleet.isBusier(server):
		return sortKey{cost: afterward + cost, score: score}
	case !v.IsLoadKnown(server):
		cost *= slowdown
	}
	draw := (float64(score>>(64-drawBits)) + 0.5) / (1 << drawBits)
	return sortKey{cost: -cost * math.Log(draw), score: score}
}

// Rank implements ranker.
func (l loadRanker) Rank(servers []*Server, v *LoadView, n int) []*Server {
	if v.Capacity != nil {
		return topRanked(servers, n, func(server *Server) sortKey { return l.weightedKey(v, server) })
	}
	return topRanked(servers, n, func(server *Server) sortKey {
		return sortKey{cost: l.cost(v, server), score: Mix(l.key, server.IDHash)}
	})
}

// cost returns twice the load of a server, plus one if it is in another failure domain. It is lowest if the server is to come first.
func (l loadRanker) cost(v *LoadView, server *Server) float64 {
	if v.Credited[server.ID] {
		return -1
	}
	cost := float64(2 * v.InFlight(server))
	if server.Domain != l.domain {
		cost++
	}
	return cost
}

// sortKey orders servers by cost, lowest first, then by score, highest first.
type sortKey struct {
	cost  float64
	score uint64
}

// compare returns a negative number if k sorts before other.
func (k sortKey) compare(other sortKey) int {
	return cmp.Or(cmp.Compare(k.cost, other.cost), cmp.Compare(other.score, k.score))
}

// topRanked returns the first n servers in the order of their sort keys.
func topRanked(servers []*Server, n int, keyOf func(*Server) sortKey) []*Server {
	type candidate struct {
		server *Server
		key    sortKey
	}
	best := make([]candidate, 0, min(n, len(servers))+1)
	for _, server := range servers {
		key := keyOf(server)
		if len(best) == n && best[n-1].key.compare(key) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, key, func(c candidate, key sortKey) int { return c.key.compare(key) })
		best = slices.Insert(best, at, candidate{server, key})
		best = best[:min(len(best), n)]
	}
	list := make([]*Server, len(best))
	for i := range best {
		list[i] = best[i].server
	}
	return list
}

// isByPrompt reports whether the request is placed by its prompt.
func (r *Request) isByPrompt() bool { return r.Route.Affinity && len(r.PromptParts) > 0 }

func (s *State) rankerFor(r *Request) ranker {
	if !r.isByPrompt() {
		// Routers that start together number their requests alike, and know no loads of others at first.
		key := Mix(HashString(s.Settings.RouterName), uint64(r.Number))
		return s.spreadIfContended(loadRanker{key: key, domain: s.Settings.Domain})
	}
	return affinityRanker{key: sharedPartID(r.PromptParts)}
}

// sharedPartID returns the ID of the last part that other requests may share, which identifies
// the shared prefix of the prompt. The last part of the prompt is unique to the request.
func sharedPartID(parts []PromptPart) uint64 { return parts[max(len(parts)-2, 0)].ID }

// Placement is the server chosen for an attempt and the values that the choice is based on.
type Placement struct {
	Server      *Server
	Rank        int       // Position of the server in the ranking, from 0.
	Load        int       // Estimated requests in flight on the server.
	Cost        float64   // Load with this request, weighted by the speed of the server; see LoadView.WeightedLoad.
	Limit       float64   // Load limit of the server.
	RateLimit   RateLimit // Named by the server.
	CacheSource string    // Address of another server that probably has the prompt cached, or "".

	Start        dtcapacity.Start // When the request is expected to start; zero where servers state no speed.
	TokensToRead int              // Of the prompt, as far as is known; zero where the times of answers are of no use.
	RetryAfter   time.Duration    // If the request would start too late at each server: when it would not.
}

// place chooses the server for the next attempt of a request. Server is nil if no server may
// take the request.
func (s *State) place(r *Request, now time.Time) Placement {
	eligible := s.eligibleServers(r, s.servingServers(r.Service), now)
	servers := s.trialSubset(r, s.serversOfStream(r, s.serversOfRollout(r, eligible, now), now), now)
	view := s.loadView(now)
	view.Capacity, view.Credited = s.capacityView(r, now), s.creditedServers(r, view)
	limit := s.loadLimit(view.MeanInFlight(r.Service, s.withoutRateLimit(eligible)), view.Lag)
	ranker := s.rankerFor(r)
	if server := s.trialServer(r, servers, view, limit); server != nil {
		s.ServerRates[server.ID].TrialAt = now
		return s.withCacheSource(s.placementOn(server, 0, view, limit), r, ranker.Rank(servers, view, initialCandidates), now)
	}
	for n := initialCandidates; ; n = len(servers) {
		ranked := ranker.Rank(servers, view, n)
		choice, hasRoom := s.choose(r, ranked, view, limit)
		if !hasRoom && n >= len(servers) {
			choice = s.chooseOld(r, choice, eligible, view, limit)
		}
		if hasRoom || n >= len(servers) {
			if choice.Server != nil && s.observesAnswers(r.Service, now) {
				choice.TokensToRead = s.tokensToRead(r.PromptParts, choice.Server, now)
			}
			return s.withCacheSource(choice, r, ranked, now)
		}
	}
}

// isAvoided reports whether a server has failed recently or its failure domain is unreachable.
func (s *State) isAvoided(server *Server, now time.Time) bool {
	if health := s.Health[server.ID]; health != nil && health.IsAvoided(now) {
		return true
	}
	domain := s.DomainHealth[server.Domain]
	return domain != nil && domain.IsAvoided(now)
}

// eligibleServers returns the servers in the regions that may run the request. It returns only
// those in the router's own region if any of them accepts requests.
func (s *State) eligibleServers(r *Request, servers []*Server, now time.Time) []*Server {
	if len(r.AllowedRegions) == 0 && len(r.Route.AllowedRegions) == 0 && s.hasSingleRegion() {
		return servers
	}
	ownRegion := s.Settings.Regions[s.Settings.Domain]
	var allowed, local []*Server
	hasAcceptingLocal := false
	for _, server := range servers {
		region := s.Settings.Regions[server.Domain]
		if !allowsRegion(r.AllowedRegions, region) || !allowsRegion(r.Route.AllowedRegions, region) {
			continue
		}
		allowed = append(allowed, server)
		if region == ownRegion {
			local = append(local, server)
			hasAcceptingLocal = hasAcceptingLocal || s.acceptsRequests(server, now)
		}
	}
	if hasAcceptingLocal {
		return local
	}
	return allowed
}

func (s *State) hasSingleRegion() bool {
	first := ""
	for _, region := range s.Settings.Regions {
		if first != "" && region != first {
			return false
		}
		first = region
	}
	return true
}

// allowsRegion reports whether allowed contains region or is empty.
func allowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// withCacheSource adds the server from which the chosen one can copy cached prompt parts.
func (s *State) withCacheSource(choice Placement, r *Request, ranked []*Server, now time.Time) Placement {
	if choice.Server == nil || !r.isByPrompt() {
		return choice
	}
	if source := s.cacheSource(r, choice.Server, ranked, now); source != nil && source != choice.Server {
		choice.CacheSource = source.Address
	}
	return choice
}

// cacheSource returns the server that probably has most of the prompt cached, or nil. It tries
// the holder of all shared parts, then the first ranked server past its warm-up unless that is
// the chosen one, then the holders of ever shorter prefixes.
func (s *State) cacheSource(r *Request, chosen *Server, ranked []*Server, now time.Time) *Server {
	last := max(len(r.PromptParts)-2, 0)
	if server := s.partHolder(r.PromptParts[last].ID, now); server != nil {
		return server
	}
	for _, server := range ranked {
		if now.Sub(server.FirstListedAt) < cacheWarmupPeriod {
			continue
		}
		if server != chosen {
			return server
		}
		break
	}
	for i := last - 1; i >= 0; i-- {
		if server := s.partHolder(r.PromptParts[i].ID, now); server != nil {
			return server
		}
	}
	return nil
}

// partHolder returns the server that last read a part, or nil if it is unknown or avoided.
func (s *State) partHolder(part uint64, now time.Time) *Server {
	ref, known := s.Prompts.Holder(part, now)
	if !known {
		return nil
	}
	server := s.Roster.ByRef[ref]
	if server == nil || s.isAvoided(server, now) {
		return nil
	}
	return server
}
