package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeoutMillis is the maximum time for reading the header of a request.
	headerTimeoutMillis = 5000
	// shutdownTimeoutMillis is the maximum time for completing open requests when a
	// server stops.
	shutdownTimeoutMillis = 2000
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
	// Leaving reports whether each connection is to end with its next response. Nil
	// means that it never is.
	Leaving func() bool
}

// Run serves until ctx ends. It then cancels the contexts of open requests with
// ErrStopped, gives these requests a bounded time to write their responses, and resets
// the connections that are left, so that no incomplete response looks complete.
func (s HTTPServer) Run(ctx context.Context) error {
	requests, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	open := &connections{}
	server := &http.Server{
		Handler:           s.closing(s.Handler),
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnContext:       withConnection,
		ConnState:         open.observe,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		cancel(ErrStopped)
		bounded, stop := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(shutdownTimeoutMillis*time.Millisecond))
		defer stop()
		if err := server.Shutdown(bounded); err != nil {
			open.resetOnClose()
			return server.Close()
		}
		return nil
	})
	group.Go(func() error {
		err := server.Serve(s.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve HTTP")
	})
	return group.Wait()
}

// closing returns a handler whose responses end their connections while Leaving reports
// true.
func (s HTTPServer) closing(next http.Handler) http.Handler {
	if s.Leaving == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, leaving: s.Leaving}, r)
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

func (w *closingWriter) begin() {
	if !w.begun && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Abort ends the handling of a request whose response is incomplete, in a way that the
// caller can detect. Without chunks, the end of the connection would look like the end
// of the body, so the connection is reset.
func Abort(r *http.Request) {
	if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && !r.ProtoAtLeast(1, 1) {
		resetOnClose(conn)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// connections holds the open connections of a server. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// observe records a change of a connection's state.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.open == nil {
			c.open = make(map[net.Conn]struct{})
		}
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
	}
}

// resetOnClose makes the close of each open connection a reset.
func (c *connections) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		resetOnClose(conn)
	}
}
