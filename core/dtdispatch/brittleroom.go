package dtdispatch

import "time"

// demandPeriod is the period over which the requests are counted that this router has for brittle servers.
const demandPeriod = time.Second

// observeBrittleness applies what a response has said that arrived at observedAt. One that does not say that
// the server is brittle ends it.
func (s *State) observeBrittleness(id ServerID, brittleness Brittleness, isOwn bool, observedAt time.Time) {
	b := s.BrittleServers[id]
	if b == nil && !brittleness.IsSet {
		return
	}
	b = getOrCreate(s.BrittleServers, id, func() *BrittleServer { return &BrittleServer{} })
	if !b.Observe(brittleness, isOwn, observedAt) {
		return
	}
	s.markBrittleNews(b)
	s.emit(LogRecord{Event: "server_brittle", Subject: string(id), Brittleness: brittleness})
}

// recordTurnedAway records that a server has turned the current attempt of r away for want of room.
func (s *State) recordTurnedAway(r *Request, report *ServerReport, now time.Time) {
	b := s.BrittleServers[r.Server]
	if b == nil || !b.Brittleness.IsSet {
		return
	}
	r.IsTurnedAway = true
	room := r.Placement.Load
	if report != nil && report.Load != nil {
		room = report.Load.Running + report.Load.Waiting
	}
	if b.ObserveRefusal(room, true, now) {
		s.markBrittleNews(b)
	}
}

// countBrittleDemand counts a request for the servers of a service while some are brittle.
func (s *State) countBrittleDemand(service string, now time.Time) {
	if len(s.BrittleServers) > 0 {
		getOrCreate(s.BrittleDemand, service, func() *Window { return &Window{Length: demandPeriod} }).Add(1, now)
	}
}

// roomQuery returns what this router knows of the room of a server that is brittle.
func (s *State) roomQuery(server *Server, now time.Time) *RoomQuery {
	view, ref := s.loadView(now), server.Ref()
	q := &RoomQuery{
		Slots: server.Slots, InFlight: view.InFlight(server), Routers: s.RouterCount(), Lag: view.Lag, Now: now,
		IsShort: now.Sub(s.RoomShortAt) < demandPeriod,
	}
	if demand := s.BrittleDemand[server.Service]; demand != nil {
		q.Demand = float64(demand.Sum(now)) / demand.Length.Seconds() / float64(max(len(s.Roster.ByService[server.Service]), 1))
	}
	if load := s.Loads[server.ID]; load != nil {
		q.Own = load.Local
	}
	switch {
	case view.Fleet != nil:
		q.Told, q.Heard, q.Lag = view.Fleet.Told(ref), q.Routers, summaryIntervals*view.Lag
		q.InFlight += view.Fleet.SentLoads[ref] - q.Told
	case s.Membership.IsLarge():
		q.Heard = 1
	default:
		q.Told, q.Heard = s.Peers.lastStatus.InFlight[ref], s.heardRouters(now)
	}
	return q
}

// heardRouters returns the number of routers whose loads are known, this one included.
func (s *State) heardRouters(now time.Time) int {
	n := 1
	for _, peer := range s.Peers.ByName {
		if now.Sub(peer.LastHeardAt) < maxPeerLoadAge {
			n++
		}
	}
	return n
}

// brittleAvailability applies what is believed of the room of a server that is brittle.
func (s *State) brittleAvailability(server *Server, now time.Time) Availability {
	b := s.brittleServer(server, now)
	if b == nil || b.HasRoom(s.roomQuery(server, now)) {
		return Availability{}
	}
	return Availability{Block: BlockBrittle, Until: now.Add(retryAfterBusy)}
}

// isBrittle reports whether a server has said that it is brittle.
func (s *State) isBrittle(id ServerID) bool {
	b := s.BrittleServers[id]
	return b != nil && b.Brittleness.IsSet
}

// brittleServer returns a server that has said that it is brittle, with the rank of this router, or nil.
func (s *State) brittleServer(server *Server, now time.Time) *BrittleServer {
	b := s.BrittleServers[server.ID]
	if b == nil || !b.Brittleness.IsSet {
		return nil
	}
	if now.Sub(b.RankSetAt) >= roomRankInterval {
		b.Rank, b.RankSetAt = routerRank(server, s.Settings.RouterName, s.routerNames()), now
	}
	return b
}

// countBrittleRequest records that a request is sent to a server; it comes before the load of the server is changed.
func (s *State) countBrittleRequest(server *Server, now time.Time) {
	if b := s.brittleServer(server, now); b != nil {
		b.CountRequest(s.roomQuery(server, now))
	}
}

// isSpared reports whether a server gets no retry of a request that another brittle server has turned away.
func (s *State) isSpared(r *Request, server *Server, now time.Time) bool {
	if !r.IsTurnedAway || s.brittleServer(server, now) == nil {
		return false
	}
	q := s.roomQuery(server, now)
	return q.Own >= q.Told
}
