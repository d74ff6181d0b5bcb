package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// copyHeartbeats is the number of heartbeat intervals after which a store that has come back from an
	// older copy has dropped the copied entries of servers that no longer exist: three without a sign of
	// life, and one for the router to hear of it.
	copyHeartbeats = 4
	// departureRetention is how far a store may go back without servers that have left being listed again.
	departureRetention = 2 * time.Minute
)

// Departure is the last entry of a server that has left the list.
type Departure struct {
	Start int64
	Seq   int64
	Era   uint64 // Of the store as of which it had left.
	At    time.Time
}

// recordDepartures remembers servers that have left the list.
func (r *Roster) recordDepartures(removed []ServerID, now time.Time) {
	if r.Departed == nil {
		r.Departed = map[ServerID]Departure{}
	}
	for _, id := range removed {
		server := r.Servers[id]
		r.Departed[id] = Departure{Start: server.Start, Seq: server.Seq, Era: r.Revision.Era(), At: now}
	}
	maps.DeleteFunc(r.Departed, func(_ ServerID, d Departure) bool { return now.Sub(d.At) > departureRetention })
}

// withoutDeparted removes the servers from a list as of era that had left in an earlier era and have written
// nothing since: their entries are copies.
func (r *Roster) withoutDeparted(list []Server, era uint64, now time.Time) []Server {
	if !now.Before(r.CopiesLapseAt) {
		return list
	}
	return slices.DeleteFunc(list, func(server Server) bool {
		departure, hasLeft := r.Departed[server.ID]
		return hasLeft && departure.Era < era && departure.Start == server.Start && server.Seq <= departure.Seq
	})
}
