// Package httpserver serves HTTP/1.1 to the callers of an entry host of the direct
// path, on which entry hosts send requests to backend servers themselves. Server
// passes each request to a Handler, as an Exchange, after the request's body was read
// completely. It parses request heads strictly, cancels a request when its caller
// disconnects, and closes the connection of a truncated response so that the caller
// can detect the truncation. A planned stop of the process is in shutdown.go.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// ConnectionBytes is the memory of an open connection without a request.
	ConnectionBytes = 12 << 10
	// DefaultHeadBytes limits the size of a request head while no configuration
	// has been loaded. A configured limit cannot exceed it.
	DefaultHeadBytes = 16 << 10
	// DefaultBodyBytes limits the size of a request body while no configuration
	// has been loaded.
	DefaultBodyBytes = 4 << 20
	// DefaultIdleMillis limits the wait for the next request on a connection
	// while no configuration has been loaded.
	DefaultIdleMillis = 15_000
	// DefaultHeadMillis limits the time for reading a request head while no
	// configuration has been loaded.
	DefaultHeadMillis = 3000
	// bodyTimeoutMillis limits the time for reading a complete request body.
	bodyTimeoutMillis = 20_000
	// writeTimeoutMillis limits how long one write may block on a caller that
	// does not read.
	writeTimeoutMillis = 8000
	// acceptRetryMillis is the pause after a failed accept, for example for lack of file descriptors.
	acceptRetryMillis = 5
	// userTimeoutMillis limits how long sent bytes may stay unacknowledged
	// before TCP closes the connection.
	userTimeoutMillis = 10_000
)

// Handler handles one request and writes its response to the exchange.
type Handler interface {
	Handle(x *Exchange)
}

// Server accepts callers' connections. Its exported fields must be set before
// Run.
type Server struct {
	Listener *transport.StoppingListener
	Handler  Handler
	Log      *slog.Logger
	// Limits returns the limits in force. Zero values select the defaults.
	Limits func() routetable.Limits
	// Intake bounds what all callers make the process hold; nil for no bound.
	Intake *intake.Budget
	// OnFull responds to a request that was refused for lack of room, and never runs. Nil responds without a
	// time to come back.
	OnFull func(x *Exchange)

	// begun counts the requests whose first byte was read.
	begun atomic.Int64
	// closedWaiting counts the connections that a planned stop closed as no request had arrived.
	closedWaiting atomic.Int64
	// refusals and acceptFailures bound the log lines of requests that were not read and of connections that were
	// not accepted.
	refusals, acceptFailures logging.Sparse
	// discards paces the reading of what is dropped, and smallReads that of few bytes at a time.
	discards, smallReads *rate.Limiter
	// closeBy is the boottime.Instant set by CloseBy; zero for none.
	closeBy atomic.Int64

	mu sync.Mutex
	// stage only advances.
	stage stage
	// connections holds the open connections.
	connections map[*connection]struct{}
	// requests is the number of connections in state reading or handling.
	requests int
	// changed is closed and replaced when a connection ends or the listener is closed.
	changed chan struct{}
	// accepting is false once the listener is closed.
	accepting bool
}

// Run serves requests until ctx is canceled. It then cancels the open requests with
// ErrStopped, gives them a bounded time to write their responses, and closes all connections.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.accepting = true
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.discards = rate.NewLimiter(discardBytesPerSecond, discardBytesPerSecond)
	s.smallReads = rate.NewLimiter(smallReadsPerSecond, smallReadsPerSecond)
	requests, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		s.Listener.StopAccepting()
		cancel(ErrStopped)
		s.abort(context.WithoutCancel(ctx))
		return nil
	})
	s.accept(ctx, func(c *connection) {
		group.Go(func() error {
			s.serve(requests, c)
			return nil
		})
	})
	return group.Wait()
}

// accept passes each new connection to serve until the listener is closed. A connection without room is closed.
func (s *Server) accept(ctx context.Context, serve func(*connection)) {
	defer s.endAccept()
	for {
		conn, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logAcceptFailure(err)
			time.Sleep(acceptRetryMillis * time.Millisecond)
			continue
		}
		c := &connection{server: s, conn: conn, acceptedAt: time.Now()}
		holding, ok := s.Intake.Open(ctx, c)
		if !ok {
			s.logAcceptFailure(intake.ErrFull)
			_ = conn.Close()
			continue
		}
		c.source = source{conn: conn, holding: holding, pacer: s.smallReads}
		s.add(c)
		serve(c)
	}
}

// logAcceptFailure logs that a connection was not accepted, unless there are many such lines.
func (s *Server) logAcceptFailure(err error) {
	if omitted, ok := s.acceptFailures.Allow(); ok {
		s.Log.Warn("failed to accept connection", "Error", err, "Omitted", omitted)
	}
}

// Open returns the number of requests that are being read or handled.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Begun returns the number of requests whose first byte was read since the start.
func (s *Server) Begun() int {
	return int(s.begun.Load())
}

// ClosedWaiting returns the number of connections that a planned stop closed as no request had arrived.
func (s *Server) ClosedWaiting() int {
	return int(s.closedWaiting.Load())
}

// limits returns the limits in force, with defaults for those that are not set.
func (s *Server) limits() routetable.Limits {
	l := s.Limits()
	if l.MaxHeaderBytes <= 0 || l.MaxHeaderBytes > DefaultHeadBytes {
		l.MaxHeaderBytes = DefaultHeadBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = DefaultBodyBytes
	}
	if l.HeaderMillis <= 0 {
		l.HeaderMillis = DefaultHeadMillis
	}
	if l.IdleMillis <= 0 {
		l.IdleMillis = DefaultIdleMillis
	}
	return l
}

// serve handles the requests of one connection one after the other.
func (s *Server) serve(ctx context.Context, c *connection) {
	defer s.remove(c)
	defer c.source.holding.Close()
	defer func() { _ = c.conn.Close() }()
	if err := transport.SetAckTimeout(c.conn, userTimeoutMillis); err != nil {
		s.Log.Warn("TCP user timeout not set on caller connection", "Error", err)
	}
	for c.serveOne(ctx) {
	}
}
