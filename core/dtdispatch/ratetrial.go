package dtdispatch

import (
	"slices"
	"time"
)

// Parameters of trial requests. Only a response shows whether the limit of a server has ended, and a
// limited server may get hardly any: few routers have a share of its rate, and by the order of their
// prompts they rarely choose it.
const (
	trialAge      = 2 * time.Second // Age of the last response that was heard of at which a trial is due.
	trialInterval = time.Second     // Between two trials of one router on one server.
	// Interval after which the next router by rank makes the trial that the one before has not made;
	// responses to other routers become known within it.
	trialStagger = time.Second
)

// trialServer returns the server for which a trial is due longest among those that r may use, or nil.
// The request is placed on it whatever its prompt, if the server's load is below limit.
func (s *State) trialServer(r *Request, servers []*Server, view *LoadView, limit float64) *Server {
	if len(s.ServerRates) == 0 {
		return nil
	}
	var best *Server
	longest := time.Duration(0)
	for _, server := range servers {
		overdue := s.trialOverdue(server, view.Now)
		if overdue <= longest || float64(view.InFlight(server)+1) > limit || slices.Contains(r.TriedServers, server.ID) {
			continue
		}
		if s.availability(server, view.Now).Block == BlockNone && !s.isAvoided(server, view.Now) {
			best, longest = server, overdue
		}
	}
	return best
}

// trialOverdue returns for how long this router's trial of a server has been due; it is negative if it
// is not due yet or the server has no limit.
func (s *State) trialOverdue(server *Server, now time.Time) time.Duration {
	rate := s.ServerRates[server.ID]
	if rate == nil || !rate.Limit.IsSet || now.Sub(rate.TrialAt) < trialInterval {
		return -1
	}
	age := now.Sub(rate.ObservedAt) - trialAge
	if age <= 0 {
		return -1
	}
	rate = s.limitedRate(server, now)
	return age - time.Duration(rate.Share.Rank)*trialStagger
}
