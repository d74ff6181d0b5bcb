package dtdispatch

import "time"

// Limits of an attempt.
const (
	maxTriedServers      = 3                      // No retry after an unreachable server once this many servers have been tried.
	minConnectTimeout    = 120 * time.Millisecond // Allows many round trips even if the latency objective is shorter.
	maxConnectTimeout    = 400 * time.Millisecond // A host that does not respond within it is down or unreachable.
	minTimeForRetry      = 30 * time.Millisecond  // Time until the deadline below which no retry is sent.
	minHeaderTimeout     = 150 * time.Millisecond // Minimum time for a server to send its response header.
	headerTimeoutFactor  = 2                      // Multiple of the latency objective within which the response header must arrive.
	streamIdleFactor     = 3                      // Multiple of Route.MaxEventGap after which another server is looked for.
	minStreamIdleTimeout = time.Second            // Callers give up on a silent stream after two seconds.
	idleConnsDivisor     = 2                      // Leaves half of a server's connections to requests in progress.
)

// Retry-After values of refusals.
const (
	retryAfterStopping = 100 * time.Millisecond // Another router serves the request at once.
	retryAfterBusy     = 300 * time.Millisecond // The duration of a few requests at a full server.
	retryAfterNoConfig = 500 * time.Millisecond // A router receives the configuration within this time.
)

// Request is the state of a caller's request until its final response.
type Request struct {
	Number            RequestNumber
	ID                string
	StreamID          string    // Of the request that began the stream; ID unless the request goes on with one.
	StreamTime        time.Time // Time of a new stream; see StreamVersions.
	ResumeAfter       string    // See RequestArrived.
	Arrival           RequestArrived
	Route             *Route
	ConfigVersion     int64 // Of the configuration that has decided on Route and Account.
	Service           string
	Account           string
	AllowedRegions    []string // Regions allowed for the account, in addition to the route's restriction.
	Priority          int
	PromptParts       []PromptPart
	Digest            uint64
	ArrivedAt         time.Time
	Deadline          time.Time
	Attempt           int          // Number of the current attempt, from 1.
	SentAttempts      int          // Attempts that may have reached a server.
	Server            ServerID     // Of the current attempt.
	ServerVersion     string       // Software version of Server.
	ServerStart       int64        // Start of Server, of the incarnation that was listed when the attempt began, or of a later one that may have responded.
	SentStart         int64        // ServerStart when the attempt began.
	SentAt            time.Time    // When the current attempt began.
	ConnectedAt       time.Time    // When the connection of the current attempt was opened, once the server has responded.
	Placement         Placement    // Of the current attempt.
	TriedServers      []ServerID   // Servers that must not be tried again.
	Version           string       // Software version that has begun the stream of a resumable response.
	HasVersion        bool         // Version is known.
	RecordSeq         uint64       // Of the StreamException of the stream; zero if there is none.
	Via               []Via        // Of the current attempt; empty if it has a direct connection.
	LastVia           string       // Router by way of which the last attempt that has ended was sent, or "".
	DirectFailures    []ServerID   // Those of TriedServers that a tunnel may reach.
	TunnelFailures    int          // Attempts for which no router has opened a tunnel.
	IsStartKnown      bool         // The server of the current attempt has named ServerStart over its connection.
	Reconnected       bool         // The server of the current attempt had closed an idle connection; see ResponseStarted.
	SilentAttempt     int          // Last attempt whose server was silent when its response was due.
	HoldsStream       bool         // The relay holds the stream of the current attempt until ForwardStream.
	IsStreamHeld      bool         // The relay has the first event of that stream.
	AwaitsRecord      bool         // This router did not know yet which mix is recorded when the stream began.
	WaitsUntil        time.Time    // For room at a brittle server; zero if the request has not waited.
	HasQueued         bool         // Requests waited at the server when the response to the current attempt began.
	PaceLimit         float64      // Of the server of the current attempt when it was sent; zero if it had no pace.
	IsTurnedAway      bool         // A brittle server has had no room for it.
	MayHaveRun        bool         // An attempt may have been executed.
	HasServerFailure  bool         // The relay has an error response of a server to forward.
	ResponseStarted   bool         // Part of the response has reached the caller.
	ClosedAt          time.Time    // When the end of a response was read that has ended with its connection.
	Framing           Framing      // Of the response to the last attempt that has ended.
	LastEvent         string       // ID of the last event that had reached the caller then.
	Origin            StreamOrigin // Of a new stream.
	ResponseStartedAt time.Time    // When the first event of the current attempt arrived.
}

// unavailable returns a refusal that states that the request was not executed.
func unavailable(reason Reason, retryAfter time.Duration) Refuse {
	return Refuse{Status: statusUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// startAttempt starts the next attempt, or gives up for the given reason if there is no server.
func (s *State) startAttempt(r *Request, reason Reason, now time.Time) {
	r.Placement = s.place(r, now)
	server := r.Placement.Server
	if server == nil {
		if !s.waitForRoom(r, now) {
			s.giveUp(r, s.blockedReason(r, reason, now), now)
		}
		return
	}
	if !s.mayReachServers(r.Service, now) {
		s.giveUp(r, ReasonNoServer, now)
		return
	}
	r.Attempt++
	r.SentAttempts++
	r.SentAt, r.ResponseStartedAt, r.ConnectedAt, r.IsStartKnown, r.HasQueued = now, time.Time{}, time.Time{}, false, false
	r.Server, r.ServerVersion, r.ServerStart, r.SentStart = server.ID, server.Version, server.Start, server.Start
	s.countRolloutRequest(r)
	s.countBrittleRequest(server, now)
	if domain := s.DomainHealth[server.Domain]; domain != nil {
		domain.BeginTrial(now)
	}
	s.serverLoad(server.ID).RequestSent()
	s.countColdRequest(server, now)
	s.countRateLimitedRequest(server, now)
	s.countStart(r, now)
	s.countPacedRequest(r, server, now)
	r.HoldsStream, r.IsStreamHeld = s.mustHold(r), false
	r.Via = s.viaFor(server, now)
	s.emit(SendRequest{
		Number: r.Number, Attempt: r.Attempt, Server: server.ID, Start: server.Start, StatusPath: s.statusPath(r, server, now), Address: server.Address,
		Account: r.Account, CacheSource: r.Placement.CacheSource, StripAPIKey: s.Config.AccountsByKey != nil, Priority: r.Priority, Streaming: r.Route.Streaming,
		Resumable: r.isResumable(), HoldStream: r.HoldsStream, AtMostOnce: !r.Route.IsRetryable(),
		Deadline: r.Deadline, HeaderDeadline: s.headerDeadline(r, now), StreamIdleTimeout: s.streamIdleTimeout(r), ConnectTimeout: connectTimeout(r.Route), MaxIdleConns: s.maxIdleConns(r.Service), Via: r.Via,
	})
}

func (s *State) countColdRequest(server *Server, now time.Time) {
	rate := s.Config.Services[server.Service].ColdRate
	if rate > 0 && now.Before(server.ColdUntil) {
		s.coldBudget(server, now).CountRequest(rate, s.Settings.Bounds, s.RouterCount(), now)
	}
}

// countColdStatus counts a status request, which is a request like any other for a server that has no report.
func (s *State) countColdStatus(server *Server, now time.Time) {
	service := s.Config.Services[server.Service]
	if service.ColdRate > 0 && !service.NamesStart && now.Before(server.ColdUntil) {
		s.coldBudget(server, now).CountStatus(service.ColdRate, s.Settings.Bounds, s.RouterCount(), now)
	}
}

// headerDeadline returns the time by which the response header must have arrived, early enough
// to leave time for a retry. It is the deadline of the request if no retry is allowed.
func (s *State) headerDeadline(r *Request, now time.Time) time.Time {
	if !r.Route.IsRetryable() || r.SentAttempts >= r.Route.MaxAttempts {
		return r.Deadline
	}
	deadline := now.Add(max(headerTimeoutFactor*r.Route.LatencyObjective, minHeaderTimeout))
	if deadline.After(r.Deadline) {
		return r.Deadline
	}
	return deadline
}

func connectTimeout(route *Route) time.Duration {
	return min(max(route.LatencyObjective, minConnectTimeout), maxConnectTimeout)
}

// streamIdleTimeout returns the time without an event after which another server is looked for to go on with a
// stream, or zero if none may.
func (s *State) streamIdleTimeout(r *Request) time.Duration {
	if !r.Route.Streaming || !r.Route.Resumable || r.SentAttempts >= r.Route.MaxAttempts {
		return 0
	}
	return max(streamIdleFactor*r.Route.MaxEventGap, minStreamIdleTimeout)
}

// maxIdleConns returns how many idle connections this router may keep to one server.
func (s *State) maxIdleConns(service string) int {
	maxConns := s.Config.Services[service].MaxConnections
	return max(maxConns/(idleConnsDivisor*s.RouterCount()), 1)
}

// handleResponseStarted applies the load report from the response header and records which
// prompt parts the server has read and survived.
func (s *State) handleResponseStarted(ev ResponseStarted, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil || r.Attempt != ev.Attempt {
		return
	}
	s.updateReport(r, ev.Report, now)
	s.recordReached(r, true)
	if r.ResponseStartedAt.IsZero() {
		s.observeResponse(r, ev.Report, now)
	}
	r.ResponseStartedAt, r.ConnectedAt, r.Reconnected = now, ev.ConnectedAt, ev.Reconnected
	r.IsStartKnown = r.ServerStart != 0 && ev.ServerStart == r.ServerStart
	if !r.isTunneled() {
		s.recordConnection(r.Service, ev.ConnectedAt, now)
	}
	s.clearLoss(r)
	if r.keepsVersion() && (!r.HasVersion || !r.goesOn()) {
		r.Version, r.HasVersion = r.ServerVersion, true
	}
	if !r.goesOn() {
		r.Origin = StreamOrigin{Server: r.Server, Start: r.ServerStart, IsStartKnown: r.IsStartKnown, ConnectedAt: ev.ConnectedAt, At: now}
		s.correctOrigin(r, now)
	}
	if !s.confirmVersion(r) {
		return
	}
	s.holdStream(r, now)
	if server := s.Roster.Servers[r.Server]; server != nil {
		s.Prompts.RecordRead(r.PromptParts, server.Ref(), now)
	}
}

// updateReport applies what the server of the current attempt has stated about itself.
func (s *State) updateReport(r *Request, report *ServerReport, now time.Time) {
	if report == nil {
		return
	}
	s.recordNotice(r.Placement.Server, report, r.ID)
	id := r.Server
	server := s.Roster.Servers[id]
	if server == nil {
		return
	}
	if report.Load != nil {
		s.serverLoad(id).SetReport(*report.Load, now)
		if s.observeSpeed(server, report.Load.Slowdown, report.ReceivedAt) {
			s.Capacity.News.noteSpeed(id)
		}
	}
	s.observeRateLimit(id, report.RateLimit, true, report.ReceivedAt)
	s.observeBrittleness(id, report.Brittleness, true, report.ReceivedAt)
	if b := s.BrittleServers[id]; b != nil && report.Load != nil {
		b.Slots = report.Load.Slots
	}
}

// handleAttemptEnded finishes the request, retries it or gives up.
func (s *State) handleAttemptEnded(ev AttemptEnded, now time.Time) {
	r := s.Requests[ev.Number]
	if r == nil || r.Attempt != ev.Attempt {
		return
	}
	r.ResponseStarted = r.ResponseStarted || ev.ResponseStarted
	r.Framing, r.LastEvent, r.LastVia = ev.Framing, ev.LastEvent, ev.Via
	s.recordVia(&ev, now)
	s.recordReached(r, ev.Outcome != OutcomeUnreachable)
	s.recordResult(r, &ev, now)
	s.countEnd(r, &ev, now)
	if ev.Outcome != OutcomeCompleted {
		s.emit(LogRecord{
			Event: "attempt", RequestID: r.ID, Stream: r.stream(), Subject: string(r.Server), Version: r.ServerVersion, Outcome: ev.Outcome.String(),
			Detail: ev.Detail, Status: ev.Status, Attempt: ev.Attempt, Elapsed: now.Sub(r.ArrivedAt), Progress: ev.Progress,
			Framing: ev.Framing, LastEvent: ev.LastEvent, Via: ev.Via,
		})
	}
	switch ev.Outcome {
	case OutcomeCompleted:
		s.finish(r, "served", ev.Status, now)
	case OutcomeCallerGone:
		s.finish(r, ReasonCallerGone.String(), 0, now)
	case OutcomeExpired:
		r.MayHaveRun = r.MayHaveRun || !ev.NotSent
		s.giveUp(r, ReasonDeadline, now)
	case OutcomeUnreachable:
		s.retryUnreachable(r, &ev, now)
	default:
		if ev.NotSent {
			s.retryUnreachable(r, &ev, now)
			return
		}
		s.retry(r, &ev, now)
	}
}

// recordResult updates the load and health of the server and its failure domain, and records a
// lost connection as a possible crash.
func (s *State) recordResult(r *Request, ev *AttemptEnded, now time.Time) {
	if ev.Outcome != OutcomeWrongServer {
		s.updateReport(r, ev.Report, now)
	}
	s.countRolloutAnswer(r, ev, now)
	server := s.Roster.Servers[r.Server]
	if server == nil {
		return
	}
	s.serverLoad(r.Server).RequestEnded()
	s.observeEnd(r, ev, server, now)
	s.observeConnection(r, ev, server, now)
	if ev.Status != 0 {
		s.domainHealth(server.Domain).RecordResponse()
	}
	if ev.Outcome == OutcomeNotRun && ev.Status == statusUnavailable {
		s.recordTurnedAway(r, ev.Report, now)
	}
	if !s.isOfConnection(r, ev, now) {
		s.recordHealth(r, ev, server, now)
	}
	if ev.Outcome != OutcomeConnectionLost || ev.isTunnelLost() {
		return
	}
	s.recordLoss(r.Server, now)
	if ev.NotSent {
		return
	}
	s.Crashes.AddSuspect(r.Server, &CrashSuspect{
		RequestID: r.ID, Digest: r.Digest, PromptParts: r.PromptParts, Progress: ev.Progress, StartedAt: r.ResponseStartedAt,
		ConnectedAt: later(r.ConnectedAt, ev.ConnectedAt), EndedAt: now, Start: r.SentStart, MayBeLater: r.ServerStart != r.SentStart,
	})
	s.checkSuspects(server, now)
}

// recordHealth updates the health of the server of an attempt and of its failure domain.
func (s *State) recordHealth(r *Request, ev *AttemptEnded, server *Server, now time.Time) {
	h := s.serverHealth(r.Server)
	switch ev.Outcome {
	case OutcomeCompleted:
		s.Crashes.MarkSound(r.PromptParts, now)
		h.RecordSuccess()
	case OutcomeFailure:
		if ev.Status >= minServerErrorStatus {
			h.RecordFailure(now)
		}
	case OutcomeUnreachable, OutcomeUnacknowledged:
		h.RecordUnreachable(now)
		s.domainHealth(server.Domain).RecordUnreachable(r.Server, now)
		s.recordDown(r.Server, now)
	case OutcomeWrongServer:
		h.RecordUnreachable(now)
	case OutcomeRestarted:
		s.recordUnlistedStart(server, ev.ServerStart, r.ID, now)
	case OutcomeNotRun, OutcomeConnectionLost, OutcomeMalformed, OutcomeTimedOut:
		h.RecordFailure(now)
	}
}

// handleServerChecked applies the result of a check of a server.
func (s *State) handleServerChecked(ev ServerChecked, now time.Time) {
	switch {
	case ev.Number != 0:
		s.endClosedResponse(ev, now)
	case s.observeCheck(ev, now) && (ev.Connected || len(s.Crashes.Suspects[ev.Server]) == 0):
		s.checkSuspectsIfDue(now)
	case !s.recheckSuspect(ev, now):
		s.endSuspectCheck(ev, now)
	}
}

// giveUp ends a request that no server has completed.
func (s *State) giveUp(r *Request, reason Reason, now time.Time) {
	switch {
	case r.ResponseStarted:
		s.emit(AbortResponse{Number: r.Number})
		s.finish(r, "broken_off "+reason.String(), 0, now)
	case r.HasServerFailure:
		s.emit(ForwardFailure{Number: r.Number})
		s.finish(r, "server_failure", 0, now)
	case reason == ReasonDeadline:
		s.refuse(r, Refuse{Status: statusTimeout, Reason: reason}, now)
	case r.MayHaveRun:
		s.refuse(r, Refuse{Status: statusBadGateway, Reason: ReasonServerLost}, now)
	case reason == ReasonPoison:
		s.refuse(r, s.refuseBlocked(r, s.Crashes.Block(r.Digest, r.PromptParts), now), now)
	default:
		s.refuse(r, unavailable(reason, s.retryAfter(r, reason, now)), now)
	}
}

// refuse ends a request with an error response of this router.
func (s *State) refuse(r *Request, refusal Refuse, now time.Time) {
	refusal.Number, refusal.MayHaveRun = r.Number, r.MayHaveRun
	s.emit(refusal)
	s.finish(r, "refused "+refusal.Reason.String(), refusal.Status, now)
}

// goesOn reports whether the response is to go on with a stream of which the caller has events.
func (r *Request) goesOn() bool { return r.ResumeAfter != "" || r.ResponseStarted }

// stream returns the ID of the stream that the request goes on with, or "".
func (r *Request) stream() string {
	if r.ResumeAfter == "" {
		return ""
	}
	return r.StreamID
}

// finish removes a request and logs its result.
func (s *State) finish(r *Request, outcome string, status int, now time.Time) {
	delete(s.Requests, r.Number)
	if outcome != "served" && r.Route != nil && r.keepsVersion() && r.ResumeAfter == "" && !r.Origin.At.IsZero() {
		s.StreamVersions.rememberBrokenOff(r, now)
	}
	record := LogRecord{
		Event: "request", RequestID: r.ID, Stream: r.stream(), Subject: string(r.Server), Version: r.ServerVersion, Outcome: outcome, Status: status, Attempt: r.Attempt,
		Elapsed: now.Sub(r.ArrivedAt), Account: r.Account, Placement: r.Placement, RouterCount: s.RouterCount(), Framing: r.Framing, LastEvent: r.LastEvent, Via: r.LastVia,
	}
	record.ConfigVersion, record.ConfigAge = r.ConfigVersion, s.configAge(now)
	if !s.Roster.ListedAt.IsZero() {
		record.RosterAge = now.Sub(s.Roster.ListedAt)
	}
	if r.Route != nil {
		record.Kind, record.Route = r.Route.Kind(), r.Route.Name
	}
	if r.Route != nil && r.keepsVersion() && r.ResumeAfter == "" && !r.StreamTime.IsZero() {
		record.StreamAge = now.Sub(r.StreamTime)
	}
	s.emit(record)
}
