package dtdispatch

import (
	"maps"
	"time"
)

// Parameters of load collection in a large fleet, where no router hears from all others.
// Routers send their loads to the collector of their failure domain. The collectors exchange
// the sums and send the fleet totals back.
const (
	minCollectInterval       = 100 * time.Millisecond // Loads change by only a request or two within it.
	maxCollectInterval       = time.Second
	collectIntervalPerRouter = 1250 * time.Microsecond // In a larger fleet, each router sends less often.
	loadRepeatInterval       = time.Second             // Interval at which unchanged loads are repeated.
	maxTotalsAge             = time.Second             // Or four collection intervals if that is longer; older totals are not used, because the collector has failed.
	maxSnapshotAge           = 2 * time.Second         // A router or failure domain that has reported no load for this long counts as idle.
	collectorTimeout         = 3 * time.Second         // A router silent for this long is not chosen as the collector of another domain.
	// Growing loads are extrapolated by two intervals, the time that a change takes from a
	// router through two collectors to the other routers.
	growthIntervals = 2
	// Collection intervals within which a change of a router's load reaches the other routers.
	summaryIntervals = 3
	// The load of each server is sent for services of up to this size. For larger ones only
	// servers within busyMargin requests of their limit are sent.
	maxFullyReportedServers = 64
	busyMargin              = 2
)

// RouterLoads reports a router's requests in flight to the collector of its failure domain.
type RouterLoads struct {
	From         string            `msgpack:"f"`
	InFlight     map[ServerRef]int `msgpack:"l"`
	Rollouts     []RolloutNews     `msgpack:"ro,omitempty"` // What the sender knows of roll-outs.
	CapacityNews `msgpack:",inline"`
}

// DomainLoads reports the requests in flight of a failure domain to the collectors of the
// others.
type DomainLoads struct {
	Domain       string            `msgpack:"d"`
	InFlight     map[ServerRef]int `msgpack:"l"`
	Table        LoadTable         `msgpack:"t,omitempty"` // In place of InFlight, for routers with FeatureLoadTables.
	ListHash     uint64            `msgpack:"h,omitempty"` // As in FleetLoadTable, of Table.
	Crashes      *CrashNews        `msgpack:"cr,omitempty"`
	Rates        []RateReport      `msgpack:"rl,omitempty"` // Request rates that servers have named.
	Brittle      []BrittleReport   `msgpack:"bs,omitempty"` // Servers that have said that they are brittle.
	Rollouts     []RolloutNews     `msgpack:"ro,omitempty"` // What the sender knows of roll-outs.
	CapacityNews `msgpack:",inline"`
}

// FleetLoadSummary reports the requests in flight of the fleet to the routers of a domain.
type FleetLoadSummary struct {
	From         string             `msgpack:"f"`
	MeanInFlight map[string]float64 `msgpack:"m"` // Mean requests in flight per server, by service.
	BusyServers  map[ServerRef]int  `msgpack:"l"` // Expected requests in flight, by server: servers near their limit and all servers of small services.
	Crashes      *CrashNews         `msgpack:"cr,omitempty"`
	Rates        []RateReport       `msgpack:"rl,omitempty"` // Request rates that servers have named.
	Brittle      []BrittleReport    `msgpack:"bs,omitempty"` // Servers that have said that they are brittle.
	Rollouts     []RolloutNews      `msgpack:"ro,omitempty"` // What the sender knows of roll-outs.
	CapacityNews `msgpack:",inline"`
}

func (*RouterLoads) isPeerMessage()      {}
func (*DomainLoads) isPeerMessage()      {}
func (*FleetLoadSummary) isPeerMessage() {}

// FleetLoad is the load of the fleet as a router knows it and, at a collector, the loads that
// the totals are computed from.
type FleetLoad struct {
	MeanInFlight  map[string]float64 // By service, as of UpdatedAt.
	BusyServers   map[ServerRef]int  // As in FleetLoadSummary.
	UpdatedAt     time.Time
	SentLoads     map[ServerRef]int   // This router's part of the totals.
	EarlierLoads  []map[ServerRef]int // Sent before, latest first, as far as the totals may still contain them.
	SentAt        time.Time
	ByRouter      map[string]LoadSnapshot // At a collector: by router of its domain.
	ByDomain      map[string]LoadSnapshot // At a collector: by other domain.
	Onward        map[string]onwardLink   // By router to which loads are passed on.
	LastTotals    map[ServerRef]int       // At a collector: totals of the last collection.
	NextAt        time.Time               // Time of the next collection.
	CrashCursor   NewsCursor              // At a collector: crash reports passed on.
	RateCursor    NewsCursor              // At a collector: server rates passed on.
	BrittleCursor NewsCursor              // At a collector: brittle servers passed on.
}

// LoadSnapshot is the load that one router or domain reported.
type LoadSnapshot struct {
	InFlight   map[ServerRef]int
	ReceivedAt time.Time
}

// IsFresh reports whether totals that are collected at interval can be used at now.
func (f *FleetLoad) IsFresh(interval time.Duration, now time.Time) bool {
	const maxMissedIntervals = 4
	return now.Sub(f.UpdatedAt) < max(maxTotalsAge, maxMissedIntervals*interval)
}

// InFlight returns the requests in flight of the fleet on a server, of which own are this
// router's at present; a server that is not in BusyServers is assumed to have the mean load.
func (f *FleetLoad) InFlight(server *Server, own int) int {
	total, isBusy := f.BusyServers[server.Ref()]
	if !isBusy {
		return max(int(f.MeanInFlight[server.Service]), own)
	}
	return max(total-f.SentLoads[server.Ref()]+own, own)
}

// isBusier reports whether a server is known to have more requests in flight than the mean of its service.
func (f *FleetLoad) isBusier(server *Server) bool {
	return float64(f.BusyServers[server.Ref()]) > f.MeanInFlight[server.Service]+busyMargin
}

// Told returns the least number of this router's requests on a server that the totals may contain.
func (f *FleetLoad) Told(ref ServerRef) int {
	told := f.SentLoads[ref]
	for _, loads := range f.EarlierLoads {
		told = min(told, loads[ref])
	}
	return told
}

func (s *State) collectInterval() time.Duration {
	return min(max(time.Duration(len(s.Membership.ListedRouters))*collectIntervalPerRouter, minCollectInterval), maxCollectInterval)
}

// nextCollectionAt returns when loads are to be collected next, or the zero time in a fleet that is not large.
func (s *State) nextCollectionAt() time.Time {
	if !s.Membership.IsLarge() {
		return time.Time{}
	}
	return s.FleetLoad.NextAt
}

// collectLoadsIfDue sends this router's loads to the collector or, at the collector, sends the
// sums to the other domains and the totals to its own.
func (s *State) collectLoadsIfDue(now time.Time) {
	if !s.Membership.IsLarge() || now.Before(s.FleetLoad.NextAt) {
		return
	}
	fleet := &s.FleetLoad
	fleet.NextAt = now.Add(s.collectInterval())
	s.closeOnwardLinks(now)
	ownLoads := s.inFlight()
	unchanged := maps.Equal(ownLoads, fleet.SentLoads) && now.Sub(fleet.SentAt) < loadRepeatInterval
	fleet.EarlierLoads = append([]map[ServerRef]int{fleet.SentLoads}, fleet.EarlierLoads[:min(len(fleet.EarlierLoads), summaryIntervals-1)]...)
	fleet.SentLoads = ownLoads
	collector := s.collector(s.Settings.Domain, readerTimeout, now)
	if collector != s.Settings.RouterName {
		rollouts := s.rolloutNews(&s.Rollouts.Loads, reportOwn, now)
		news := s.takeCapacityNews(&s.Capacity.News.Peers, now)
		if unchanged && rollouts == nil && news.isEmpty() {
			return
		}
		fleet.SentAt = now
		s.emit(SendToPeers{To: collector, Message: &RouterLoads{From: s.Settings.RouterName, InFlight: ownLoads, Rollouts: rollouts, CapacityNews: news}})
		return
	}
	s.recordRouterLoads(s.Settings.RouterName, ownLoads, now)
	domainLoads := sumLoads(fleet.ByRouter, maxSnapshotAge, now)
	crashes := s.crashNews(&fleet.CrashCursor, false, now)
	rates := s.rateReports(&fleet.RateCursor, false, now)
	brittle := s.brittleReports(&fleet.BrittleCursor, false, now)
	rollouts := s.rolloutNews(&s.Rollouts.Domains, reportRouters, now)
	capacity := s.takeCapacityNews(&s.Capacity.News.Domains, now)
	for _, other := range s.otherDomains() {
		if to := s.collector(other, collectorTimeout, now); to != "" {
			s.sendDomainLoads(to, &DomainLoads{Domain: s.Settings.Domain, InFlight: domainLoads, Crashes: crashes, Rates: rates, Brittle: brittle, Rollouts: rollouts, CapacityNews: capacity}, now)
		}
	}
	total := sumLoads(fleet.ByDomain, maxSnapshotAge, now)
	for ref, n := range domainLoads {
		total[ref] += n
	}
	expected := extrapolateGrowth(total, fleet.LastTotals)
	fleet.LastTotals = total
	summary := s.summarizeLoads(total, expected)
	summary.Crashes, summary.Rates, summary.Brittle = crashes, rates, brittle
	summary.Rollouts = s.rolloutNews(&s.Rollouts.Summary, reportFleet, now)
	summary.CapacityNews = s.takeCapacityNews(&s.Capacity.News.Routers, now)
	fleet.MeanInFlight, fleet.BusyServers, fleet.UpdatedAt = summary.MeanInFlight, summary.BusyServers, now
	s.sendLoads(summary, now)
}

// extrapolateGrowth returns the loads expected at the time of their use. Loads that have grown
// are expected to keep growing, because routers place requests by the old values until the
// new ones arrive.
func extrapolateGrowth(total, previous map[ServerRef]int) map[ServerRef]int {
	if previous == nil {
		return total
	}
	expected := make(map[ServerRef]int, len(total))
	for ref, n := range total {
		expected[ref] = n + growthIntervals*max(n-previous[ref], 0)
	}
	return expected
}

// summarizeLoads returns the summary for the routers of the domain: means of the totals, and
// the expected loads of busy servers.
func (s *State) summarizeLoads(total, expected map[ServerRef]int) *FleetLoadSummary {
	summary := &FleetLoadSummary{From: s.Settings.RouterName, MeanInFlight: map[string]float64{}, BusyServers: map[ServerRef]int{}}
	for service, servers := range s.Roster.ByService {
		n := 0
		averaged := s.withoutRateLimit(servers)
		for _, server := range averaged {
			n += total[server.Ref()]
		}
		summary.MeanInFlight[service] = float64(n) / float64(len(averaged))
		limit := s.loadLimit(summary.MeanInFlight[service], s.collectInterval())
		for _, server := range servers {
			inFlight, isBrittle := expected[server.Ref()], s.isBrittle(server.ID)
			if isBrittle {
				inFlight = total[server.Ref()] // Routers take what is free in turns, and reckon with what they can't know.
			}
			if len(servers) <= maxFullyReportedServers || isBrittle || inFlight > 0 && float64(inFlight+busyMargin) > limit {
				summary.BusyServers[server.Ref()] = inFlight
			}
		}
	}
	return summary
}

func (s *State) handleFleetLoadSummary(summary *FleetLoadSummary, now time.Time) {
	fleet := &s.FleetLoad
	fleet.MeanInFlight, fleet.BusyServers, fleet.UpdatedAt = summary.MeanInFlight, summary.BusyServers, now
	if peer, known := s.Peers.ByName[summary.From]; known {
		peer.LastHeardAt = now
		s.Peers.ByName[summary.From] = peer
	}
	s.mergeCrashes(summary.Crashes, now)
	s.mergeRates(summary.Rates, now)
	s.mergeBrittle(summary.Brittle, now)
	s.mergeRollouts(summary.Rollouts, false, now)
	s.mergeCapacity(&summary.CapacityNews, now)
}

// inFlight returns this router's requests in flight by server.
func (s *State) inFlight() map[ServerRef]int {
	own := map[ServerRef]int{}
	for id, load := range s.Loads {
		if server := s.Roster.Servers[id]; server != nil && load.Local > 0 {
			own[server.Ref()] = load.Local
		}
	}
	return own
}

// collector returns the router with the highest capacity in a failure domain, among this router
// and those heard from within maxSilence, or "" if there is none. It also reads the server
// list.
func (s *State) collector(domain string, maxSilence time.Duration, now time.Time) string {
	return s.firstRouter(domain, maxSilence, func(*Peer) bool { return true }, now)
}

// firstRouter returns the router with the highest capacity of those that may be chosen, as collector does.
func (s *State) firstRouter(domain string, maxSilence time.Duration, mayChoose func(*Peer) bool, now time.Time) string {
	best := ""
	if domain == s.Settings.Domain {
		best = s.Settings.RouterName
	}
	for name, peer := range s.Peers.ByName {
		if peer.Domain == domain && now.Sub(peer.LastHeardAt) < maxSilence && mayChoose(&peer) && (best == "" || s.Membership.compareCapacity(name, best) < 0) {
			best = name
		}
	}
	return best
}

// otherDomains returns the failure domains of the peers, except this router's own.
func (s *State) otherDomains() []string {
	domains := map[string]bool{}
	for _, peer := range s.Peers.ByName {
		if peer.Domain != s.Settings.Domain {
			domains[peer.Domain] = true
		}
	}
	return sortedKeys(domains)
}

func (s *State) recordRouterLoads(name string, loads map[ServerRef]int, now time.Time) {
	if s.FleetLoad.ByRouter == nil {
		s.FleetLoad.ByRouter = map[string]LoadSnapshot{}
	}
	s.FleetLoad.ByRouter[name] = LoadSnapshot{InFlight: loads, ReceivedAt: now}
}

func (s *State) handleDomainLoads(loads *DomainLoads, now time.Time) {
	if s.FleetLoad.ByDomain == nil {
		s.FleetLoad.ByDomain = map[string]LoadSnapshot{}
	}
	inFlight, isKnown := loads.InFlight, true
	if loads.Table != nil {
		inFlight, isKnown = s.Roster.loadsOf(loads.Table, loads.ListHash)
	}
	if isKnown {
		s.FleetLoad.ByDomain[loads.Domain] = LoadSnapshot{InFlight: inFlight, ReceivedAt: now}
	}
	s.mergeCrashes(loads.Crashes, now)
	s.mergeRates(loads.Rates, now)
	s.mergeBrittle(loads.Brittle, now)
	s.mergeRollouts(loads.Rollouts, false, now)
	s.mergeCapacity(&loads.CapacityNews, now, &s.Capacity.News.Routers)
}

// sumLoads removes the snapshots older than maxAge and returns the sum of the others.
func sumLoads(snapshots map[string]LoadSnapshot, maxAge time.Duration, now time.Time) map[ServerRef]int {
	total := map[ServerRef]int{}
	maps.DeleteFunc(snapshots, func(_ string, snapshot LoadSnapshot) bool { return now.Sub(snapshot.ReceivedAt) >= maxAge })
	for _, snapshot := range snapshots {
		for ref, n := range snapshot.InFlight {
			total[ref] += n
		}
	}
	return total
}
