package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

var dataPrefix = []byte("data:")

// Stream reads the events of one generation. It is used by one goroutine at a
// time, but for Close.
type Stream struct {
	// id is the request whose Finished ends the stream.
	id      string
	body    io.ReadCloser
	scanner *bufio.Scanner
	// finished is set once Finished was returned.
	finished bool
}

func newStream(id string, body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{id: id, body: body, scanner: scanner}
}

// Next waits for the next event. It fails with io.EOF after Finished, and with
// ErrBroken when the stream ends or can't be read before. Events of other
// requests are returned too; a Finished of another request ends nothing.
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

// Close ends the stream; the engine goes on with the generation.
func (s *Stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
