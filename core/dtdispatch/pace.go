package dtdispatch

import (
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtcapacity"
)

// PaceSetting says whether servers that have just started or recovered are limited.
type PaceSetting uint8

// Settings of the pace.
const (
	PaceAuto PaceSetting = iota // Where servers of the service state their speed.
	PaceOn
	PaceOff
)

// PaceSettingNamed returns the setting of a name: "auto", "on" or "off".
func PaceSettingNamed(name string) (setting PaceSetting, isKnown bool) {
	setting, isKnown = map[string]PaceSetting{"auto": PaceAuto, "on": PaceOn, "off": PaceOff}[name]
	return setting, isKnown
}

const (
	// maxStartAge is the time since its start or recovery after which a server that had no pace gets none.
	maxStartAge = 5 * time.Second
	// settledLoadFactor is the load that servers without a pace can take, in means of the service. It is less than their
	// limit, as requests are not spread evenly.
	settledLoadFactor = 1.5
	settledSlotShare  = 0.9 // Of their slots, likewise.
)

// ServerPace is the pace of a server that has started or recovered.
type ServerPace struct {
	dtcapacity.Pace
	ListedAt    time.Time // FirstListedAt of the incarnation.
	RecoveredAt time.Time // End of the last period in which the server was avoided.
	Credit      dtcapacity.Credit
}

// PacedCount returns the number of servers that are limited by their pace.
func (c *Capacity) PacedCount() int {
	n := 0
	for _, p := range c.Paces {
		if !p.IsOver {
			n++
		}
	}
	return n
}

// isPaceOn reports whether servers of a service that have just started are limited.
func (s *State) isPaceOn(service string, now time.Time) bool {
	switch s.Settings.ServerPace {
	case PaceOn:
		return true
	case PaceOff:
		return false
	}
	return s.Capacity.statesSpeed(service, now)
}

// recoveredAt returns when a server was last avoided until, or the zero time if it has not been or still is.
func (s *State) recoveredAt(id ServerID, now time.Time) time.Time {
	if h := s.Health[id]; h != nil && !h.IsAvoided(now) {
		return h.AvoidUntil
	}
	return time.Time{}
}

// paceOf returns the pace of a server, which begins with its start or recovery, or nil if it is not limited.
func (s *State) paceOf(server *Server, now time.Time) *ServerPace {
	if !s.isPaceOn(server.Service, now) {
		return nil
	}
	p, recoveredAt := s.Capacity.Paces[server.ID], s.recoveredAt(server.ID, now)
	startedAt := later(server.FirstListedAt, recoveredAt)
	isKnown := p != nil && p.ListedAt.Equal(server.FirstListedAt) && !recoveredAt.After(p.RecoveredAt)
	if !isKnown && now.Sub(startedAt) < maxStartAge {
		p = s.startPace(server, recoveredAt, startedAt, now)
	}
	if p == nil || p.IsOver {
		return nil
	}
	return p
}

// startPace begins the pace of a server that has started or recovered at startedAt.
func (s *State) startPace(server *Server, recoveredAt, startedAt, now time.Time) *ServerPace {
	load, _ := s.pacedLoad(server.Service, now)
	fair := load.Mean
	p, outcome := s.Capacity.Paces[server.ID], "started"
	if p == nil {
		p = &ServerPace{Pace: *dtcapacity.NewPace(fair, startedAt)}
		if s.Capacity.Paces == nil {
			s.Capacity.Paces = map[ServerID]*ServerPace{}
		}
		s.Capacity.Paces[server.ID] = p
	} else {
		p.Restart(fair, startedAt)
		outcome = "restarted"
	}
	p.ListedAt, p.RecoveredAt = server.FirstListedAt, recoveredAt
	const phases = 1 << 10
	p.Credit = dtcapacity.NewCredit(float64(HashString(s.Settings.RouterName+" "+string(server.ID))%phases)/phases, now)
	s.logPace(server, p, outcome, fair, now)
	return p
}

// pacedLoad returns the load of a service and the limit of each of its servers.
func (s *State) pacedLoad(name string, now time.Time) (dtcapacity.ServiceLoad, float64) {
	service := s.Capacity.serviceCapacity(name)
	if !service.LoadAt.IsZero() && now.Sub(service.LoadAt) < serviceLoadInterval {
		return service.Load, service.Limit
	}
	servers, view := s.Roster.ByService[name], s.loadView(now)
	l := dtcapacity.ServiceLoad{Mean: view.MeanInFlight(name, s.withoutRateLimit(servers))}
	l.Capacity = settledLoadFactor*l.Mean + 1
	for _, server := range servers {
		if !s.acceptsRequests(server, now) {
			continue
		}
		l.Servers++
		if p := s.Capacity.Paces[server.ID]; p != nil && !p.IsOver {
			l.Paced++
		}
		if server.Slots > 0 {
			l.Capacity = min(l.Capacity, settledSlotShare*float64(server.Slots))
		}
	}
	l.Servers = max(l.Servers, 1)
	service.Load, service.Limit, service.LoadAt = l, s.loadLimit(l.Mean, view.Lag), now
	return l, service.Limit
}

func (s *State) logPace(server *Server, p *ServerPace, outcome string, fair float64, now time.Time) {
	s.emit(LogRecord{Event: "server_pace", Subject: string(server.ID), Outcome: outcome, Detail: fmt.Sprintf("limit %.1f, proven %.1f, fair share %.1f", p.Limit(fair, now), p.Proven, fair)})
}

// observePace applies an answer of a server to its pace; limit is the one under which the request was sent, or zero if there was none.
func (s *State) observePace(server *Server, limit float64, report *ServerReport, isBad bool, now time.Time) {
	p := s.paceOf(server, now)
	if p == nil {
		return
	}
	load, bound := s.pacedLoad(server.Service, now)
	fair, n := load.Mean, 0
	if report != nil && report.Load != nil {
		n = report.Load.Running
	}
	switch {
	case !isBad:
		if p.Prove(max(limit, float64(n))) {
			s.Capacity.News.notePace(server.ID)
		}
	case p.Decrease(n, fair, now):
		s.logPace(server, p, "decreased", fair, now)
		s.Capacity.News.notePace(server.ID)
	}
	s.finishPace(server, p, fair, bound, now)
}

func (s *State) finishPace(server *Server, p *ServerPace, fair, bound float64, now time.Time) {
	if p.Finish(fair, bound, now) {
		s.logPace(server, p, "over", fair, now)
	}
}

// pacedLimit returns the limit of a server with a pace, and the part of this router in it as of now.
func (s *State) pacedLimit(server *Server, p *ServerPace, now time.Time) float64 {
	load, _ := s.pacedLoad(server.Service, now)
	load.Paced = max(load.Paced, 1)
	limit := max(p.Limit(load.Mean, now), load.Floor())
	p.Credit.Accrue(limit, s.Capacity.serviceCapacity(server.Service).Hold.Time(), s.RouterCount(), now)
	return limit
}

// isPacedOut reports whether the pace of a server keeps a request away from it. By-load requests come first to a server whose low
// load is known, and use this router's credit. Others come to it as to each server, and are let through in part.
func (s *State) isPacedOut(r *Request, server *Server, view *LoadView) bool {
	p := s.paceOf(server, view.Now)
	if p == nil {
		return false
	}
	load, bound := s.pacedLoad(server.Service, view.Now)
	s.finishPace(server, p, load.Mean, bound, view.Now)
	if p.IsOver {
		return false
	}
	limit, isLoadKnown := s.pacedLimit(server, p, view.Now), view.IsLoadKnown(server)
	if isLoadKnown && float64(view.InFlight(server)+1) > limit {
		return true
	}
	if isLoadKnown && !r.isByPrompt() {
		return !p.Credit.HasRoom()
	}
	const drawBits = 53
	key := Mix(HashString(s.Settings.RouterName), uint64(r.Number)) // Routers that count alike must not draw alike.
	return float64(Mix(key, server.IDHash)>>(64-drawBits))/(1<<drawBits) >= load.Admission(limit)
}

// creditedServers returns the servers with a pace that a request which is ranked by load goes to first, as this router has credit
// there. Otherwise it would not be used while stale loads show other servers as idle.
func (s *State) creditedServers(r *Request, view *LoadView) map[ServerID]bool {
	if len(s.Capacity.Paces) == 0 || r.isByPrompt() {
		return nil
	}
	var credited map[ServerID]bool
	for id, p := range s.Capacity.Paces {
		server := s.Roster.Servers[id]
		if p.IsOver || server == nil || server.Service != r.Service || !view.IsLoadKnown(server) || s.isPacedOut(r, server, view) || p.IsOver {
			continue
		}
		if credited == nil {
			credited = map[ServerID]bool{}
		}
		credited[id] = true
	}
	return credited
}

// countPacedRequest records that a request is sent to a server, and under which limit.
func (s *State) countPacedRequest(r *Request, server *Server, now time.Time) {
	r.PaceLimit = 0
	if p := s.paceOf(server, now); p != nil {
		r.PaceLimit = s.pacedLimit(server, p, now)
		p.Credit.Spend()
	}
}
