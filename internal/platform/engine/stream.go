package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// maxEventBytes is the maximum size of one line of a stream. An engine streams to many requests at once,
// each of which may hold that much.
const maxEventBytes = 128 << 10

// dataPrefix is the prefix of a data line of server-sent events.
var dataPrefix = []byte("data:")

// Stream reads the events of one generation. Close may be called concurrently with Next;
// otherwise only one goroutine at a time may use a Stream.
type Stream struct {
	// id is the ID of the request whose Finished event ends the stream.
	id      string
	body    io.ReadCloser
	scanner *bufio.Scanner
	// finished is set once Next has returned that Finished event.
	finished bool
}

func newStream(id string, body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{id: id, body: body, scanner: scanner}
}

// Next waits for the next event. It returns io.EOF after the Finished event of the
// request, and ErrBroken when the stream ends earlier or cannot be read. Events of other
// requests are returned as well; their Finished events do not end the stream.
func (s *Stream) Next() (Event, error) {
	if s.finished {
		return nil, io.EOF
	}
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		event, err := DecodeEvent(bytes.TrimSpace(data))
		if err != nil {
			return nil, exchange.NewOutcomeError(ErrBroken, err)
		}
		if end, ok := event.(Finished); ok {
			s.finished = end.RequestID == s.id
		}
		return event, nil
	}
	if err := s.scanner.Err(); err != nil {
		return nil, exchange.NewOutcomeError(ErrBroken, err)
	}
	return nil, errors.Wrap(ErrBroken, "stream ended before it finished")
}

// Close closes the stream. The engine continues the generation.
func (s *Stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
