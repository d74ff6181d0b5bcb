package dtdispatch

import "time"

// Timing of a graceful shutdown.
const (
	// The load balancer stops sending requests after two missed probes, one second apart.
	balancerSwitchPeriod = 2800 * time.Millisecond
	// Time between the deadline of responses in progress and the kill of the process.
	shutdownMargin        = 300 * time.Millisecond
	shutdownCheckInterval = 100 * time.Millisecond
)

// Shutdown is the progress of a graceful shutdown.
type Shutdown struct {
	Requested bool
	Closing   bool // Idle connections are closed, and requests that may outlast the process are refused.
	Done      bool
	CloseAt   time.Time // Time when the router begins to close connections.
	EndAt     time.Time // Time when the process exits even if requests are in progress.
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
	if len(s.Requests) > 0 && now.Before(shutdown.EndAt) {
		return
	}
	shutdown.Done = true
	s.emit(Exit{Abandoned: len(s.Requests)})
}
