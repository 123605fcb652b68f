package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// maxBufferedAnswerBytes is the size limit of an answer that is read completely before
	// it is forwarded.
	maxBufferedAnswerBytes = 8 << 20
	// headLineBytes is the memory that a line of a head takes beside its bytes.
	headLineBytes = 128
)

// readBody reads the body of the answer, of up to maxBufferedAnswerBytes. What it holds then belongs to
// the call.
func (c *Call) readBody(ctx context.Context) ([]byte, error) {
	length := c.Answer.ContentLength
	if length > maxBufferedAnswerBytes && c.Answer.Body != http.NoBody {
		return nil, errors.Wrapf(ErrTooLarge, "body has %d bytes, at most %d are read", length, maxBufferedAnswerBytes)
	}
	body, err := c.held.ReadAll(ctx, c.Answer.Body, heldbytes.Body, heldbytes.BodyLimits{
		MostBytes: maxBufferedAnswerBytes, Length: length, KeptBytes: c.headBytes,
	})
	return body, tooMuchHeld(err)
}

// heldError returns the error of a read. If the call gave way to others, it says so.
func (c *Call) heldError(err error) error {
	if gaveWay := c.held.Err(); gaveWay != nil {
		return tooMuchHeld(gaveWay)
	}
	return err
}

// tooMuchHeld marks the error of a call that gave way to others, or whose body is too long, as one of an
// answer without end.
func tooMuchHeld(err error) error {
	if errors.IsAny(err, heldbytes.ErrGaveWay, heldbytes.ErrTooLarge) {
		return errors.Mark(err, ErrTooLarge)
	}
	return err
}

// headReader reads the heads before the body of an answer and counts the memory that they take.
type headReader struct {
	ctx    context.Context //nolint:containedctx // its lifetime is that of the read of the heads
	source io.Reader
	call   *Call
	// bytes is the memory of the current heads; it is negative when the body is read.
	bytes int64
}

// Read reads bytes of a head.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.bytes < 0 {
		return n, err
	}
	r.bytes += int64(n)
	for _, b := range p[:n] {
		if b == '\n' {
			r.bytes += headLineBytes
		}
	}
	if held := r.call.held.Grow(r.ctx, r.bytes); held != nil {
		return 0, tooMuchHeld(held)
	}
	if err != nil {
		err = r.call.heldError(err)
	}
	return n, err
}

// begin says that heads are read from now on.
func (r *headReader) begin() {
	r.bytes = 0
	r.call.held.Expect(heldbytes.Head, -1)
}

// end says that the body is read from now on. The header is kept until the call is closed.
func (r *headReader) end() {
	r.call.headBytes = r.bytes
	r.call.held.Complete(r.bytes)
	r.bytes = -1
}
