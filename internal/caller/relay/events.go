package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// idField begins the line of an event that numbers it.
var idField = []byte("id:")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// errEventTooLarge says that an event is over the limit.
var errEventTooLarge = errors.New("event is too large")

// eventSplitter gathers the bytes of a stream into whole events.
type eventSplitter struct {
	// pending is an event that is not whole yet.
	pending []byte
	// lastID numbers the last whole event; empty before the first one.
	lastID string
}

// add takes the next bytes of the stream and returns those that make up whole
// events. The result is valid until the next call.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 && len(s.pending) > maxEventBytes {
		return nil, errEventTooLarge
	}
	if end < 0 {
		return nil, nil
	}
	end += len(eventEnd)
	whole := s.pending[:end:end]
	rest := s.pending[end:]
	if id, ok := lastEventID(whole); ok {
		s.lastID = id
	}
	s.pending = append([]byte(nil), rest...)
	return whole, nil
}

// discardPartial forgets an event that was cut.
func (s *eventSplitter) discardPartial() {
	s.pending = nil
}

// lastEventID returns the number of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	rest := events
	for {
		at := bytes.LastIndex(rest, idField)
		if at < 0 {
			return "", false
		}
		if at == 0 || rest[at-1] == '\n' {
			line, _, _ := bytes.Cut(rest[at+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line)), true
		}
		rest = rest[:at]
	}
}
