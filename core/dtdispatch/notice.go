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
	ToldLeaving  bool      // The routers that share tunnels with this one have been told.
	ToldBackoff  time.Time // What they have been told of BackoffUntil.
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
	s.applyNotice(server, report, requestID)
	s.tellNoticeIfNew(server, s.Tunnels.Sharing(report.ReceivedAt), report.ReceivedAt)
}

// applyNotice applies what a server has announced in a response to this router or to one that shares a tunnel with it.
func (s *State) applyNotice(server *Server, report *ServerReport, requestID string) {
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

// tellNoticeIfNew passes on what a server has announced, to routers that share tunnels with this one, unless they have
// been told.
func (s *State) tellNoticeIfNew(server *Server, routers []string, now time.Time) {
	notice := s.Notices[server.ID]
	isNew := notice.Leaving && !notice.ToldLeaving || notice.BackoffUntil.Sub(notice.ToldBackoff) > noticeRetellMargin
	if !isNew || len(routers) == 0 {
		return
	}
	notice.ToldLeaving, notice.ToldBackoff = notice.Leaving, notice.BackoffUntil
	s.tellNotice(server, routers, now)
}

// tellNotice passes on what a server has announced.
func (s *State) tellNotice(server *Server, routers []string, now time.Time) {
	notice := s.Notices[server.ID]
	if notice == nil || !notice.appliesTo(server, now) {
		return
	}
	news := &NoticeNews{Server: ServerRef(HashString(string(server.ID))), Start: notice.Start, Leaving: notice.Leaving, Backoff: max(notice.BackoffUntil.Sub(now), 0)}
	for _, name := range routers {
		s.emit(SendToPeers{To: name, Message: news})
	}
}

// handleNoticeNews applies what a server has announced to a router that shares a tunnel with this one, and passes it on
// to those that this one has opened tunnels for. These open none for the same service, so that news does not go round.
func (s *State) handleNoticeNews(news *NoticeNews, now time.Time) {
	listed := s.Roster.ByRef[news.Server]
	if listed == nil || !news.Leaving && news.Backoff <= 0 {
		return
	}
	server := *listed
	server.Start = news.Start
	s.applyNotice(&server, &ServerReport{ReceivedAt: now, Leaving: news.Leaving, Backoff: news.Backoff}, "")
	s.tellNoticeIfNew(&server, sortedKeys(s.Tunnels.Users), now)
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
