package dtrelay

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events at the blank lines between them.
type eventSplitter struct {
	buffer  []byte
	scanned int    // Start of the first line that has not been looked at.
	lastID  string // ID of the last complete event.
}

func (s *eventSplitter) write(b []byte) { s.buffer = append(s.buffer, b...) }

// takeComplete removes the complete events from the buffer and returns them, without those whose
// IDs are up to and including afterID. The result is valid until the next write.
func (s *eventSplitter) takeComplete(afterID string) []byte {
	kept, end := 0, 0
	for {
		n := s.nextEventEnd()
		if n < 0 {
			break
		}
		event := s.buffer[end:n]
		end = n
		id := eventID(event)
		if id != "" {
			s.lastID = id
		}
		if id == "" || afterID == "" || !isAtOrBefore(id, afterID) {
			kept += copy(s.buffer[kept:], event)
		}
	}
	events := s.buffer[:kept]
	s.buffer = s.buffer[end:]
	s.scanned -= end
	return events
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

// isAtOrBefore reports whether both IDs are numbers and id is at most afterID.
func isAtOrBefore(id, afterID string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(afterID, 10, 64)
	return errA == nil && errB == nil && a <= b
}
