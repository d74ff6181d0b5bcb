package dtdispatch

// loadSpreadDivisor is the part of its load by which a server may be ranked after one with more.
const loadSpreadDivisor = 2

// spreadRanker ranks servers by load like loadRanker, except that the loads differ by up to half from request to
// request. Routers that all go by the same loads would send what arrives before the next message to the same few servers.
type spreadRanker struct{ loadRanker }

// Rank implements ranker.
func (l spreadRanker) Rank(servers []*Server, v *LoadView, n int) []*Server {
	if v.Capacity != nil {
		return l.loadRanker.Rank(servers, v, n) // Its costs differ from request to request, too.
	}
	return topRanked(servers, n, func(server *Server) sortKey {
		score := Mix(l.key, server.IDHash)
		cost, spread := l.cost(v, server), uint64(2*v.InFlight(server)/loadSpreadDivisor)
		if v.Credited[server.ID] {
			spread = 0
		}
		return sortKey{cost: cost + float64(score%(spread+1)), score: score}
	})
}

// spreadIfContended returns the ranker where callers compete for room.
func (s *State) spreadIfContended(l loadRanker) ranker {
	if !s.Settings.SharesRoom {
		return l
	}
	l.key = Mix(l.key, HashString(s.Settings.RouterName)) // Independent of the draw of ties.
	return spreadRanker{l}
}
