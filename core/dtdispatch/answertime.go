package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtcapacity"
)

// observesAnswers reports whether the times of answers of a service's servers are of use.
func (s *State) observesAnswers(service string, now time.Time) bool {
	return s.isPaceOn(service, now) || s.Capacity.statesSpeed(service, now)
}

// observeResponse records how long the server of the current attempt has taken for the first event or the response, of which report
// is what it has stated along with it.
func (s *State) observeResponse(r *Request, report *ServerReport, now time.Time) {
	server := s.Roster.Servers[r.Server]
	if server == nil || !s.observesAnswers(r.Service, now) {
		return
	}
	service, slowdown, took := s.Capacity.serviceCapacity(r.Service), s.Capacity.Slowdown(r.Server, now), now.Sub(r.SentAt)
	usual := getOrCreate(service.Response, r.Route.Name, func() *dtcapacity.Usual { return &dtcapacity.Usual{} })
	isLate := false
	if expected := usual.Time(); expected > 0 {
		expected = time.Duration(float64(expected) * slowdown)
		isLate = took > lateFactor*expected+lateMargin
		if s.Capacity.statesSpeed(r.Service, now) {
			s.Capacity.speed(r.Server).Measure(took, expected, now)
		}
	}
	r.HasQueued = report != nil && report.Load != nil && report.Load.Waiting > 0
	s.observePace(server, r.PaceLimit, report, isLate || r.HasQueued, now)
	if r.HasQueued {
		return
	}
	usual.Add(took, slowdown)
	if r.Placement.TokensToRead >= minReadTokens {
		service.PerToken.Add(took/time.Duration(r.Placement.TokensToRead), slowdown)
	}
}

// observeEnd records for how long a request has held a slot of the server of the current attempt, or that the server has failed.
func (s *State) observeEnd(r *Request, ev *AttemptEnded, server *Server, now time.Time) {
	if !s.observesAnswers(r.Service, now) {
		return
	}
	switch ev.Outcome {
	case OutcomeCompleted:
		if r.ResponseStartedAt.IsZero() {
			s.observeResponse(r, ev.Report, now)
		}
		if !r.HasQueued {
			s.Capacity.serviceCapacity(r.Service).Hold.Add(now.Sub(r.SentAt), s.Capacity.Slowdown(server.ID, now))
		}
	case OutcomeNotRun, OutcomeConnectionLost, OutcomeUnacknowledged, OutcomeMalformed, OutcomeTimedOut:
		if !ev.isTunnelLost() {
			s.observePace(server, 0, ev.Report, true, now)
		}
	case OutcomeFailure:
		if ev.Status >= minServerErrorStatus {
			s.observePace(server, 0, ev.Report, true, now)
		}
	}
}
