package answerhead

import (
	"bufio"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of the read buffer of answers. A larger head gets a larger one.
const bufferBytes = 4096

// Reader reads the answers of one connection.
type Reader struct {
	buffer *bufio.Reader
}

// NewReader returns a reader of the answers that source holds.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(source, bufferBytes)}
}

// Read reads the head of the next answer. The body of the answer, which comes from the reader, must be read before the
// next call. An error of bytes that are no answer is marked with ErrNoAnswer.
func (r *Reader) Read(request *http.Request) (*http.Response, error) {
	head, err := r.peek()
	if err != nil {
		return nil, err
	}
	if _, err := Check(head); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(r.buffer, request)
	return answer, errors.Wrap(err, "read head of an answer")
}

// peek returns the next head without consuming it.
func (r *Reader) peek() ([]byte, error) {
	for {
		seen, err := r.buffer.Peek(r.buffer.Buffered())
		if err != nil {
			return nil, err
		}
		end, err := endOf(seen)
		if end > 0 || err != nil {
			return seen[:end], err
		}
		if len(seen) == r.buffer.Size() {
			r.buffer = bufio.NewReaderSize(r.buffer, 2*len(seen))
		}
		if _, err := r.buffer.Peek(len(seen) + 1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}
