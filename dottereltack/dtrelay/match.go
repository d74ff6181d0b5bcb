package dtrelay

// responseMatch says which request a response on the connection to a server belongs to.
type responseMatch uint8

const (
	matchesRequest responseMatch = iota // The last request sent on the connection.
	matchesEarlier                      // An earlier one: the server has responded to it twice, or late.
	matchesUnknown                      // Unknown, so that nothing in the response counts, not even a refusal.
)

// matchResponse decides which request a response belongs to by the IDs of the request and the
// response. A request without an ID is sent on a connection of its own, where the only response
// without an ID belongs to it.
func matchResponse(requestID, responseID string) responseMatch {
	switch {
	case responseID == requestID:
		return matchesRequest
	case responseID == "" || requestID == "":
		return matchesUnknown
	}
	return matchesEarlier
}

// requestIDs holds the IDs of the last requests that were sent on a connection. A request whose ID
// is among them can't use the connection, because a late response to the earlier request would
// count as the response to this one.
type requestIDs struct {
	recent [maxRecentRequests]string
	count  int
}

// matchResponse is like the function of that name. A response without an ID belongs to a status request if one was sent on the
// connection.
func (r *requestIDs) matchResponse(requestID, responseID string) responseMatch {
	if responseID == "" && requestID != "" && r.contains("") {
		return matchesEarlier
	}
	return matchResponse(requestID, responseID)
}

// maxRecentRequests is the number of requests to which a server is expected to respond late.
const maxRecentRequests = 8

func (r *requestIDs) add(id string) {
	r.recent[r.count%maxRecentRequests] = id
	r.count++
}

func (r *requestIDs) contains(id string) bool {
	for _, recent := range r.recent[:min(r.count, maxRecentRequests)] {
		if recent == id {
			return true
		}
	}
	return false
}
