package dtdispatch

import (
	"time"

	"github.com/dottereltack/dottereltack/core/dtrollout"
)

// maxServerLosses is the number of unanswered requests at one server that are remembered.
const maxServerLosses = 64

// ServerLosses are requests that a server has not answered: their connections were lost, or it was silent. A server that
// answers later was there, so that these were faults of its version; those at a server that has ended with its host say
// nothing about the version.
type ServerLosses struct {
	Start int64 // Of the incarnation.
	Lost  []ServerLoss
}

// ServerLoss is one of them.
type ServerLoss struct {
	At       time.Time
	Service  string
	Route    string
	IsTarget bool
}

// activeRollout returns the roll-out of a service whose requests are to be counted, or nil.
func (s *State) activeRollout(service string) *Rollout {
	ro := s.Rollouts.ByService[service]
	if ro == nil || ro.Withdrawn || ro.State != dtrollout.StateActive {
		return nil
	}
	return ro
}

// countRolloutRequest counts an attempt.
func (s *State) countRolloutRequest(r *Request) {
	if ro := s.activeRollout(r.Service); ro != nil {
		ro.CountSent(r.ServerVersion == ro.Order.Target, r.Route.Name)
	}
}

// countRolloutAnswer counts how an attempt ended. Attempts that did not reach the server, or that its caller ended, say
// nothing about the version.
func (s *State) countRolloutAnswer(r *Request, ev *AttemptEnded, now time.Time) {
	ro := s.activeRollout(r.Service)
	if ro == nil || ev.NotSent {
		return
	}
	a := dtrollout.Answer{Route: r.Route.Name, IsTarget: r.ServerVersion == ro.Order.Target}
	isWarm := r.Placement.Server != nil && !r.SentAt.Before(r.Placement.Server.ColdUntil)
	if isWarm && !r.ResponseStartedAt.IsZero() {
		a.FirstEvent = r.ResponseStartedAt.Sub(r.SentAt)
	}
	switch ev.Outcome {
	case OutcomeExpired:
		if ev.Progress == ProgressNone {
			s.addServerLoss(r, a.IsTarget, now)
			return
		}
		a.Duration = now.Sub(r.SentAt)
	case OutcomeCompleted:
		if isWarm {
			a.Duration = now.Sub(r.SentAt)
		}
	case OutcomeFailure:
		a.IsFailure = ev.Status >= minServerErrorStatus
	case OutcomeMalformed:
		a.IsFailure = true
	case OutcomeConnectionLost, OutcomeTimedOut:
		if !ev.isTunnelLost() {
			s.addServerLoss(r, a.IsTarget, now)
		}
		return
	default:
		return
	}
	ro.CountAnswer(a)
	if ev.Outcome == OutcomeCompleted || ev.Outcome == OutcomeFailure {
		s.confirmLosses(r)
	}
}

// addServerLoss remembers that a request was not answered.
func (s *State) addServerLoss(r *Request, isTarget bool, now time.Time) {
	if s.Rollouts.Losses == nil {
		s.Rollouts.Losses = map[ServerID]*ServerLosses{}
	}
	losses := s.Rollouts.Losses[r.Server]
	if losses == nil || losses.Start != r.SentStart {
		losses = &ServerLosses{Start: r.SentStart}
		s.Rollouts.Losses[r.Server] = losses
	}
	if len(losses.Lost) < maxServerLosses {
		losses.Lost = append(losses.Lost, ServerLoss{At: now, Service: r.Service, Route: r.Route.Name, IsTarget: isTarget})
	}
}

// confirmLosses counts as failures what the server had not answered before a request was sent which the same incarnation of
// it has answered.
func (s *State) confirmLosses(r *Request) {
	losses := s.Rollouts.Losses[r.Server]
	if losses == nil {
		return
	}
	if losses.Start != r.SentStart {
		delete(s.Rollouts.Losses, r.Server)
		return
	}
	kept := losses.Lost[:0]
	for _, loss := range losses.Lost {
		if !r.SentAt.After(loss.At) {
			kept = append(kept, loss)
			continue
		}
		if ro := s.activeRollout(loss.Service); ro != nil {
			ro.CountAnswer(dtrollout.Answer{Route: loss.Route, IsTarget: loss.IsTarget, IsFailure: true})
		}
	}
	losses.Lost = kept
	if len(kept) == 0 {
		delete(s.Rollouts.Losses, r.Server)
	}
}
