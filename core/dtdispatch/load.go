package dtdispatch

import "time"

// Maximum ages at which a load is used.
const (
	maxReportAge   = 400 * time.Millisecond // Twice the reporting delay of a model server; the lag of the peers' loads applies instead if it is longer.
	maxPeerLoadAge = 4 * time.Second        // Two of the longest status intervals, with a margin.
)

// Parameters of the load limit. The limit of a server is a share of Bounds.MaxLoadFactor times
// the mean load of its service, plus a slack. It stays below the guaranteed bound, which is the
// full factor times the mean plus three, by the number of requests that may arrive while load
// messages are in transit. Between freshLag and staleLag, share and slack decrease linearly.
const (
	freshLoadFactorShare = 0.875
	freshLoadSlack       = 2.5
	staleLoadFactorShare = 0.75
	staleLoadSlack       = 1.5
	freshLag             = 250 * time.Millisecond
	staleLag             = 750 * time.Millisecond
)

// LoadReport is the load that a server reports along with a response.
type LoadReport struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // Time that work takes there at this moment, as a multiple of the usual time; zero if not stated.
}

// ServerLoad is what a router knows about the requests in flight on one server.
type ServerLoad struct {
	Local           int // Requests in flight that this router sent.
	SentSinceReport int // Requests sent since the last report.
	Reported        int // Running and waiting requests in the last report.
	Slots           int // In that report.
	ReportedAt      time.Time
	ByPeer          map[string]PeerLoad // By name of the router.
}

// PeerLoad is the number of requests that a peer has in flight on a server.
type PeerLoad struct {
	Count     int
	UpdatedAt time.Time
}

// LoadView is the view of the server loads that one placement uses.
type LoadView struct {
	Loads map[ServerID]*ServerLoad
	Fleet *FleetLoad // Fleet totals; nil if the loads come from peer statuses.
	Now   time.Time
	Lag   time.Duration // Maximum delay of the loads of other routers.

	Capacity *CapacityView     // Nil where servers state no speed.
	Credited map[ServerID]bool // Servers that come first; see creditedServers.
}

func (s *State) loadView(now time.Time) *LoadView {
	v := &LoadView{Loads: s.Loads, Now: now, Lag: s.Peers.StatusInterval()}
	if interval := s.collectInterval(); s.Membership.IsLarge() && s.FleetLoad.IsFresh(interval, now) {
		v.Fleet, v.Lag = &s.FleetLoad, interval
	}
	return v
}

// InFlight returns the estimated number of requests in flight on a server.
func (v *LoadView) InFlight(server *Server) int {
	load := v.Loads[server.ID]
	if v.Fleet != nil {
		own := 0
		if load != nil {
			own = load.Local
		}
		return v.Fleet.InFlight(server, own)
	}
	if load != nil {
		return load.Estimate(v.Now, max(maxReportAge, v.Lag))
	}
	return 0
}

// IsLoadKnown reports whether InFlight of a server is more than the mean of its service.
func (v *LoadView) IsLoadKnown(server *Server) bool {
	if v.Fleet == nil {
		return true
	}
	_, isKnown := v.Fleet.BusyServers[server.Ref()]
	return isKnown
}

// MeanInFlight returns the mean number of requests in flight per server of a service.
func (v *LoadView) MeanInFlight(service string, servers []*Server) float64 {
	if v.Fleet != nil {
		return v.Fleet.MeanInFlight[service]
	}
	sum := 0
	for _, server := range servers {
		sum += v.InFlight(server)
	}
	return float64(sum) / float64(max(len(servers), 1))
}

// withoutRateLimit returns the servers that have named no request rate, or all servers if there are
// none. Others can't take their part of the load, so that the mean would be too low a measure for
// the servers that do.
func (s *State) withoutRateLimit(servers []*Server) []*Server {
	if len(s.ServerRates) == 0 {
		return servers
	}
	var list []*Server
	for _, server := range servers {
		if !s.rateLimit(server.ID).IsSet {
			list = append(list, server)
		}
	}
	if len(list) == 0 {
		return servers
	}
	return list
}

// loadLimit returns the maximum number of requests in flight on one server, given the mean of
// its service and the delay with which the mean is known.
func (s *State) loadLimit(mean float64, lag time.Duration) float64 {
	staleness := min(max(float64(lag-freshLag)/float64(staleLag-freshLag), 0), 1)
	share := freshLoadFactorShare - staleness*(freshLoadFactorShare-staleLoadFactorShare)
	return share*s.Settings.Bounds.MaxLoadFactor*mean + freshLoadSlack - staleness*(freshLoadSlack-staleLoadSlack)
}

// Estimate returns the estimated number of requests in flight on the server, taking into
// account the server's own report if it is younger than maxAge.
func (l *ServerLoad) Estimate(now time.Time, maxAge time.Duration) int {
	n := l.Local
	for _, peer := range l.ByPeer {
		if now.Sub(peer.UpdatedAt) < maxPeerLoadAge {
			n += peer.Count
		}
	}
	if now.Sub(l.ReportedAt) < maxAge {
		n = max(n, l.Reported+l.SentSinceReport)
	}
	return n
}

// RequestSent counts a request sent to the server.
func (l *ServerLoad) RequestSent() {
	l.Local++
	l.SentSinceReport++
}

// RequestEnded counts a request that has ended.
func (l *ServerLoad) RequestEnded() { l.Local = max(l.Local-1, 0) }

// SetReport applies a load report of the server.
func (l *ServerLoad) SetReport(r LoadReport, now time.Time) {
	l.Reported = r.Running + r.Waiting
	l.Slots = r.Slots
	l.ReportedAt = now
	l.SentSinceReport = 0
}

// SetPeerCount sets the number of requests that a peer has in flight on the server.
func (l *ServerLoad) SetPeerCount(name string, count int, now time.Time) {
	if count == 0 {
		delete(l.ByPeer, name)
		return
	}
	if l.ByPeer == nil {
		l.ByPeer = map[string]PeerLoad{}
	}
	l.ByPeer[name] = PeerLoad{Count: count, UpdatedAt: now}
}

func (s *State) updatePeerLoads(status *PeerStatus, now time.Time) {
	for id, server := range s.Roster.Servers {
		if n := status.InFlight[server.Ref()]; n > 0 || s.Loads[id] != nil {
			s.serverLoad(id).SetPeerCount(status.From, n, now)
		}
	}
}
