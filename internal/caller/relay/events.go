package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// eventEnd is the separator after each event of a stream.
var eventEnd = []byte("\n\n")

// idField begins the line of an event that holds its ID.
var idField = []byte("id:")

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// errEventTooLarge says that an event exceeds maxEventBytes.
var errEventTooLarge = errors.Newf("event exceeds %d bytes", maxEventBytes)

// eventSplitter collects the bytes of a stream into complete events.
type eventSplitter struct {
	// pending holds the bytes of an event that is not complete yet.
	pending []byte
	// lastID is the ID of the last complete event; empty before the first one.
	lastID string
	// count is the number of complete events.
	count int
}

// add adds the next bytes of the stream and returns the bytes of all events that
// are now complete. The result is valid until the next call.
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
	complete := s.pending[:end:end]
	rest := s.pending[end:]
	if id, ok := lastEventID(complete); ok {
		s.lastID = id
	}
	s.count += bytes.Count(complete, eventEnd)
	s.pending = append([]byte(nil), rest...)
	return complete, nil
}

// discardPartial drops the bytes of an event that is not complete.
func (s *eventSplitter) discardPartial() {
	s.pending = nil
}

// lastEventID returns the ID of the last event that has one.
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
