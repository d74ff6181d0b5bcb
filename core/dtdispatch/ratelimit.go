package dtdispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the request rates that servers name. A server counts as overloaded if it gets more
// than rateTolerance times its rate, plus rateSlack requests, within rateWindow. The routers'
// tokens add up to no more than that leaves beyond the rate itself, so that a server is not
// overloaded even if all of them are used at once.
const (
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 3 // Two less than a server tolerates, as routers may know different numbers of routers.
	// Requests per second that a server gets even if it names a lower rate, so that its responses
	// show when the limit ends.
	minServerRate      = 0.25
	rateShareInterval  = time.Second     // Interval at which a router's share is calculated.
	rateRepeatInterval = time.Second     // Interval at which rates are repeated to peers, as messages may be lost.
	endedRateRetention = 5 * time.Second // Time for which the end of a limit is repeated.
	maxRatesPerMessage = 256
)

// RateLimit is the number of requests per second that a server accepts from all routers together.
type RateLimit struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names to save space.
	PerSecond float64
	IsSet     bool // The server has named a limit.
}

// ServerRate is the request rate that a server has named, and this router's share of it as a token
// bucket.
type ServerRate struct {
	Limit      RateLimit
	ObservedAt time.Time // Time of the response that named it.
	IsOwn      bool      // The response was to this router.
	Seq        uint64    // Order in which limits became known.
	Share      RateShare
	ShareSetAt time.Time
	Tokens     float64 // Requests that this router may send.
	RefilledAt time.Time
	TrialAt    time.Time // Time of this router's last trial request.
}

// RateShare is the part of a server's request rate that one router may use.
type RateShare struct {
	PerSecond float64 // Zero if the rate is divided among other routers.
	MaxTokens float64
	Rank      int // Position of the router among those with a share, from 0.
}

// shareRate divides a rate among count routers, of which those with the given names are known, and
// returns the share of one of them. If there are more routers than tokens, the rate goes to as many of them as there are
// tokens, which differ from server to server.
func shareRate(limit RateLimit, server *Server, self string, routers []string, count int) RateShare {
	rate := max(limit.PerSecond, minServerRate)
	tokens := (rateTolerance-1)*rate*rateWindow.Seconds() + rateSlack
	members := min(count, int(tokens))
	rank := routerRank(server, self, routers)
	if rank >= members {
		return RateShare{}
	}
	return RateShare{PerSecond: rate / float64(members), MaxTokens: tokens / float64(members), Rank: rank}
}

// refill adds the tokens that have accrued since the last call.
func (r *ServerRate) refill(now time.Time) {
	r.Tokens = min(r.Tokens+r.Share.PerSecond*now.Sub(r.RefilledAt).Seconds(), r.Share.MaxTokens)
	r.RefilledAt = now
}

// nextTokenAt returns when the next request may be sent, or false if this router has no share.
func (r *ServerRate) nextTokenAt(now time.Time) (time.Time, bool) {
	if r.Share.PerSecond == 0 {
		return time.Time{}, false
	}
	missing := max(1-r.Tokens, 0)
	return now.Add(time.Duration(missing / r.Share.PerSecond * float64(time.Second))), true
}

// observeRateLimit records the limit in a response header that arrived at observedAt. A response
// without one ends the limit.
func (s *State) observeRateLimit(id ServerID, limit RateLimit, isOwn bool, observedAt time.Time) {
	rate := s.ServerRates[id]
	if rate == nil && !limit.IsSet || rate != nil && observedAt.Before(rate.ObservedAt) {
		return
	}
	if rate == nil {
		rate = &ServerRate{}
		s.ServerRates[id] = rate
	}
	isNew := rate.Limit != limit
	rate.Limit, rate.ObservedAt, rate.IsOwn = limit, observedAt, isOwn
	if !isNew {
		return
	}
	s.lastRateSeq++
	rate.Seq = s.lastRateSeq
	rate.ShareSetAt = time.Time{}
	s.emit(LogRecord{Event: "server_limit", Subject: string(id), RateLimit: limit})
}

// limitedRate returns the rate of a server that has named a limit, with its tokens as of now, or nil.
func (s *State) limitedRate(server *Server, now time.Time) *ServerRate {
	rate := s.ServerRates[server.ID]
	if rate == nil || !rate.Limit.IsSet {
		return nil
	}
	rate.refill(now)
	if now.Sub(rate.ShareSetAt) >= rateShareInterval {
		rate.Share = shareRate(rate.Limit, server, s.Settings.RouterName, s.routerNames(), s.RouterCount())
		rate.ShareSetAt = now
	}
	return rate
}

func (s *State) countRateLimitedRequest(server *Server, now time.Time) {
	if rate := s.limitedRate(server, now); rate != nil {
		rate.Tokens--
	}
}

// rateLimit returns the limit that a server has named last.
func (s *State) rateLimit(id ServerID) RateLimit {
	if rate := s.ServerRates[id]; rate != nil {
		return rate.Limit
	}
	return RateLimit{}
}

// RateReport tells a peer which limit a server has named in a response.
type RateReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names to save space.
	Server   ServerRef
	Limit    RateLimit
	AgeMs    int64 // Time since the response.
}

// rateReports returns what is to be sent to the peers of a cursor and advances it: the limits that
// have changed since the last call and, at intervals, the others. If ownOnly is set, limits that
// other routers have observed are left out.
func (s *State) rateReports(cursor *NewsCursor, ownOnly bool, now time.Time) []RateReport {
	if len(s.ServerRates) == 0 {
		return nil
	}
	changed, others := s.ratesAfter(cursor.Seq, ownOnly, now)
	cursor.Seq = s.lastRateSeq
	if len(changed) > maxRatesPerMessage {
		changed = changed[:maxRatesPerMessage]
		cursor.Seq = s.ServerRates[changed[maxRatesPerMessage-1].ID].Seq
	}
	if now.Sub(cursor.RepeatedAt) >= rateRepeatInterval {
		cursor.RepeatedAt = now
		changed = append(changed, others[:min(len(others), maxRatesPerMessage-len(changed))]...)
	}
	reports := make([]RateReport, len(changed))
	for i, server := range changed {
		rate := s.ServerRates[server.ID]
		reports[i] = RateReport{Server: server.Ref(), Limit: rate.Limit, AgeMs: now.Sub(rate.ObservedAt).Milliseconds()}
	}
	return reports
}

// ratesAfter returns the servers whose limits have changed after seq, in the order of the changes,
// and the others whose limits hold or have ended lately.
func (s *State) ratesAfter(seq uint64, ownOnly bool, now time.Time) (changed, others []*Server) {
	for _, id := range sortedKeys(s.ServerRates) {
		rate, server := s.ServerRates[id], s.Roster.Servers[id]
		switch {
		case server == nil || ownOnly && !rate.IsOwn:
		case rate.Seq > seq:
			changed = append(changed, server)
		case rate.Limit.IsSet || now.Sub(rate.ObservedAt) < endedRateRetention:
			others = append(others, server)
		}
	}
	slices.SortFunc(changed, func(a, b *Server) int { return cmp.Compare(s.ServerRates[a.ID].Seq, s.ServerRates[b.ID].Seq) })
	return changed, others
}

// mergeRates applies the limits that a peer knows.
func (s *State) mergeRates(reports []RateReport, now time.Time) {
	for _, report := range reports {
		if server := s.Roster.ByRef[report.Server]; server != nil {
			observedAt := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
			s.observeRateLimit(server.ID, report.Limit, false, observedAt)
		}
	}
}
