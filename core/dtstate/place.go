package dtstate

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// ranker orders the servers of a group by preference for one request.
type ranker interface {
	// rank appends up to maxRankedServers servers to buf[:0], the preferred one first.
	rank(s *State, g *ServerGroup, chat uint64, buf []*BackendServer, now time.Time) []*BackendServer
	// limitsLoad reports whether the load bound, fair shares and the detection of cold
	// servers apply.
	limitsLoad() bool
}

func (s *State) placementRanker() ranker {
	switch s.Config.Limits().Policy {
	case dtconfig.PolicyRendezvous:
		return rendezvousRanker{}
	case dtconfig.PolicyLeastLoaded:
		return leastLoadedRanker{}
	case dtconfig.PolicyRandom:
		return randomRanker{}
	}
	return rendezvousRanker{loadLimited: true}
}

// rendezvousRanker ranks servers by the hash of chat and server, so that a chat returns to
// the server that has its prompt cached.
type rendezvousRanker struct{ loadLimited bool }

func (r rendezvousRanker) limitsLoad() bool { return r.loadLimited }

func (r rendezvousRanker) rank(s *State, g *ServerGroup, chat uint64, buf []*BackendServer, now time.Time) []*BackendServer {
	var scores [maxRankedServers]uint64
	buf = buf[:0]
	for i := range g.Candidates {
		c := &g.Candidates[i]
		score := mix(chat ^ c.Hash)
		full := len(buf) == maxRankedServers
		if full && score <= scores[maxRankedServers-1] {
			continue
		}
		if c.Ramping && !s.rampAdmits(chat, c.Server.Domain, now) {
			continue
		}
		if !full {
			buf = append(buf, nil)
		}
		at := len(buf) - 1
		for at > 0 && scores[at-1] < score {
			scores[at], buf[at] = scores[at-1], buf[at-1]
			at--
		}
		scores[at], buf[at] = score, c.Server
	}
	return buf
}

// leastLoadedRanker selects the server with the lowest known load.
type leastLoadedRanker struct{}

func (leastLoadedRanker) limitsLoad() bool { return false }

func (leastLoadedRanker) rank(_ *State, g *ServerGroup, _ uint64, buf []*BackendServer, _ time.Time) []*BackendServer {
	var best *BackendServer
	for i := range g.Candidates {
		sv := g.Candidates[i].Server
		if best == nil || sv.Load.InFlight < best.Load.InFlight {
			best = sv
		}
	}
	if best == nil {
		return buf[:0]
	}
	return append(buf[:0], best)
}

// randomRanker selects a random server.
type randomRanker struct{}

func (randomRanker) limitsLoad() bool { return false }

func (randomRanker) rank(s *State, g *ServerGroup, _ uint64, buf []*BackendServer, _ time.Time) []*BackendServer {
	if len(g.Candidates) == 0 {
		return buf[:0]
	}
	return append(buf[:0], g.Candidates[s.random.IntN(len(g.Candidates))].Server)
}

// rampAdmits reports whether a chat may return to a failure domain that is back in
// service; the share of chats that may grows linearly over the ramp period.
func (s *State) rampAdmits(chat uint64, d FailureDomain, now time.Time) bool {
	ramp := time.Duration(s.Config.Limits().RampMs) * time.Millisecond
	elapsed := now.Sub(s.Fleet.RampStarts[d])
	if elapsed >= ramp {
		return true
	}
	share := float64(mix(chat+1)>>11) / (1 << 53)
	return share < elapsed.Seconds()/ramp.Seconds()
}

// first returns the server that ranks first, without ranking the others.
func (r rendezvousRanker) first(s *State, g *ServerGroup, chat uint64, now time.Time) *BackendServer {
	var first *BackendServer
	var highScore uint64
	for i := range g.Candidates {
		c := &g.Candidates[i]
		score := mix(chat ^ c.Hash)
		if score < highScore || c.Ramping && !s.rampAdmits(chat, c.Server.Domain, now) {
			continue
		}
		first, highScore = c.Server, score
	}
	return first
}

// isUsable reports whether a server is up and not in tried, and has an owner that is not
// avoided.
func (s *State) isUsable(sv *BackendServer, tried []ServerID, now time.Time) bool {
	owner := sv.Shard.Owner
	return owner != "" && !sv.Down() && !containsServer(tried, sv.ID) && !s.isAvoided(owner, now)
}

// homeServer returns the usable server that the policy ranks first for a chat, or else any
// usable candidate, or nil.
func (s *State) homeServer(g *ServerGroup, chat uint64, tried []ServerID, now time.Time) *BackendServer {
	policy := s.placementRanker()
	if r, ok := policy.(rendezvousRanker); ok {
		if sv := r.first(s, g, chat, now); sv != nil && s.isUsable(sv, tried, now) {
			return sv
		}
	}
	var buf [maxRankedServers]*BackendServer
	for _, sv := range policy.rank(s, g, chat, buf[:0], now) {
		if s.isUsable(sv, tried, now) {
			return sv
		}
	}
	for i := range g.Candidates {
		sv := g.Candidates[(i+int(chat%uint64(len(g.Candidates))))%len(g.Candidates)].Server
		if s.isUsable(sv, tried, now) {
			return sv
		}
	}
	return nil
}

func containsServer(list []ServerID, id ServerID) bool {
	for _, a := range list {
		if a == id {
			return true
		}
	}
	return false
}

// admits reports whether a server may take one more request, as far as its load is known
// here.
func (s *State) admits(g *ServerGroup, sv *BackendServer, p *placement) bool {
	l := &sv.Load
	if l.Flags&FlagDown != 0 || sv.Draining || containsServer(p.TriedServers, sv.ID) || sv.awaitsNews() {
		return false
	}
	limit := classCap(l.Cap, p.Class)
	if p.overFairShare {
		limit = min(limit, l.Cap-l.Cap/overShareReserveDivisor)
	}
	if l.InFlight >= limit {
		return false
	}
	return !p.limitsLoad || s.withinLoadBound(g, sv, p.Work, p.loadBound)
}

// Divisors of a server's cap; the quotient is the number of slots reserved for other
// requests.
const (
	overShareReserveDivisor = 3 // Closed to accounts above their fair share.
	batchReserveDivisor     = 4 // Closed to batch requests.
)

// classCap returns how much of a server's cap the requests of a class may use.
func classCap(limit uint32, class Class) uint32 {
	if class != ClassBatch {
		return limit
	}
	return limit - limit/batchReserveDivisor
}

// Shares of the range between the mean load and the configured bound that a request may
// use. The rest is left for requests that other owners place before they learn of the new
// load.
const (
	wideBoundShare  = 0.35
	tightBoundShare = 0.3
)

// loadBoundFor returns the multiple of the mean load up to which a server may take one more
// request. A long prompt at its home server may use more of the range: a short one costs
// little to process again elsewhere, and away from home neither finds a cached prompt.
func (s *State) loadBoundFor(og *OwnedGroup, req *SlotRequest, home bool) float64 {
	share := tightBoundShare
	if home && float64(req.Work) >= og.MeanWork {
		share = wideBoundShare
	}
	return 1 + (s.Config.Limits().LoadBound-1)*share
}

// withinLoadBound reports whether a server's load, by request count and by work, is at
// most bound times the mean of its group. Only the mean includes the new request.
func (s *State) withinLoadBound(g *ServerGroup, sv *BackendServer, work uint32, bound float64) bool {
	if g.ReadyCount == 0 {
		return true
	}
	n := float64(g.ReadyCount)
	mean := float64(g.TotalInFlight+1) / n
	if float64(sv.Load.InFlight) > bound*mean {
		return false
	}
	w := float64(work)
	meanWork := (float64(g.TotalWork) + w) / n
	return float64(sv.Load.Work) <= bound*meanWork
}
