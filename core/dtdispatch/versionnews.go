package dtdispatch

import "time"

// serverNewsGap is the time between two messages of a router about servers that are down or drop connections.
const serverNewsGap = 100 * time.Millisecond

// VersionNews tells other routers of streams that have begun at another version than they would work out, and of servers
// that may have restarted with another version.
type VersionNews struct {
	Versions map[string]string         `msgpack:"v"`           // By ID of the stream; of those that the sender can't record.
	Recorded map[string]string         `msgpack:"r,omitempty"` // By ID of the stream; of those that the sender records.
	Stored   map[string]string         `msgpack:"s,omitempty"` // By ID of the stream; of those that the sender has recorded for others.
	Mixes    map[string]map[string]int `msgpack:"m,omitempty"` // By service: weights of the last mix that the store has.
	Down     []ServerID                `msgpack:"d,omitempty"` // Servers that were down.
	Lost     []ServerID                `msgpack:"l,omitempty"` // Servers that have dropped a connection.
}

func (*VersionNews) isPeerMessage() {}

// handleVersionNews records what another router has told. One router of each failure domain writes it to the record,
// which the teller can't reach.
func (s *State) handleVersionNews(news *VersionNews, now time.Time) {
	s.recordServerNews(news, now)
	v := &s.StreamVersions
	for id, version := range news.Recorded {
		if !v.Exceptions[id].IsOwn {
			v.addException(id, StreamException{Version: version, At: now}, now)
		}
	}
	s.observeStored(news.Stored, now)
	if v.observeMixNews(news.Mixes) && s.Membership.IsLarge() && s.isRecorder(now) {
		s.tellMixes()
	}
	s.adoptVersions(news.Versions, now)
}

// adoptVersions records the versions of streams that another router can't record.
func (s *State) adoptVersions(versions map[string]string, now time.Time) {
	v := &s.StreamVersions
	for id, version := range versions {
		known := v.Exceptions[id]
		if known.IsOwn && known.Version == version {
			getOrCreateSet(&v.Adopted)[id] = true
		}
		if known.IsOwn {
			continue
		}
		exception := StreamException{Version: version, At: now, IsOwn: s.isRecorder(now)}
		if exception.IsOwn {
			v.ExceptionSeq++
			exception.Seq = v.ExceptionSeq
			getOrCreateSet(&v.Adopted)[id] = true
			v.ExceptionWrite.markDue(now.Add(exceptionDelay))
		}
		v.addException(id, exception, now)
	}
	s.tellStored()
}

// askToRecord tells the other routers of the streams that the store has not taken from this one.
func (s *State) askToRecord() {
	v := &s.StreamVersions
	unrecorded := map[string]string{}
	for id, exception := range v.Exceptions {
		if exception.IsOwn && exception.Seq > max(v.WrittenSeq, v.AskedSeq) && !v.Adopted[id] {
			unrecorded[id] = exception.Version
		}
	}
	v.AskedSeq = v.ExceptionSeq
	if len(unrecorded) == 0 {
		return
	}
	for _, id := range sortedKeys(unrecorded) {
		s.emit(LogRecord{Event: "stream_told", Stream: id, Version: unrecorded[id]})
	}
	s.emit(SendToPeers{Message: &VersionNews{Versions: unrecorded}})
}

// tellStored tells the routers that can't write their streams which of these the store has now.
func (s *State) tellStored() {
	v := &s.StreamVersions
	stored := map[string]string{}
	for id := range v.Adopted {
		exception := v.Exceptions[id]
		if exception.Seq > v.WrittenSeq {
			continue
		}
		if exception.IsOwn {
			stored[id] = exception.Version
		}
		delete(v.Adopted, id)
	}
	if len(stored) > 0 {
		s.emit(SendToPeers{Message: &VersionNews{Stored: stored}})
	}
}

// observeStored forwards the streams of this router that another one has recorded.
func (s *State) observeStored(stored map[string]string, now time.Time) {
	v := &s.StreamVersions
	for id, version := range stored {
		if exception := v.Exceptions[id]; exception.IsOwn && exception.Version == version {
			exception.IsStored = true
			v.Exceptions[id] = exception
		}
	}
	if len(stored) > 0 {
		s.forwardHeldStreams(now)
	}
}

// tellRecorded tells the other routers of the streams that this one is about to record, in case that the store goes away
// before they read that.
func (s *State) tellRecorded() {
	v := &s.StreamVersions
	recorded := map[string]string{}
	for id, exception := range v.Exceptions {
		if exception.IsOwn && exception.Seq > v.ToldSeq {
			recorded[id] = exception.Version
		}
	}
	v.ToldSeq = v.ExceptionSeq
	if len(recorded) > 0 {
		s.emit(SendToPeers{Message: &VersionNews{Recorded: recorded}})
	}
}

// ServerNews is what this router has yet to tell the others of servers.
type ServerNews struct {
	Down   map[ServerID]bool
	Lost   map[ServerID]bool
	NextAt time.Time // Nothing is told before.
}

// nextAt returns when the news is to be told, or the zero time if there is none.
func (n *ServerNews) nextAt() time.Time {
	if len(n.Down)+len(n.Lost) == 0 {
		return time.Time{}
	}
	return n.NextAt
}

// tellServerNewsIfDue tells the other routers of servers, of several at once if there is much to tell.
func (s *State) tellServerNewsIfDue(now time.Time) {
	n := &s.ServerNews
	if len(n.Down)+len(n.Lost) == 0 || now.Before(n.NextAt) {
		return
	}
	s.emit(SendToPeers{Message: &VersionNews{Down: sortedKeys(n.Down), Lost: sortedKeys(n.Lost)}})
	*n = ServerNews{NextAt: now.Add(serverNewsGap)}
}

// recordServerNews records what other routers have told of servers, whichever incarnations they list. A server that is
// told to be down may only have been out of reach of the teller.
func (s *State) recordServerNews(news *VersionNews, now time.Time) {
	for _, id := range news.Down {
		if s.Roster.Servers[id] != nil {
			s.serverHealth(id).UnseenAt = now
		}
	}
	for _, id := range news.Lost {
		if s.Roster.Servers[id] != nil {
			s.serverHealth(id).LostAt = now
		}
	}
}

func getOrCreateSet[K comparable](set *map[K]bool) map[K]bool {
	if *set == nil {
		*set = map[K]bool{}
	}
	return *set
}
