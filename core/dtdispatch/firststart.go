package dtdispatch

import "time"

// firstStartSpread is how far the starts of routers may lie apart that start with the whole fleet.
const firstStartSpread = 2 * time.Second

// isFirstStart reports whether the whole fleet starts for the first time, so that no earlier incarnation has used
// the budgets. The settings alone do not tell, as they may say the same at each start.
func (s *State) isFirstStart() bool {
	return s.Settings.IsFirstStart && s.Membership.IsNew && s.hasHeardLinked() && !s.hasEarlierPeer()
}

// hasHeardLinked reports whether each router that this one has a link to has told when it started.
func (s *State) hasHeardLinked() bool {
	for name := range s.Membership.linkAddresses {
		if _, isHeard := s.Peers.ByName[name]; !isHeard {
			return false
		}
	}
	return true
}

// hasEarlierPeer reports whether another router started before the fleet would have.
func (s *State) hasEarlierPeer() bool {
	earliest := time.UnixMilli(s.Settings.Start).Add(-firstStartSpread)
	for _, peer := range s.Peers.ByName {
		if time.UnixMilli(peer.Start).Add(-peer.SettledAhead).Before(earliest) {
			return true
		}
	}
	return false
}
