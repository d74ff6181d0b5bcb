package dtdispatch

import (
	"maps"
	"slices"
	"time"
)

// A server that drops a connection may have crashed. Its process is asked, by a request that is sent after the loss: that it
// is connected to proves nothing, since the kernel accepts for a process that has just ended, and a proxy for a server that is
// gone. A server without room for another connection accepts and drops it, too.

const (
	// suspectCheckInterval is the time between two checks of a server. The listener of a process that has ended refuses by then.
	suspectCheckInterval = 250 * time.Millisecond
	// suspectCheckTimeout is the time for the answer; a process that has ended refuses or drops the request sooner.
	suspectCheckTimeout    = 500 * time.Millisecond
	suspectViaCheckTimeout = time.Second // By way of other routers.
)

// SuspectCheck is the check of a server that has dropped connections.
type SuspectCheck struct {
	BegunAt    time.Time     // When the last check began.
	Timeout    time.Duration // Of the answer.
	Start      int64         // Of the incarnation that is checked.
	InProgress bool
	IsAsked    bool // The server is asked for its status.
	IsRepeated bool // The check before it proved nothing; see mayBeEnding.
}

// NextAt returns when the server may be checked again.
func (c *SuspectCheck) NextAt() time.Time { return c.BegunAt.Add(suspectCheckInterval) }

// isOverdue reports whether the result of the check has come long after its time.
func (c *SuspectCheck) isOverdue(now time.Time) bool {
	return !c.BegunAt.IsZero() && now.Sub(c.BegunAt) > 2*c.Timeout
}

// checkSuspects checks whether a server has crashed that has dropped connections, unless it is being checked, which may show
// that, or has just been.
func (s *State) checkSuspects(server *Server, now time.Time) {
	check := s.Crashes.check(server.ID)
	if check.InProgress || now.Before(check.NextAt()) || s.reach(server.Service).Checking[server.ID] {
		return
	}
	s.checkSuspect(server, s.viaFor(server, now), now)
}

// checkSuspect begins a check, by way of another router if this one can't connect to the server.
func (s *State) checkSuspect(server *Server, via []Via, now time.Time) {
	timeout := suspectCheckTimeout
	if len(via) == 0 {
		s.reach(server.Service).BeginCheck(server.ID, now)
	} else {
		s.Tunnels.Suspected[server.ID] = true
		timeout = suspectViaCheckTimeout
	}
	suspect := s.Crashes.Suspects[server.ID][0]
	check := s.Crashes.check(server.ID)
	check.BegunAt, check.Timeout, check.Start, check.InProgress = now, timeout, suspect.Start, true
	e := CheckServer{Server: server.ID, Start: suspect.Start, Address: server.Address, Via: via}
	if path := s.Config.Services[server.Service].StatusPath; path != "" {
		e.StatusPath, e.KnownSince, e.Deadline, e.MaxIdleConns = path, suspect.ConnectedAt, now.Add(timeout), s.maxIdleConns(server.Service)
	}
	check.IsAsked = e.StatusPath != ""
	if check.IsAsked {
		s.countColdStatus(server, now)
	}
	s.emit(e)
}

// isBeingAsked reports whether a server is being checked that has dropped connections. The results of two checks of a server
// at once could not be told apart.
func (s *State) isBeingAsked(server *Server) bool {
	check := s.Crashes.Checks[server.ID]
	return check != nil && check.InProgress
}

// checkSuspectsIfDue checks the servers that have dropped connections since they were last checked.
func (s *State) checkSuspectsIfDue(now time.Time) {
	for _, id := range sortedKeys(s.Crashes.Suspects) {
		if server := s.Roster.Servers[id]; server != nil {
			s.checkSuspects(server, now)
		} else if !s.Crashes.check(id).InProgress {
			s.resolveSuspects(id, outcomeUnknown, false, "server has left", now)
		}
	}
	maps.DeleteFunc(s.Crashes.Checks, func(id ServerID, c *SuspectCheck) bool {
		return !c.InProgress && len(s.Crashes.Suspects[id]) == 0 && !now.Before(c.NextAt())
	})
}

// nextSuspectCheckAt returns when the next of these checks is due, or the zero time.
func (s *State) nextSuspectCheckAt() time.Time {
	next := time.Time{}
	for id := range s.Crashes.Suspects {
		check, server := s.Crashes.check(id), s.Roster.Servers[id]
		if check.InProgress || server != nil && s.reach(server.Service).Checking[id] {
			continue
		}
		if at := check.NextAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Outcomes of a check of a server that has dropped connections.
const (
	outcomeCrashed = "crashed"
	outcomeAlive   = "alive"
	outcomeUnknown = "unknown" // Its process is silent, as one that is stopped or has no room, or no router could check the server.
)

// endSuspectCheck applies the result of a check.
func (s *State) endSuspectCheck(ev ServerChecked, now time.Time) {
	check := s.Crashes.check(ev.Server)
	check.InProgress = false
	if !check.IsRepeated && check.mayBeEnding(ev) && len(s.Crashes.Suspects[ev.Server]) > 0 {
		check.IsRepeated = true
		return
	}
	outcome := s.suspectOutcome(ev, check, now)
	s.resolveSuspects(ev.Server, outcome, ev.Answered || ev.Replaced, ev.evidence(), now)
	server := s.Roster.Servers[ev.Server]
	if outcome != outcomeCrashed || server == nil || ev.Replaced && server.Start != check.Start {
		return // The process that has answered is listed.
	}
	s.serverHealth(ev.Server).RecordUnreachable(now)
	s.recordDown(ev.Server, now)
	s.emit(LogRecord{Event: "server_crashed", Subject: string(ev.Server), Detail: ev.evidence()})
}

// mayBeEnding reports whether the kernel may have accepted the connection of a check for a process that is just ending.
func (c *SuspectCheck) mayBeEnding(ev ServerChecked) bool {
	return ev.Lost || ev.Connected && !c.IsAsked
}

// suspectOutcome returns what the result of a check shows.
func (s *State) suspectOutcome(ev ServerChecked, check *SuspectCheck, now time.Time) string {
	switch {
	case ev.Answered || ev.Connected && !check.IsAsked:
		return outcomeAlive
	case ev.Via == "" && s.Tunnels.Suspected[ev.Server]:
		return outcomeUnknown
	case !ev.Connected && !ev.Refused && check.isOverdue(now):
		return outcomeUnknown // This router stood still, and the deadline had passed before it could connect.
	case ev.Refused, ev.Replaced, !ev.Connected:
		return outcomeCrashed
	case ev.Lost && s.Crashes.hasBegun(ev.Server) && !s.isServing(ev.Server, check.BegunAt):
		return outcomeCrashed // Something else accepts connections for it.
	}
	return outcomeUnknown
}

// evidence returns what a check has shown, for the log.
func (e *ServerChecked) evidence() string {
	switch {
	case e.Answered:
		return "answered"
	case e.Replaced:
		return "another has answered"
	case e.Refused:
		return "refused"
	case e.Lost:
		return "accepted and dropped"
	case e.Connected:
		return "accepted, no answer"
	}
	return "not connected"
}

// isServing reports whether a request is in progress at a server that was sent before a time. Its connections end with its
// process, while a server without room for another one keeps those that it has.
func (s *State) isServing(id ServerID, before time.Time) bool {
	for _, r := range s.Requests {
		if r.Server == id && r.SentAt.Before(before) && !slices.Contains(r.TriedServers, id) {
			return true
		}
	}
	return false
}

// resolveSuspects applies the outcome of a check to the requests that the server had dropped before the check began, or to all
// if it has crashed.
func (s *State) resolveSuspects(id ServerID, outcome string, isAnswered bool, evidence string, now time.Time) {
	delete(s.Tunnels.Suspected, id)
	for _, suspect := range s.Crashes.ResolveSuspects(id, outcome == outcomeCrashed, isAnswered, now) {
		outcome := outcome
		if isAnswered && suspect.MayBeLater {
			outcome = outcomeUnknown
		}
		s.emit(LogRecord{
			Event: "crash_suspect", RequestID: suspect.RequestID, Subject: string(id), Outcome: outcome, Detail: evidence,
			Progress: suspect.Progress, PromptParts: suspect.PromptParts, Crashes: s.Crashes.Count(suspect.Digest),
		})
	}
}
