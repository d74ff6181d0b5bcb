package dtrelay

import (
	"bytes"
	"strconv"
	"unicode"
)

// eventSplitter splits a stream of server-sent events at the blank lines between them.
type eventSplitter struct {
	buffer  []byte
	scanned int    // Start of the first line that has not been looked at.
	lastID  string // ID of the last complete event.
	out     []byte // Result of takeComplete.
	held    []byte // Events without IDs at the begin of a stream that goes on.
	goesOn  bool   // An event with an ID has come that the caller does not have.
}

func (s *eventSplitter) write(b []byte) { s.buffer = append(s.buffer, b...) }

// size returns the number of bytes that wait for more: an incomplete event and the held ones.
func (s *eventSplitter) size() int64 { return int64(len(s.buffer) + len(s.held)) }

// takeComplete removes the complete events from the buffer and returns them, valid until the next call. If the
// stream goes on after the event afterID, it leaves out those with IDs up to that one and holds those without an ID
// until another one has come. With the events before it, it returns errNotAnEvent for a text that is none, and
// errEventOrder for an event whose ID is not above those before.
func (s *eventSplitter) takeComplete(afterID string) ([]byte, error) {
	s.out = s.out[:0]
	for {
		n := s.nextEventEnd()
		if n < 0 {
			return s.out, nil
		}
		event := s.buffer[:n]
		if !isEvent(event) {
			return s.out, errNotAnEvent
		}
		if !s.take(event, afterID) {
			return s.out, errEventOrder
		}
		s.buffer = s.buffer[n:]
		s.scanned -= n
	}
}

// take adds an event to the result unless it is left out or held, and returns false if its ID is not above those before.
func (s *eventSplitter) take(event []byte, afterID string) bool {
	id := eventID(event)
	switch {
	case id == "" && (s.goesOn || afterID == ""):
		s.out = append(s.out, event...)
	case id == "":
		s.held = append(s.held, event...)
	case s.goesOn && isAtOrBefore(id, s.lastID):
		return false
	case s.goesOn || !isAtOrBefore(id, afterID):
		s.goesOn = true
		s.out = append(append(s.out, s.held...), event...)
		s.held = nil
	}
	if id != "" {
		s.lastID = id
	}
	return true
}

// isEvent reports whether each line of a block is a field or a comment. Names of fields are in lower case, other than
// those in the head of a response.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		switch string(line) {
		case "", "data", "id", "event", "retry": // A field may lack its value.
			continue
		}
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		if !hasColon || bytes.ContainsFunc(name, unicode.IsUpper) {
			return false
		}
	}
	return true
}

// nextEventEnd returns the end of the next event, after the blank line that ends it, or -1 if the
// event is incomplete.
func (s *eventSplitter) nextEventEnd() int {
	for {
		n := bytes.IndexByte(s.buffer[s.scanned:], '\n')
		if n < 0 {
			return -1
		}
		line := s.buffer[s.scanned : s.scanned+n]
		s.scanned += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return s.scanned
		}
	}
}

// eventID returns the value of an event's id field, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isAtOrBefore reports whether the IDs are equal, or both are numbers and id is below afterID.
func isAtOrBefore(id, afterID string) bool {
	if id == afterID {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(afterID, 10, 64)
	return errA == nil && errB == nil && a <= b
}
