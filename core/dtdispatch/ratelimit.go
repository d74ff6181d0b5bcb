package dtdispatch

import "time"

// RateLimit is the number of requests per second that a server accepts from all routers together.
type RateLimit struct {
	PerSecond float64
	IsSet     bool // The server has named a limit.
}

// ServerRate is the request rate that a server has named.
type ServerRate struct {
	Limit      RateLimit
	ObservedAt time.Time // Time of the response that named it.
}

// observeRateLimit records the limit in a response header that arrived at observedAt. A response
// without one ends the limit.
func (s *State) observeRateLimit(id ServerID, limit RateLimit, observedAt time.Time) {
	rate := s.ServerRates[id]
	if rate == nil && !limit.IsSet || rate != nil && observedAt.Before(rate.ObservedAt) {
		return
	}
	if rate == nil {
		rate = &ServerRate{}
		s.ServerRates[id] = rate
	}
	changed := rate.Limit != limit
	rate.Limit, rate.ObservedAt = limit, observedAt
	if changed {
		s.emit(LogRecord{Event: "server_limit", Subject: string(id), RateLimit: limit})
	}
}

// rateLimit returns the limit that a server has named last.
func (s *State) rateLimit(id ServerID) RateLimit {
	if rate := s.ServerRates[id]; rate != nil {
		return rate.Limit
	}
	return RateLimit{}
}
