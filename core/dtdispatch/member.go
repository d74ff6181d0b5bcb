package dtdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the router list and of the links between routers. Up to maxFullMeshRouters
// routers are fully meshed. In a larger fleet, each router is linked to the delegates of its
// failure domain, and the delegates are linked to those of the other domains.
const (
	maxFullMeshRouters          = 32
	delegatesPerDomain          = 3                      // One is active, two may fail.
	initialRouterListDelay      = 300 * time.Millisecond // Routers that start together are registered by then.
	startupRouterListInterval   = time.Second            // Lets routers that start together find each other soon.
	startupRouterListCount      = 4                      // Number of lists read at startupRouterListInterval.
	minRouterListInterval       = 5 * time.Second
	routerListIntervalPerRouter = 80 * time.Millisecond   // A longer list is read less often.
	routerListRetryDelay        = 2500 * time.Millisecond // After a call that returned no list.
	unlistedRouterRetention     = 30 * time.Second        // Time for which the link to a silent, unlisted router is kept.
	routerRewritePeriod         = 10 * time.Second        // Routers register again within it in a new era of the store, and after an outage.
)

// Router is a router as registered in the store.
type Router struct {
	Name    string
	Address string // Where other routers reach it.
	Domain  string
	Cores   float64 // CPU cores available to its process; the routers with most cores become delegates and collectors.

	Features FeatureSet // Those that its entry names.
}

// Validate returns an InvalidEntryError for the first field that no router can have.
func (r *Router) Validate() error {
	switch {
	case !isName(r.Name):
		return &InvalidEntryError{Field: "router name"}
	case !isName(r.Domain):
		return &InvalidEntryError{Field: "failure domain"}
	case !isHostAddress(r.Address):
		return &InvalidEntryError{Field: "address"}
	case !(r.Cores >= 0 && r.Cores <= maxCores):
		return &InvalidEntryError{Field: "cores"}
	}
	return nil
}

// Membership lists the routers of the fleet and the links to them.
type Membership struct {
	ListedRouters   map[string]Router // By name, as in the last list.
	UnlistedRouters map[string]Router // Routers heard from but missing from the last list.
	// When each router that shares the fleet's budgets was last listed or heard from. A router may be
	// removed only by a list, since one that is cut off goes on to use its share.
	LastSeen    map[string]time.Time
	ListedAt    time.Time // When the last list was read.
	ListCount   int
	NextListAt  time.Time
	IsNew       bool      // The store had no trace of an earlier incarnation of this router when it registered.
	RetainUntil time.Time // Until then routers are kept that are missing from a list.

	delegates     map[string][]string // By failure domain, in order of precedence.
	linkAddresses map[string]string   // Addresses of the requested links, by router name.

	onwardAddresses map[string]string // Likewise, of the links to routers to which loads are passed on only.
}

// IsLarge reports whether the fleet is too large for a full mesh.
func (m *Membership) IsLarge() bool { return len(m.ListedRouters) > maxFullMeshRouters }

func (s *State) handleRoutersListed(ev RoutersListed, now time.Time) {
	m := &s.Membership
	previous := m.ListedRouters
	m.ListedRouters = make(map[string]Router, len(ev.Routers))
	if now.Before(m.RetainUntil) {
		maps.Copy(m.ListedRouters, previous)
	}
	for _, router := range ev.Routers {
		m.ListedRouters[router.Name] = router
		if router.Name != s.Settings.RouterName {
			s.observeFeatures(router.Name, router.Features, featuresFromStore)
		}
		s.observeListedRecorder(&router, now)
		m.see(router.Name, now)
		delete(m.UnlistedRouters, router.Name)
	}
	maps.DeleteFunc(m.LastSeen, func(_ string, at time.Time) bool { return now.Sub(at) >= peerTimeout })
	s.forgetFeatures()
	maps.DeleteFunc(m.UnlistedRouters, func(name string, _ Router) bool {
		return now.Sub(s.Peers.ByName[name].LastHeardAt) > unlistedRouterRetention
	})
	m.delegates = m.delegatesByDomain()
	m.ListCount++
	m.ListedAt = now
	m.NextListAt = now.Add(m.routerListInterval())
	s.updateLinks()
}

func (m *Membership) routerListInterval() time.Duration {
	if m.ListCount < startupRouterListCount {
		return startupRouterListInterval
	}
	return m.steadyListInterval()
}

// steadyListInterval is the interval at which a router reads the list once it has been running for a while.
func (m *Membership) steadyListInterval() time.Duration {
	return max(minRouterListInterval, time.Duration(len(m.ListedRouters))*routerListIntervalPerRouter)
}

// see records that a router has been listed or heard from.
func (m *Membership) see(name string, now time.Time) {
	if m.LastSeen == nil {
		m.LastSeen = map[string]time.Time{}
	}
	m.LastSeen[name] = now
}

// addUnlistedRouter records a router that has sent a status and is not listed yet.
func (s *State) addUnlistedRouter(status *PeerStatus) {
	m := &s.Membership
	router := Router{Name: status.From, Address: status.Address, Domain: status.Domain, Features: status.Features}
	if _, isListed := m.ListedRouters[status.From]; isListed || status.Address == "" || m.UnlistedRouters[status.From] == router {
		return
	}
	if m.UnlistedRouters == nil {
		m.UnlistedRouters = map[string]Router{}
	}
	m.UnlistedRouters[status.From] = router
	s.updateLinks()
}

// updateLinks requests the current set of links if it has changed.
func (s *State) updateLinks() {
	next := s.linkTargets()
	onward := s.onwardTargets(next)
	if maps.Equal(next, s.Membership.linkAddresses) && maps.Equal(onward, s.Membership.onwardAddresses) {
		return
	}
	s.Membership.linkAddresses, s.Membership.onwardAddresses = next, onward
	s.emit(SetPeerLinks{Addresses: next, Onward: onward})
}

// linkTargets returns the addresses, by name, of the routers to link to.
func (s *State) linkTargets() map[string]string {
	m := &s.Membership
	all := make(map[string]Router, len(m.ListedRouters)+len(m.UnlistedRouters))
	maps.Copy(all, m.ListedRouters)
	maps.Copy(all, m.UnlistedRouters)
	delete(all, s.Settings.RouterName)
	next := map[string]string{}
	for name, router := range all {
		if !m.IsLarge() || s.linksTo(router) {
			next[name] = router.Address
		}
	}
	return next
}

// linksTo reports whether this router has a link to another router in a large fleet.
func (s *State) linksTo(router Router) bool {
	selfIsDelegate := s.isDelegate(s.Settings.RouterName, s.Settings.Domain)
	otherIsDelegate := s.isDelegate(router.Name, router.Domain)
	if router.Domain == s.Settings.Domain {
		return selfIsDelegate || otherIsDelegate
	}
	return selfIsDelegate && otherIsDelegate
}

func (s *State) isDelegate(name, domain string) bool {
	return slices.Contains(s.Membership.delegates[domain], name)
}

// delegatesByDomain selects the routers with the highest capacity in each failure domain.
func (m *Membership) delegatesByDomain() map[string][]string {
	domains := map[string][]string{}
	for name, router := range m.ListedRouters {
		domains[router.Domain] = append(domains[router.Domain], name)
	}
	for domain, names := range domains {
		slices.SortFunc(names, m.compareCapacity)
		domains[domain] = names[:min(len(names), delegatesPerDomain)]
	}
	return domains
}

// compareCapacity orders routers by the number of cores, highest first, then by the hash of the
// name.
func (m *Membership) compareCapacity(a, b string) int {
	return cmp.Or(cmp.Compare(m.ListedRouters[b].Cores, m.ListedRouters[a].Cores), cmp.Compare(HashString(b), HashString(a)))
}

func (s *State) listRoutersIfDue(now time.Time) {
	m := &s.Membership
	if now.Before(m.NextListAt) {
		return
	}
	m.NextListAt = now.Add(routerListRetryDelay)
	if m.ListCount == 0 {
		m.NextListAt = now.Add(startupRouterListInterval) // Without a list the router knows no others, and no loads of theirs.
	}
	s.emit(ListRouters{})
}

// routerNames returns the names of the routers that are known to share the fleet's budgets, this one
// included.
func (s *State) routerNames() []string {
	names := []string{s.Settings.RouterName}
	for name := range s.Membership.LastSeen {
		if name != s.Settings.RouterName {
			names = append(names, name)
		}
	}
	return names
}

// logRouterCount logs that the number of routers has changed by which the fleet's budgets are divided.
func (s *State) logRouterCount() {
	n := s.RouterCount()
	if n == s.BudgetRouters {
		return
	}
	s.BudgetRouters = n
	s.emit(LogRecord{Event: "budget_routers", RouterCount: n})
}

// isCutOff reports whether other routers may have ceased to count this one: it has read no list of them for a
// while, and does not hear all of them.
func (s *State) isCutOff(now time.Time) bool {
	m := &s.Membership
	timeout := max(peerTimeout-coveringLength(s.Settings.Bounds.RetryWindow), 2*m.steadyListInterval())
	if now.Sub(m.ListedAt) < timeout {
		return false
	}
	for name := range m.LastSeen {
		if name != s.Settings.RouterName && now.Sub(s.Peers.ByName[name].LastHeardAt) >= timeout {
			return true
		}
	}
	return m.ListCount == 0
}

// RouterCount returns the number of routers that share the fleet's budgets, this one included.
func (s *State) RouterCount() int {
	n := len(s.Membership.LastSeen)
	if _, isSeen := s.Membership.LastSeen[s.Settings.RouterName]; !isSeen {
		n++
	}
	if s.Membership.ListCount == 0 {
		return max(n, defaultRouterCount)
	}
	return n
}
