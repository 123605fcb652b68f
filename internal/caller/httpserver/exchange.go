package httpserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request and its response. Only the handler may use it.
type Exchange struct {
	// Request holds the request line and headers. Its body has already been
	// read into Body.
	Request *http.Request
	Body    []byte
	// Context is canceled when the caller disconnects, and with ErrStopped when the process stops.
	Context context.Context //nolint:containedctx // its lifetime is that of one exchange
	// OnCut, if the handler sets it, is called after Handle when the complete response did not
	// reach the connection.
	OnCut func(Cut)

	connection *connection
	// closeAfter is set when the connection is closed after this response.
	closeAfter bool
	// begun is set once the status line and headers were written.
	begun bool
	// chunked is set when the response is sent with chunked transfer encoding,
	// since its length is unknown.
	chunked bool
	// ended is set once the handler has written the complete response.
	ended bool
	// err is the first error of writing the response.
	err error
}

// Cut says why a response did not reach the connection completely.
type Cut string

const (
	// CutByCaller means that the caller had closed the connection.
	CutByCaller Cut = "CallerDisconnected"
	// CutByStop means that the process was ending.
	CutByStop Cut = "Stopped"
	// CutByHandler means that the handler aborted the response.
	CutByHandler Cut = "Aborted"
	// CutByWrite means that the connection failed.
	CutByWrite Cut = "WriteFailed"
)

// ErrResponseAborted means that the handler aborted an incomplete response.
var ErrResponseAborted = errors.New("response aborted before its end")

// Respond writes a complete response with the given body, which is left out if the response can
// have none. It then names no length, as that would be the length of another response's body.
func (x *Exchange) Respond(status int, header http.Header, body []byte) {
	if !x.mayHaveBody(status) {
		header.Del("Content-Length")
		body = nil
	} else {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeHead(status, header)
	x.write(body)
	x.ended = true
}

// mayHaveBody reports whether a response with a status to the request can have a body.
func (x *Exchange) mayHaveBody(status int) bool {
	return x.Request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Begin starts a response of unknown length.
func (x *Exchange) Begin(status int, header http.Header) {
	x.connection.server.setState(x.connection, responding)
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

// Stopped reports whether the process is ending, so that the handler must end the response now.
func (x *Exchange) Stopped() bool {
	return errors.Is(context.Cause(x.Context), ErrStopped)
}

// Begun reports whether the status line and headers were written.
func (x *Exchange) Begun() bool {
	return x.begun
}

// Send writes the next part of a response of unknown length and flushes it to
// the caller.
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

// End completes a response of unknown length.
func (x *Exchange) End() {
	if x.chunked {
		x.write([]byte("0\r\n\r\n"))
	}
	x.ended = true
}

// Abort stops the response before its end. The connection is closed in a way
// that lets the caller detect the truncation.
func (x *Exchange) Abort() {
	if x.err == nil {
		x.err = ErrResponseAborted
	}
}

func (x *Exchange) writeHead(status int, header http.Header) {
	x.begun = true
	x.setDeadline()
	if x.connection.server.reached(draining) {
		x.closeAfter = true
	}
	w := x.connection.takeWriter()
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
	_, err := x.connection.takeWriter().Write(p)
	x.setError(err)
}

func (x *Exchange) flush() error {
	if x.err != nil {
		return x.err
	}
	x.setDeadline()
	x.setError(x.connection.takeWriter().Flush())
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

// cut returns why the response is incomplete.
func (x *Exchange) cut() Cut {
	switch {
	case x.CallerDisconnected():
		return CutByCaller
	case x.Stopped():
		return CutByStop
	case x.err == nil || errors.Is(x.err, ErrResponseAborted):
		return CutByHandler
	default:
		return CutByWrite
	}
}

// finish flushes the rest of the response and reports whether the complete
// response was sent.
func (x *Exchange) finish() bool {
	if !x.ended {
		return false
	}
	return x.flush() == nil
}
