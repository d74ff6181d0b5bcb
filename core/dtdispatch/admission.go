package dtdispatch

import "time"

// handleRequestArrived refuses or holds a new request or starts its first attempt.
func (s *State) handleRequestArrived(ev RequestArrived, now time.Time) {
	if s.Config == nil && s.holdAtStart(&ev, ev.CallerTimeout, now) {
		return
	}
	r := newRequest(&ev)
	if refusal, ok := s.admit(r, &ev, now); !ok {
		s.refuse(r, refusal, now)
		return
	}
	if s.holdAtStart(&ev, r.Deadline.Sub(ev.HeaderReadAt), now) {
		return
	}
	if r.keepsVersion() && !s.admitStream(r, &ev, now) {
		return
	}
	s.Requests[r.Number] = r
	s.retryBudget(r.Service).Requests.Add(1, now)
	s.countBrittleDemand(r.Service, now)
	if !s.waitForTurn(r, now) {
		s.startAttempt(r, ReasonNoServer, now)
	}
}

func newRequest(ev *RequestArrived) *Request {
	r := &Request{
		Number: ev.Number, ID: ev.ID, StreamID: ev.ID, ResumeAfter: ev.ResumeAfter, PromptParts: ev.PromptParts, Digest: ev.Digest,
		ArrivedAt: ev.HeaderReadAt, Arrival: *ev,
	}
	if ev.ResumeAfter != "" && ev.ResumesID != "" {
		r.StreamID = ev.ResumesID
	}
	return r
}

// admit fills in r from the configuration, or returns a refusal and false.
func (s *State) admit(r *Request, ev *RequestArrived, now time.Time) (Refuse, bool) {
	if s.Config == nil {
		return unavailable(ReasonNoConfig, retryAfterNoConfig), false
	}
	r.ConfigVersion = s.Config.Version
	r.Route = s.Config.MatchRoute(ev.Host, ev.Path)
	if r.Route == nil {
		return Refuse{Status: statusNotFound, Reason: ReasonNoRoute}, false
	}
	r.Priority = r.Route.Priority
	if !s.authenticate(r, ev.APIKey) {
		return Refuse{Status: statusUnauthorized, Reason: ReasonUnauthorized}, false
	}
	r.Deadline = requestDeadline(r.Route, ev)
	if s.Shutdown.Closing && r.Deadline.After(s.Shutdown.EndAt) {
		return unavailable(ReasonStopping, retryAfterStopping), false
	}
	r.Service = r.Route.PickService(serviceHash(r))
	if block := s.Crashes.Block(r.Digest, r.PromptParts); block.IsActive(now) {
		return s.refuseBlocked(r, block, now), false
	}
	return Refuse{}, true
}

// refuseBlocked returns the refusal of a request that would crash its server; the caller may send
// it again after the block.
func (s *State) refuseBlocked(r *Request, block CrashBlock, now time.Time) Refuse {
	record := LogRecord{Event: "crash_block", RequestID: r.ID, Outcome: "request", Crashes: block.Crashes}
	if block.Part != 0 {
		record.Outcome, record.PromptParts = "prompt_part", []PromptPart{{ID: block.Part}}
	}
	s.emit(record)
	return unavailable(ReasonPoison, block.Until.Sub(now))
}

// authenticate applies the client account of an API key to r and reports whether the request is
// allowed.
func (s *State) authenticate(r *Request, key string) bool {
	if s.Config.AccountsByKey == nil {
		return true
	}
	account, known := s.Config.AccountsByKey[key]
	if !known {
		return r.Route.Public
	}
	r.Account = account.Name
	r.AllowedRegions = account.AllowedRegions
	if account.Priority >= 0 {
		r.Priority = account.Priority
	}
	return true
}

// requestDeadline applies the shorter of the route's and the caller's timeout, or one minute if
// neither is set.
func requestDeadline(route *Route, ev *RequestArrived) time.Time {
	timeout := route.Timeout
	if ev.CallerTimeout > 0 && (timeout <= 0 || ev.CallerTimeout < timeout) {
		timeout = ev.CallerTimeout
	}
	if timeout <= 0 {
		timeout = time.Minute
	}
	return ev.HeaderReadAt.Add(timeout)
}

// serviceHash returns the hash that selects the service; it is the same for requests that share
// a prompt.
func serviceHash(r *Request) uint64 {
	if r.Route.Affinity && len(r.PromptParts) > 0 {
		return Mix(sharedPartID(r.PromptParts), HashString(r.Route.Name))
	}
	return HashString(r.StreamID)
}
