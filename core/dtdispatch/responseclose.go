package dtdispatch

// A response without a length and without chunks ends with its connection, which the kernel closes in the same way if
// the server is killed. It is complete unless no process listens at the address of the server any more; one that has
// too many connections may not accept another in time.

// handleResponseClosed has the server of a response checked that has ended with its connection. After a pause of this
// router, the server may have been killed and be back.
func (s *State) handleResponseClosed(ev ResponseClosed) {
	r := s.Requests[ev.Number]
	if r == nil || r.Attempt != ev.Attempt || !s.Resume.ResumedAt.IsZero() {
		s.emit(EndAttempt{Number: ev.Number})
		return
	}
	s.emit(CheckServer{Server: r.Server, Number: r.Number, Address: r.Placement.Server.Address})
}

// endClosedResponse applies the result of that check. If the server is gone, AttemptEnded follows and has its crash
// recorded.
func (s *State) endClosedResponse(ev ServerChecked) {
	switch {
	case s.Requests[ev.Number] == nil:
	case ev.Refused:
		s.emit(EndAttempt{Number: ev.Number})
	default:
		s.emit(CompleteResponse{Number: ev.Number})
	}
}
