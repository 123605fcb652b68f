package httpserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request and its answer. Only the handler uses it.
type Exchange struct {
	// Request holds the head; its body was read into Body.
	Request *http.Request
	Body    []byte
	// Context ends when the caller leaves or the process stops.
	Context context.Context //nolint:containedctx // it belongs to one exchange

	connection *connection
	// closeAfter says that the connection ends after this answer.
	closeAfter bool
	// begun says that the head of the answer was written.
	begun bool
	// chunked says that the answer's length is not known.
	chunked bool
	// ended says that the answer is whole.
	ended bool
	err   error
}

// ErrResponseAborted says that an answer cannot be completed.
var ErrResponseAborted = errors.New("answer was cut")

// Respond answers with a whole body.
func (x *Exchange) Respond(status int, header http.Header, body []byte) {
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHead(status, header)
	if x.Request.Method != http.MethodHead {
		x.write(body)
	}
	x.ended = true
}

// Begin starts an answer of unknown length.
func (x *Exchange) Begin(status int, header http.Header) {
	if x.Request.ProtoAtLeast(1, 1) {
		x.chunked = true
		header.Set("Transfer-Encoding", "chunked")
	} else {
		x.closeAfter = true
	}
	x.writeHead(status, header)
}

// CallerDisconnected reports whether the caller closed its connection.
func (x *Exchange) CallerDisconnected() bool {
	return errors.Is(context.Cause(x.Context), errCallerDisconnected)
}

// Begun reports whether the head of the answer was written.
func (x *Exchange) Begun() bool {
	return x.begun
}

// Send writes the next part of an answer of unknown length and passes it on at
// once.
func (x *Exchange) Send(part []byte) error {
	if len(part) == 0 {
		return x.flush()
	}
	if x.chunked {
		x.write(strconv.AppendInt(nil, int64(len(part)), 16))
		x.write([]byte("\r\n"))
	}
	x.write(part)
	if x.chunked {
		x.write([]byte("\r\n"))
	}
	return x.flush()
}

// End completes an answer of unknown length.
func (x *Exchange) End() {
	if x.chunked {
		x.write([]byte("0\r\n\r\n"))
	}
	x.ended = true
}

// Abort gives the answer up. What the caller has of it cannot be taken for
// whole.
func (x *Exchange) Abort() {
	if x.err == nil {
		x.err = ErrResponseAborted
	}
}

func (x *Exchange) writeHead(status int, header http.Header) {
	x.begun = true
	x.setDeadline()
	w := x.connection.writer
	_, err := w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	x.setError(err)
	if x.closeAfter {
		header.Set("Connection", "close")
	}
	x.setError(header.Write(w))
	x.write([]byte("\r\n"))
}

func (x *Exchange) write(p []byte) {
	if x.err != nil {
		return
	}
	_, err := x.connection.writer.Write(p)
	x.setError(err)
}

func (x *Exchange) flush() error {
	if x.err != nil {
		return x.err
	}
	x.setDeadline()
	x.setError(x.connection.writer.Flush())
	return x.err
}

func (x *Exchange) setDeadline() {
	x.setError(x.connection.conn.SetWriteDeadline(time.Now().Add(writeTimeoutMillis * time.Millisecond)))
}

func (x *Exchange) setError(err error) {
	if err != nil && x.err == nil {
		x.err = err
	}
}

// finish sends what is left of the answer and reports whether it is whole.
func (x *Exchange) finish() bool {
	if !x.ended {
		return false
	}
	return x.flush() == nil
}
