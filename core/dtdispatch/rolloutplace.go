package dtdispatch

import (
	"math"
	"slices"
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// subsetPeriod is how long the trial of a roll-out uses the same servers of the target.
const subsetPeriod = 5 * time.Second

// servingServers returns the servers of a service without those of a version that has been found bad.
func (s *State) servingServers(service string) []*Server {
	servers := s.Roster.ByService[service]
	ro := s.Rollouts.ByService[service]
	if ro == nil || ro.State != dtrollout.StateReverted {
		return servers
	}
	return withoutVersion(servers, ro.Order.Target)
}

// roomServers returns the servers of a service whose free slots count for requests that wait: those of the version that gets
// most requests. The others of a roll-out are nearly idle, and take only a part.
func (s *State) roomServers(service string) []*Server {
	servers := s.servingServers(service)
	ro := s.Rollouts.ByService[service]
	if ro == nil || ro.State == dtrollout.StateReverted || ro.Withdrawn && ro.State == dtrollout.StateComplete {
		return servers
	}
	main := withoutVersion(servers, ro.Order.Target)
	if !ro.Withdrawn && ro.StageShare() == 1 {
		main = withVersion(servers, ro.Order.Target)
	}
	if len(main) == 0 {
		return servers
	}
	return main
}

func withoutVersion(servers []*Server, version string) []*Server {
	var list []*Server
	for _, server := range servers {
		if server.Version != version {
			list = append(list, server)
		}
	}
	return list
}

// serversOfRollout returns those of servers that a request may go to by the roll-out of its service. A new stream gets
// the version that follows from its ID and the mix, which goes by the roll-out too; one that has begun keeps its version.
func (s *State) serversOfRollout(r *Request, servers []*Server, now time.Time) []*Server {
	if r.HasVersion || len(s.Rollouts.ByService) == 0 {
		return servers
	}
	ro := s.Rollouts.ByService[r.Service]
	servers = s.withoutUnproven(r, ro, servers, now)
	if ro == nil || ro.Withdrawn || ro.State == dtrollout.StateReverted {
		return servers
	}
	target, old := withVersion(servers, ro.Order.Target), withoutVersion(servers, ro.Order.Target)
	if len(target) == 0 || len(old) == 0 {
		return servers
	}
	if r.keepsVersion() {
		if ro.StageShare() == 1 {
			return target // Others would not find a stream that begins at another version than those of the mix.
		}
		return servers
	}
	hasFailedThere := r.Attempt > 0 && r.ServerVersion == ro.Order.Target && ro.State == dtrollout.StateActive
	if !hasFailedThere && ro.PicksTarget(s.RouterCount()) {
		return s.firstUsable(r, target, old, now)
	}
	return s.firstUsable(r, old, target, now)
}

// firstUsable returns the first of two groups of servers that has a usable one.
func (s *State) firstUsable(r *Request, first, second []*Server, now time.Time) []*Server {
	isUsable := func(server *Server) bool { return s.isUsable(r, server, now) }
	if slices.ContainsFunc(first, isUsable) || !slices.ContainsFunc(second, isUsable) {
		return first
	}
	return second
}

// withoutUnproven leaves out the targets of orders that were withdrawn or replaced, as long as there are others.
func (s *State) withoutUnproven(r *Request, ro *Rollout, servers []*Server, now time.Time) []*Server {
	unproven := s.Rollouts.Unproven[r.Service]
	isWithdrawn := ro != nil && ro.Withdrawn && ro.State == dtrollout.StateActive
	if len(unproven) == 0 && !isWithdrawn {
		return servers
	}
	var proven []*Server
	for _, server := range servers {
		if unproven[server.Version] || isWithdrawn && server.Version == ro.Order.Target {
			continue
		}
		proven = append(proven, server)
	}
	if r.keepsVersion() && len(proven) > 0 {
		return proven
	}
	return s.firstUsable(r, proven, servers, now)
}

// trialSubset returns as many servers of the target as its share is of the old ones, so that each of them has the load
// that it will have after the move, and faults show that come only under load.
func (s *State) trialSubset(r *Request, servers []*Server, now time.Time) []*Server {
	ro := s.Rollouts.ByService[r.Service]
	if ro == nil || ro.Withdrawn || ro.State != dtrollout.StateActive || r.HasVersion || ro.Share() == 1 || len(servers) < 2 || servers[0].Version != ro.Order.Target {
		return servers
	}
	old := len(s.Roster.ByService[r.Service]) - len(withVersion(s.Roster.ByService[r.Service], ro.Order.Target))
	size := max(int(math.Ceil(ro.StageShare()*float64(old))), 1)
	if size >= len(servers) || slices.ContainsFunc(servers, func(server *Server) bool { return server.Version != ro.Order.Target }) {
		return servers
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b *Server) int { return int(a.Ref()) - int(b.Ref()) })
	first := int(now.Sub(ro.BegunAt)/subsetPeriod) * size % len(sorted)
	subset := make([]*Server, 0, size)
	for i := range size {
		subset = append(subset, sorted[(first+i)%len(sorted)])
	}
	return s.firstUsable(r, subset, servers, now)
}

// chooseOld returns the placement on a server of the old versions if the target of a roll-out, which is to get only a part of
// the requests, has no room for this one, and else the choice.
func (s *State) chooseOld(r *Request, choice Placement, eligible []*Server, view *LoadView, limit float64) Placement {
	ro := s.activeRollout(r.Service)
	if ro == nil || choice.Server == nil || choice.Server.Version != ro.Order.Target || r.keepsVersion() || ro.Share() == 1 {
		return choice
	}
	old := withoutVersion(eligible, ro.Order.Target)
	other, hasRoom := s.choose(r, s.rankerFor(r).Rank(old, view, len(old)), view, limit)
	if !hasRoom || s.Rollouts.Unproven[r.Service][other.Server.Version] {
		return choice
	}
	return other
}

// rolloutWeights returns the numbers of servers by version as they count for new streams. The share of the target goes by
// the stage of the roll-out, which all routers reach at about the same time.
func (s *State) rolloutWeights(service string, counts map[string]int) map[string]int {
	ro := s.Rollouts.ByService[service]
	if ro == nil {
		return counts
	}
	weights, old := map[string]int{}, 0
	target, unproven := ro.Order.Target, s.Rollouts.Unproven[service]
	for version, n := range counts {
		if version != target && !unproven[version] {
			weights[version] = n
			old += n
		}
	}
	share := ro.StageShare()
	switch {
	case ro.State == dtrollout.StateReverted || ro.Withdrawn && ro.State == dtrollout.StateActive:
		share = 0
	case ro.Withdrawn:
		return counts
	}
	if counts[target] == 0 || share == 0 && old > 0 {
		return weightsOr(weights, counts)
	}
	if old == 0 || share == 1 {
		if ro.State == dtrollout.StateReverted {
			return counts
		}
		return map[string]int{target: 1}
	}
	const parts = 100
	for version := range weights {
		weights[version] *= parts - int(math.Round(share*parts))
	}
	weights[target] = max(old*int(math.Round(share*parts)), 1)
	return weights
}

// weightsOr returns weights, or counts if there are none.
func weightsOr(weights, counts map[string]int) map[string]int {
	if len(weights) == 0 {
		return counts
	}
	return weights
}
