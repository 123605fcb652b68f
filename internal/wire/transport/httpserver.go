package transport

import (
	"cmp"
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

const (
	// headerTimeoutMillis is the maximum time for reading the header of a request.
	headerTimeoutMillis = 5000
	// DefaultShutdownMillis is the default of HTTPServer.ShutdownMillis.
	DefaultShutdownMillis = 2000
)

// ErrStopped is the cancellation cause of the contexts of requests that are open when
// their server stops.
var ErrStopped = errors.New("process stops")

// Stopped reports whether the context of a request has ended since its server stops.
func Stopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopped)
}

// HTTPServer serves HTTP on one listener with the server of net/http. Its fields must be
// set before Run.
type HTTPServer struct {
	Listener net.Listener
	Handler  http.Handler
	// ShutdownMillis is the maximum time for answering open requests when the server
	// stops. Zero means DefaultShutdownMillis.
	ShutdownMillis int
	// Leaving reports whether each connection is to end with its next response. Nil
	// means that it never is.
	Leaving func() bool
	// Intake bounds what all callers make the process hold; nil for no bound. The handler reads the bodies of
	// requests, and takes the memory for their handling, with the holding that HoldingOf returns.
	Intake *intake.Budget
}

// Run serves until ctx ends. It then cancels the contexts of open requests with
// ErrStopped, answers each request whose connection was established before, and resets
// the connections that are left after a bounded time, so that no incomplete response
// looks complete.
func (s HTTPServer) Run(ctx context.Context) error {
	requests, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	listener := newCallerListener(requests, s.Listener, s.Intake)
	server := &http.Server{
		Handler:           s.closing(requests),
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          sparseErrorLog(),
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnContext:       withConnection,
		ConnState:         listener.observe,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		cancel(ErrStopped)
		listener.finish(time.Now().Add(time.Duration(cmp.Or(s.ShutdownMillis, DefaultShutdownMillis)) * time.Millisecond))
		if err := server.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil // the listener was closed before
	})
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve HTTP")
	})
	return group.Wait()
}

// closing returns a handler whose responses end their connections while Leaving reports
// true, and once the context of requests has ended.
func (s HTTPServer) closing(requests context.Context) http.Handler {
	leaving := func() bool { return requests.Err() != nil || s.Leaving != nil && s.Leaving() }
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(*callerConnection); ok {
			conn.endHead()
		}
		s.Handler.ServeHTTP(&closingWriter{ResponseWriter: w, leaving: leaving}, r)
	})
}

// closingWriter is a response that may end its connection, which is decided when its
// head is written.
type closingWriter struct {
	http.ResponseWriter
	leaving func() bool
	begun   bool
}

// WriteHeader writes the head of the response.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the response of net/http, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin makes the response end its connection if it is to, before its head is written.
func (w *closingWriter) begin() {
	if !w.begun && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// HoldingOf returns what the connection of a request makes the process hold; nil without a bound. The second result is
// the memory of the request's head.
func HoldingOf(r *http.Request) (*intake.Holding, int64) {
	conn, ok := r.Context().Value(connectionKey{}).(*callerConnection)
	if !ok {
		return nil, 0
	}
	return conn.holding, conn.headBytes.Load() * headWeight
}

// sparseErrorLog returns the log of the server of net/http, of which a crowd of callers may cause only few lines.
func sparseErrorLog() *log.Logger {
	return log.New(&sparseWriter{}, "", 0)
}

type sparseWriter struct {
	lines logging.Sparse
}

// Write writes a line to the log of the process, unless there were many.
func (w *sparseWriter) Write(line []byte) (int, error) {
	if omitted, ok := w.lines.Allow(); ok {
		slog.Warn("http: "+strings.TrimSpace(string(line)), "Omitted", omitted)
	}
	return len(line), nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Abort ends the handling of a request whose response is incomplete, in a way that the
// caller can detect. A response of HTTP/1.0 has no chunks, so that the end of the
// connection would look like the end of the body: such a connection is reset. Abort does
// not return, it panics with http.ErrAbortHandler.
func Abort(r *http.Request) {
	if conn, ok := r.Context().Value(connectionKey{}).(*callerConnection); ok && !r.ProtoAtLeast(1, 1) {
		conn.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}
