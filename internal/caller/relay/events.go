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
var errEventTooLarge = errors.Wrapf(ErrTooLarge, "event exceeds %d bytes", maxEventBytes)

// eventSplitter collects the bytes of a stream into complete events.
type eventSplitter struct {
	// pending holds the bytes of an event that is not complete yet, so that no separator is in them.
	pending []byte
	// lastID is the ID of the last complete event; empty before the first one.
	lastID string
	// count is the number of complete events.
	count int
}

// add adds the next bytes of the stream and returns the bytes of all events that
// are now complete. The result is valid until the next call.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	// The separator may begin with the last byte before the data.
	searched := max(len(s.pending)-1, 0)
	if len(s.pending) > 0 {
		s.pending = append(s.pending, data...)
		data = s.pending
	}
	at := bytes.LastIndex(data[searched:], eventEnd)
	if at < 0 {
		return nil, s.keepPartial(data)
	}
	end := searched + at + len(eventEnd)
	complete := data[:end:end]
	if id, ok := lastEventID(complete); ok {
		s.lastID = id
	}
	s.count += bytes.Count(complete, eventEnd)
	s.pending = bytes.Clone(data[end:])
	return complete, nil
}

// keepPartial keeps the bytes of an event that is not complete.
func (s *eventSplitter) keepPartial(data []byte) error {
	if len(data) > maxEventBytes {
		return errEventTooLarge
	}
	if len(s.pending) == 0 {
		s.pending = bytes.Clone(data)
	}
	return nil
}

// heldBytes returns the memory of the event that is not complete.
func (s *eventSplitter) heldBytes() int64 {
	return int64(cap(s.pending))
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
