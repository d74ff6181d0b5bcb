package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// In a large fleet the loads of busy servers would take the collector of a failure domain thousands of bytes for each router
// and interval. It sends them in a short form to a few routers, which pass them on to others.

const (
	// loadTreeWidth is the number of routers to which one router sends the loads: three steps reach 250 routers.
	loadTreeWidth = 6
	// listSettleTime is the time after a change of the set of servers in which routers may have the set before.
	listSettleTime = 3 * time.Second
	// minRelaySilence and relayIntervals bound the time without loads after which a router passes nothing on. It must end
	// before the loads that its followers have are too old; see FleetLoad.IsFresh.
	minRelaySilence = 1200 * time.Millisecond // Unchanged loads are told each loadRepeatInterval.
	relayIntervals  = 3
	// featuresUnheardTime is the time in which the statuses of a router that runs already may not have named its features, so that
	// those of its entry in the store count.
	featuresUnheardTime = largeFleetFeatureInterval + maxStatusInterval
	// onwardLinkTime is how long a link is kept after the last message that was passed on over it.
	onwardLinkTime = 10 * time.Second
)

// FleetLoadTable is a FleetLoadSummary for routers with FeatureLoadTables, to be passed on to others of the failure domain.
type FleetLoadTable struct {
	From         string             `msgpack:"f"` // The collector.
	MeanInFlight map[string]float64 `msgpack:"m"`
	ListHash     uint64             `msgpack:"h,omitempty"` // Of the list of servers that Busy refers to; zero if Busy has references.
	Busy         LoadTable          `msgpack:"b"`
	Crashes      *CrashNews         `msgpack:"cr,omitempty"`
	Rates        []RateReport       `msgpack:"rl,omitempty"`
	Brittle      []BrittleReport    `msgpack:"bs,omitempty"`
	Rollouts     []RolloutNews      `msgpack:"ro,omitempty"`
	CapacityNews `msgpack:",inline"`
	Onward       map[string]string `msgpack:"n,omitempty"` // Addresses, by name, of the routers to pass it on to.
}

func (*FleetLoadTable) isPeerMessage() {}

// onwardLink is a link to a router to which this one passes loads on.
type onwardLink struct {
	Address string
	UsedAt  time.Time
}

// sendLoads sends the loads of the fleet to the routers of this failure domain: with indexes to those that have named the list of
// this router, and with references to others while the list settles. One whose list differs for longer does not know all servers.
func (s *State) sendLoads(summary *FleetLoadSummary, now time.Time) {
	indexed, referring := s.loadTableOf(summary, s.Roster.RefsHash), s.loadTableOf(summary, 0)
	onward := map[*FleetLoadTable]map[string]string{indexed: {}, referring: {}}
	hasSettled := now.Sub(s.Roster.RefsChangedAt) >= listSettleTime
	for _, name := range sortedKeys(s.Peers.ByName) {
		peer := s.Peers.ByName[name]
		if peer.Domain != s.Settings.Domain || now.Sub(peer.LastHeardAt) >= peerTimeout {
			continue
		}
		table := referring
		if peer.RosterHash == s.Roster.Hash {
			table = indexed
		}
		address := s.Membership.addressOf(name)
		switch {
		case !s.readsLoadTables(name, now) || table == referring && hasSettled:
			s.emit(SendToPeers{To: name, Message: summary})
		case address != "" && s.mayRelay(name, now):
			onward[table][name] = address
		default: // It may have failed, and would keep others from their loads.
			s.emit(SendToPeers{To: name, Message: table})
		}
	}
	s.passLoadsOn(indexed, onward[indexed], now)
	s.passLoadsOn(referring, onward[referring], now)
}

// loadTableOf returns the loads of a summary as a table for routers that have the list of servers with a hash, or any list if the
// hash is zero.
func (s *State) loadTableOf(summary *FleetLoadSummary, listHash uint64) *FleetLoadTable {
	return &FleetLoadTable{
		From: summary.From, MeanInFlight: summary.MeanInFlight, ListHash: listHash, Busy: s.Roster.loadTable(summary.BusyServers, listHash),
		Crashes: summary.Crashes, Rates: summary.Rates, Brittle: summary.Brittle, Rollouts: summary.Rollouts, CapacityNews: summary.CapacityNews,
	}
}

// readsLoadTables reports whether a router can read tables of loads.
func (s *State) readsLoadTables(name string, now time.Time) bool {
	peer, features := s.Peers.ByName[name], s.Peers.Features[name]
	if peer.Features == 0 && now.Sub(peer.ServesSince) < featuresUnheardTime {
		features = s.Membership.ListedRouters[name].Features
	}
	return features.Has(FeatureLoadTables)
}

// passLoadsOn sends a table to some routers: directly to a few, each of which passes it on to a part of the others. The parts
// change little when a router joins or leaves, so that links last.
func (s *State) passLoadsOn(table *FleetLoadTable, onward map[string]string, now time.Time) {
	parts := [loadTreeWidth][]string{}
	names := slices.SortedFunc(maps.Keys(onward), s.Membership.compareCapacity)
	for i, name := range names {
		part := i
		if len(names) > loadTreeWidth {
			part = int(Mix(HashString(name), uint64(loadTreeLevel(len(names)))) % loadTreeWidth)
		}
		parts[part] = append(parts[part], name)
	}
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		first, others := part[0], part[1:]
		message := *table
		message.Onward = make(map[string]string, len(others))
		for _, name := range others {
			message.Onward[name] = onward[name]
		}
		s.linkOnward(first, onward[first], now)
		s.emit(SendToPeers{To: first, Message: &message})
	}
}

// loadTreeLevel returns the number of steps in which a table reaches n routers, so that each step parts them by another hash.
func loadTreeLevel(n int) int {
	level := 0
	for ; n > 0; n /= loadTreeWidth {
		level++
	}
	return level
}

// mayRelay reports whether a router of this one's domain lives, so that it passes loads on: it has told its own of late.
func (s *State) mayRelay(name string, now time.Time) bool {
	snapshot, isTold := s.FleetLoad.ByRouter[name]
	return isTold && now.Sub(snapshot.ReceivedAt) < max(minRelaySilence, relayIntervals*s.collectInterval())
}

// linkOnward has a link to a router opened, unless this router has one to it anyway.
func (s *State) linkOnward(name, address string, now time.Time) {
	if s.FleetLoad.Onward == nil {
		s.FleetLoad.Onward = map[string]onwardLink{}
	}
	s.FleetLoad.Onward[name] = onwardLink{Address: address, UsedAt: now}
	if s.Membership.linkAddresses[name] == "" && s.Membership.onwardAddresses[name] != address {
		s.updateLinks()
	}
}

// onwardTargets returns the addresses, by name, of the routers to which loads are passed on and to which this router has no
// other link.
func (s *State) onwardTargets(linked map[string]string) map[string]string {
	targets := map[string]string{}
	for name, link := range s.FleetLoad.Onward {
		if linked[name] == "" {
			targets[name] = link.Address
		}
	}
	return targets
}

// closeOnwardLinks forgets the links that have not been used of late.
func (s *State) closeOnwardLinks(now time.Time) {
	before := len(s.FleetLoad.Onward)
	maps.DeleteFunc(s.FleetLoad.Onward, func(_ string, link onwardLink) bool { return now.Sub(link.UsedAt) >= onwardLinkTime })
	if len(s.FleetLoad.Onward) != before {
		s.updateLinks()
	}
}

// handleFleetLoadTable passes loads on and applies them. Without the list of servers that they refer to they are not used, so that
// this router goes by what it knows itself once what it was told before is too old.
func (s *State) handleFleetLoadTable(table *FleetLoadTable, now time.Time) {
	if len(table.Onward) > 0 && s.Membership.IsLarge() {
		onward := maps.Clone(table.Onward)
		delete(onward, s.Settings.RouterName)
		s.passLoadsOn(table, onward, now)
	}
	summary := &FleetLoadSummary{
		From: table.From, MeanInFlight: s.FleetLoad.MeanInFlight, BusyServers: s.FleetLoad.BusyServers,
		Crashes: table.Crashes, Rates: table.Rates, Brittle: table.Brittle, Rollouts: table.Rollouts, CapacityNews: table.CapacityNews,
	}
	updatedAt := s.FleetLoad.UpdatedAt
	if busy, isKnown := s.Roster.loadsOf(table.Busy, table.ListHash); isKnown {
		summary.MeanInFlight, summary.BusyServers, updatedAt = table.MeanInFlight, busy, now
	}
	s.handleFleetLoadSummary(summary, now)
	s.FleetLoad.UpdatedAt = updatedAt
}

// sendDomainLoads sends the loads of this failure domain to the collector of another one.
func (s *State) sendDomainLoads(to string, loads *DomainLoads, now time.Time) {
	message := *loads
	if s.readsLoadTables(to, now) {
		if s.Peers.ByName[to].RosterHash == s.Roster.Hash {
			message.ListHash = s.Roster.RefsHash
		}
		message.Table, message.InFlight = s.Roster.loadTable(loads.InFlight, message.ListHash), nil
	}
	s.emit(SendToPeers{To: to, Message: &message})
}

// addressOf returns the address of a router, or "" if it is not known.
func (m *Membership) addressOf(name string) string {
	if router, isListed := m.ListedRouters[name]; isListed {
		return router.Address
	}
	return m.UnlistedRouters[name].Address
}
