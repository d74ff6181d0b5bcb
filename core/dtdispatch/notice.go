package dtdispatch

import "time"

// Parameters of what servers announce in their responses.
const (
	maxServerBackoff      = 5 * time.Minute  // Longer pauses that a server asks for are cut to this.
	noticeRetention       = 10 * time.Minute // Time for which the notice of a server that is no longer listed is kept.
	uncertainNoticePeriod = 10 * time.Second // Time for which one holds that may be of the listed incarnation or of the former.
)

// ServerNotice is what a server has announced about itself in responses to this router.
type ServerNotice struct {
	Start        int64     // Incarnation of the server, in Unix milliseconds; zero if unknown.
	ReceivedAt   time.Time // Time of the last announcement.
	Leaving      bool
	BackoffUntil time.Time // No requests are wanted until then.
}

// appliesTo reports whether the notice may have come from the listed incarnation of a server. Lists may lag behind
// responses, so that one which was listed since has ended it for certain only if it started after the notice; otherwise
// a server that was leaving is gone after uncertainNoticePeriod.
func (n *ServerNotice) appliesTo(server *Server, now time.Time) bool {
	if n.Start == server.Start || n.Start == 0 || server.Start == 0 {
		return true
	}
	hasStartedSince := !server.earliestStart().Before(n.ReceivedAt)
	return !hasStartedSince && now.Sub(later(server.FirstListedAt, n.ReceivedAt)) <= uncertainNoticePeriod
}

// announcedAvailability applies what the server has announced in its responses.
func (s *State) announcedAvailability(server *Server, now time.Time) Availability {
	notice := s.Notices[server.ID]
	switch {
	case notice == nil || !notice.appliesTo(server, now):
		return Availability{}
	case notice.Leaving:
		return Availability{Block: BlockLeaving}
	case now.Before(notice.BackoffUntil):
		return Availability{Block: BlockBackoff, Until: notice.BackoffUntil}
	}
	return Availability{}
}

// recordNotice applies what a server has announced in a response to a request that was sent to the
// given incarnation.
func (s *State) recordNotice(server *Server, report *ServerReport, requestID string) {
	if !report.Leaving && report.Backoff <= 0 {
		return
	}
	notice := s.Notices[server.ID]
	if notice == nil || !notice.appliesTo(server, report.ReceivedAt) {
		notice = &ServerNotice{}
		s.Notices[server.ID] = notice
	}
	notice.Start, notice.ReceivedAt = server.Start, report.ReceivedAt
	if report.Leaving && !notice.Leaving {
		notice.Leaving = true
		s.emit(LogRecord{Event: "server_leaving", RequestID: requestID, Subject: string(server.ID)})
	}
	until := report.ReceivedAt.Add(min(report.Backoff, maxServerBackoff))
	if report.Backoff <= 0 || !until.After(notice.BackoffUntil) {
		return
	}
	if !report.ReceivedAt.Before(notice.BackoffUntil) {
		s.emit(LogRecord{Event: "server_backoff", RequestID: requestID, Subject: string(server.ID), Backoff: report.Backoff})
	}
	notice.BackoffUntil = until
}

// forgetNotices removes the notices of earlier incarnations and of servers that left long ago.
func (s *State) forgetNotices(now time.Time) {
	for id, notice := range s.Notices {
		server := s.Roster.Servers[id]
		isOver := server != nil && !notice.appliesTo(server, now)
		isOld := server == nil && now.Sub(notice.ReceivedAt) > noticeRetention
		if isOver || isOld {
			delete(s.Notices, id)
		}
	}
}
