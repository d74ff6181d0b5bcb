package dtdispatch

import (
	"math"
	"time"

	"github.com/dottereltack/dottereltack/core/dtcapacity"
)

const (
	// maxCapacityNews bounds the servers of each kind in one message; the others follow in the next.
	maxCapacityNews = 64
	// capacityTransit is how old a statement that another router has told counts as. It may be an echo of one that was
	// replaced since.
	capacityTransit = 200 * time.Millisecond
)

// CapacityNews is what routers tell each other of the capacity of servers.
type CapacityNews struct {
	Speeds map[ServerRef]int        `msgpack:"sp,omitempty"` // Last statement in percent of the usual time, where it was not as expected.
	Paces  map[ServerRef]PaceReport `msgpack:"pc,omitempty"`
}

// PaceReport tells a peer of the pace of a server; see dtcapacity.PaceNews.
type PaceReport struct {
	Base      float64 `msgpack:"b"`
	AgeMs     int64   `msgpack:"a"` // Of Base.
	Decreased bool    `msgpack:"d,omitempty"`
	Proven    float64 `msgpack:"n,omitempty"`
}

// isEmpty reports whether there is no news.
func (n *CapacityNews) isEmpty() bool { return len(n.Speeds) == 0 && len(n.Paces) == 0 }

// CapacityOutbox holds the servers of which there is news for some other routers.
type CapacityOutbox struct {
	Speeds map[ServerID]bool
	Paces  map[ServerID]bool
}

// CapacityOutboxes hold the news for each kind of receiver. In a large fleet, it goes the way of the loads: to the collector, from
// there to those of other domains, and from each to the routers of its domain.
type CapacityOutboxes struct {
	Peers   CapacityOutbox // What this router has observed.
	Domains CapacityOutbox // At a collector: what the routers of its domain have observed.
	Routers CapacityOutbox // At a collector: what all routers have observed.
}

func note(set *map[ServerID]bool, id ServerID) {
	if *set == nil {
		*set = map[ServerID]bool{}
	}
	(*set)[id] = true
}

// noteSpeed has all other routers be told of the speed of a server.
func (o *CapacityOutboxes) noteSpeed(id ServerID) {
	for _, box := range []*CapacityOutbox{&o.Peers, &o.Domains, &o.Routers} {
		note(&box.Speeds, id)
	}
}

// notePace has all other routers be told of the pace of a server.
func (o *CapacityOutboxes) notePace(id ServerID) {
	for _, box := range []*CapacityOutbox{&o.Peers, &o.Domains, &o.Routers} {
		note(&box.Paces, id)
	}
}

// takeCapacityNews returns the news of an outbox and removes it.
func (s *State) takeCapacityNews(box *CapacityOutbox, now time.Time) CapacityNews {
	news := CapacityNews{}
	for _, id := range firstKeys(box.Speeds) {
		speed, server := s.Capacity.Speeds[id], s.Roster.Servers[id]
		if speed == nil || server == nil || !speed.IsStated(now) {
			continue
		}
		if news.Speeds == nil {
			news.Speeds = map[ServerRef]int{}
		}
		const percent = 100
		news.Speeds[server.Ref()] = int(math.Round(speed.Stated * percent))
	}
	for _, id := range firstKeys(box.Paces) {
		p, server := s.Capacity.Paces[id], s.Roster.Servers[id]
		if p == nil || server == nil {
			continue
		}
		if news.Paces == nil {
			news.Paces = map[ServerRef]PaceReport{}
		}
		n := p.News(now)
		news.Paces[server.Ref()] = PaceReport{Base: n.Base, AgeMs: n.Age.Milliseconds(), Decreased: n.Decreased, Proven: n.Proven}
	}
	return news
}

// firstKeys removes up to maxCapacityNews keys of a set and returns them.
func firstKeys(set map[ServerID]bool) []ServerID {
	keys := sortedKeys(set)
	keys = keys[:min(len(keys), maxCapacityNews)]
	for _, id := range keys {
		delete(set, id)
	}
	return keys
}

// mergeCapacity applies what a peer knows of the capacity of servers, and puts it in boxes to be passed on.
func (s *State) mergeCapacity(news *CapacityNews, now time.Time, boxes ...*CapacityOutbox) {
	const percent = 100
	for ref, n := range news.Speeds {
		server := s.Roster.ByRef[ref]
		if server == nil || n <= 0 {
			continue
		}
		s.observeSpeed(server, float64(n)/percent, now.Add(-capacityTransit))
		for _, box := range boxes {
			note(&box.Speeds, server.ID)
		}
	}
	for ref, report := range news.Paces {
		server := s.Roster.ByRef[ref]
		if server == nil || !s.mergePace(server, report, now) {
			continue
		}
		for _, box := range boxes {
			note(&box.Paces, server.ID)
		}
	}
}

// mergePace applies what a peer knows of the pace of a server, which may have recovered without this router knowing.
func (s *State) mergePace(server *Server, report PaceReport, now time.Time) bool {
	if !s.isPaceOn(server.Service, now) {
		return false
	}
	p := s.Capacity.Paces[server.ID]
	if p == nil {
		p = s.paceOf(server, now)
	}
	if p == nil {
		p = &ServerPace{ListedAt: server.FirstListedAt}
		if s.Capacity.Paces == nil {
			s.Capacity.Paces = map[ServerID]*ServerPace{}
		}
		s.Capacity.Paces[server.ID] = p
		p.IsOver = true
	}
	return p.Merge(dtcapacity.PaceNews{Base: report.Base, Age: time.Duration(report.AgeMs) * time.Millisecond, Decreased: report.Decreased, Proven: report.Proven}, now)
}
