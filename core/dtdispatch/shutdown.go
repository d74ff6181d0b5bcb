package dtdispatch

import (
	"slices"
	"time"
)

// Timing of a graceful shutdown.
const (
	// The load balancer stops sending requests after two missed probes, one second apart.
	balancerSwitchPeriod = 2800 * time.Millisecond
	// Time between the deadline of responses in progress and the kill of the process.
	shutdownMargin = 500 * time.Millisecond
	// Part of it in which callers whose requests have been given up get their responses.
	finalResponseTime     = 150 * time.Millisecond
	shutdownCheckInterval = 100 * time.Millisecond
)

// Shutdown is the progress of a graceful shutdown.
type Shutdown struct {
	Requested bool
	Closing   bool // Idle connections are closed, and requests that may outlast the process are refused.
	Ending    bool // Requests in progress are given up.
	Done      bool
	CloseAt   time.Time // Time when the router begins to close connections.
	EndAt     time.Time // Time when requests in progress are given up; the process exits finalResponseTime later.
	CheckAt   time.Time // Time of the next check for requests in progress.
}

// NextStepTime returns when the shutdown has to continue, or the zero time.
func (s *Shutdown) NextStepTime() time.Time {
	switch {
	case !s.Requested || s.Done:
		return time.Time{}
	case !s.Closing:
		return s.CloseAt
	}
	return s.CheckAt
}

// handleStopRequested starts the graceful shutdown. The router serves requests until the load
// balancer has removed it, then finishes the requests in progress.
func (s *State) handleStopRequested(now time.Time) {
	if s.Shutdown.Requested {
		return
	}
	s.Shutdown.Requested = true
	s.Shutdown.CloseAt = now.Add(min(balancerSwitchPeriod, s.Settings.Bounds.ShutdownTimeout/2))
	s.Shutdown.EndAt = now.Add(s.Settings.Bounds.ShutdownTimeout - shutdownMargin)
	s.emit(LogRecord{Event: "stop", Detail: "waiting for the load balancer to remove the router"})
}

func (s *State) continueShutdown(now time.Time) {
	shutdown := &s.Shutdown
	if !shutdown.Requested || shutdown.Done || now.Before(shutdown.NextStepTime()) {
		return
	}
	shutdown.Closing = true
	s.emit(CloseIdleConns{})
	shutdown.CheckAt = now.Add(shutdownCheckInterval)
	if !shutdown.Ending && !now.Before(shutdown.EndAt) {
		shutdown.Ending = true
		shutdown.CheckAt = shutdown.EndAt.Add(finalResponseTime)
		s.endRequests(now)
	}
	if s.openRequests() > 0 && now.Before(shutdown.EndAt.Add(finalResponseTime)) {
		return
	}
	shutdown.Done = true
	s.emit(Exit{Abandoned: s.openRequests()})
}

// openRequests returns the number of requests without a final response, including those that wait for something.
func (s *State) openRequests() int {
	return len(s.Requests) + len(s.Resume.Held) + len(s.Startup.Held) + len(s.StreamVersions.Held)
}

// endRequests ends the attempts in progress, after which their requests are given up, and refuses those that wait.
// Streams that are held are forwarded as far as they have come.
func (s *State) endRequests(now time.Time) {
	s.forwardHeldStreams(now)
	for _, number := range sortedKeys(s.Requests) {
		s.emit(CancelAttempt{Number: number})
	}
	waiting := slices.Concat(s.Resume.Held, s.StreamVersions.Held)
	s.Resume.Held, s.StreamVersions.Held = nil, nil
	for _, ev := range waiting {
		s.refuseHeld(&ev, unavailable(ReasonStopping, retryAfterStopping), now)
	}
}
