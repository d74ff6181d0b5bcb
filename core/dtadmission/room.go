package dtadmission

// yieldDivisor is the part of what a router has above its fair part that it leaves to others with each message while the
// servers are full.
const yieldDivisor = 8

// Room is what a router knows of the room at the servers of a service.
type Room struct {
	Slots    int  // Of all servers that may be sent requests.
	Free     int  // Slots that are believed to be free, from the loads of all routers.
	InFlight int  // Requests believed to be in flight, those of this router included.
	Own      int  // Those of this router.
	Told     int  // As many of its own as other routers reckon with.
	Routers  int  // Routers that share the servers.
	Offset   int  // Position of this router, from 0, among those to which the rest of a division goes; others in each turn.
	IsQueued bool // Requests wait at this router.
}

// Fair returns the part of the slots that the router may always use, whatever it knows of the loads. It is at least one,
// so that a lone request goes even if the loads are out of date.
func (r *Room) Fair() int { return max(r.Slots/max(r.Routers, 1), 1) }

// MayStart reports whether the router may start another request. The fair parts of all routers add up to the slots. A
// router that has more may replace what has ended, less what it yields while there is no free slot; and it takes a part of
// the free slots before the others know of it.
func (r *Room) MayStart() bool {
	fair := r.Fair()
	switch {
	case r.Own < fair:
		return true
	case r.Free <= 0:
		yield := (max(r.Told-fair, 0) + yieldDivisor - 1) / yieldDivisor
		return r.Own < r.Told-yield
	case !r.IsQueued, r.Own < r.Told:
		return true
	}
	growth := r.Own - r.Told
	free := r.Free + growth
	if growth < (free+r.Offset)/max(r.Routers, 1) {
		return true
	}
	// Routers that have much in flight serve many callers, so they take more of what is free.
	others := max(r.InFlight-growth, 1)
	return growth < free*r.Told/others
}

// CountStart applies a request that the router starts.
func (r *Room) CountStart() {
	r.Own++
	r.InFlight++
	r.Free--
}
