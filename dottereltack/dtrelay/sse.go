package dtrelay

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events at the blank lines between them.
type eventSplitter struct {
	buffer []byte
	lastID string // ID of the last complete event.
}

func (s *eventSplitter) write(b []byte) { s.buffer = append(s.buffer, b...) }

// takeComplete removes the complete events from the buffer and returns them, without the
// events up to and including afterID. The result is valid until the next write.
func (s *eventSplitter) takeComplete(afterID string) []byte {
	end := bytes.LastIndex(s.buffer, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += len("\n\n")
	events := s.buffer[:end]
	rest := s.buffer[end:]
	start := 0
	for pos := 0; pos < end; {
		n := bytes.Index(events[pos:], []byte("\n\n")) + len("\n\n")
		id := eventID(events[pos : pos+n])
		if id != "" {
			if afterID != "" && isAtOrBefore(id, afterID) {
				start = pos + n
			}
			s.lastID = id
		}
		pos += n
	}
	s.buffer = rest
	return events[start:]
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
