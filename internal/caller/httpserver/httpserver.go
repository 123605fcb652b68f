// Package httpserver serves HTTP/1.1 to the callers of an entry host of the direct
// path, on which entry hosts send requests to backend servers themselves. Server
// passes each request to a Handler, as an Exchange, after the request's body was read
// completely. It parses request heads strictly, cancels a request when its caller
// disconnects, and closes the connection of a truncated response so that the caller
// can detect the truncation.
package httpserver

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
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
	// readBufferBytes must hold the largest request head.
	readBufferBytes = DefaultHeadBytes + 4096
	// writeBufferBytes holds the headers and the first part of a response, so
	// that both are sent together.
	writeBufferBytes = 4096
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
	Listener net.Listener
	Handler  Handler
	Log      *slog.Logger
	// Limits returns the limits in force. Zero values select the defaults.
	Limits func() routetable.Limits

	// closing is set by CloseAfterAnswers.
	closing atomic.Bool
	// open counts the requests that are being handled.
	open atomic.Int64
	// begun counts the requests whose heads were read.
	begun atomic.Int64

	mu sync.Mutex
	// idle holds the connections that wait for their next request.
	idle map[*connection]struct{}
}

// Run serves requests until ctx is canceled, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = s.Listener.Close()
		return nil
	})
	group.Go(func() error {
		for {
			conn, err := s.Listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				s.Log.Warn("failed to accept connection", "Error", err)
				time.Sleep(time.Millisecond)
				continue
			}
			group.Go(func() error {
				s.serve(ctx, conn)
				return nil
			})
		}
	})
	return group.Wait()
}

// Open returns the number of requests that are being handled.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// Begun returns the number of requests whose heads were read since the start.
func (s *Server) Begun() int {
	return int(s.begun.Load())
}

// CloseAfterAnswers makes the server close each connection after the response to
// its next request.
func (s *Server) CloseAfterAnswers() {
	s.closing.Store(true)
}

// CloseIdle closes the connections that wait for their next request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		_ = c.conn.Close()
	}
}

func (s *Server) setIdle(c *connection, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(map[*connection]struct{})
	}
	if idle {
		s.idle[c] = struct{}{}
		return
	}
	delete(s.idle, c)
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
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := transport.SetAckTimeout(conn, userTimeoutMillis); err != nil {
		s.Log.Warn("TCP user timeout not set on caller connection", "Error", err)
	}
	c := &connection{
		server: s,
		conn:   conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
	for c.serveOne(ctx) {
	}
}

// connection is the connection of one caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

// serveOne handles the next request and reports whether the connection may be
// used for another one.
func (c *connection) serveOne(ctx context.Context) bool {
	limits := c.server.limits()
	if err := c.awaitRequest(limits); err != nil {
		return false
	}
	request, err := c.readHead(limits)
	if err != nil {
		c.refuse(headStatus(err), err)
		return false
	}
	c.server.begun.Add(1)
	c.server.open.Add(1)
	defer c.server.open.Add(-1)
	body, err := c.readBody(request, limits)
	if err != nil {
		c.refuse(bodyStatus(err), err)
		return false
	}
	return c.answer(ctx, request, body)
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest(limits routetable.Limits) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(time.Duration(limits.IdleMillis) * time.Millisecond)); err != nil {
		return err
	}
	c.server.setIdle(c, true)
	_, err := c.reader.Peek(1)
	c.server.setIdle(c, false)
	return err
}

// answer passes the request to the handler and cancels its context when the
// caller disconnects. It reports whether the connection may be reused.
func (c *connection) answer(ctx context.Context, request *http.Request, body []byte) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &Exchange{
		Request:    request,
		Body:       body,
		Context:    ctx,
		connection: c,
		closeAfter: request.Close || c.server.closing.Load(),
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	var watch errgroup.Group
	var answered atomic.Bool
	watch.Go(func() error {
		_, err := c.reader.Peek(1)
		if err != nil && !answered.Load() {
			cancel(errCallerDisconnected)
		}
		return nil
	})
	c.server.Handler.Handle(x)
	answered.Store(true)
	// A read deadline in the past unblocks the goroutine that watches the
	// connection.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	_ = watch.Wait()
	if !x.finish() {
		if x.OnCut != nil {
			x.OnCut(x.cut())
		}
		c.abort(x)
		return false
	}
	return !x.closeAfter && context.Cause(ctx) == nil
}

// abort prepares to close a connection in the middle of a response. Without
// chunked transfer encoding the end of the connection would look like the end of
// the body, so the connection is reset to make the truncation visible.
func (c *connection) abort(x *Exchange) {
	if tcp, ok := c.conn.(*net.TCPConn); ok && !x.chunked {
		_ = tcp.SetLinger(0)
	}
}

// errCallerDisconnected is the cancellation cause of an exchange's context when
// the caller closed its connection.
var errCallerDisconnected = errors.New("caller closed its connection")
