// Package httpserver serves HTTP/1.1 to callers and hands each request, read
// whole, to a handler. It reads heads strictly, notices callers that leave, and
// makes an answer that was cut look cut.
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
	// DefaultHeadBytes bounds a head while no configuration is known.
	DefaultHeadBytes = 16 << 10
	// DefaultBodyBytes bounds a body while no configuration is known.
	DefaultBodyBytes = 4 << 20
	// DefaultIdleMillis bounds the wait for a request while no configuration
	// is known.
	DefaultIdleMillis = 15_000
	// DefaultHeadMillis bounds the reading of a head while no configuration is
	// known.
	DefaultHeadMillis = 3000
	// bodyTimeoutMillis bounds the reading of a whole body.
	bodyTimeoutMillis = 20_000
	// writeTimeoutMillis bounds one write to a caller that takes no bytes.
	writeTimeoutMillis = 8000
	// readBufferBytes must hold the largest head.
	readBufferBytes = DefaultHeadBytes + 4096
	// writeBufferBytes gathers the head and the first part of an answer.
	writeBufferBytes = 4096
	// userTimeoutMillis is how long sent bytes may stay unacknowledged.
	userTimeoutMillis = 10_000
)

// Handler answers one request through its exchange.
type Handler interface {
	Handle(x *Exchange)
}

// Server accepts connections of callers. Its exported fields are set before
// Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	Log      *slog.Logger
	// Limits returns the limits in force; zero values stand for the defaults.
	Limits func() routetable.Limits

	// closing says that answers end their connections.
	closing atomic.Bool
	open    atomic.Int64

	mu sync.Mutex
	// idle holds the connections that wait for a request.
	idle map[*connection]struct{}
}

// Run serves until ctx ends, then closes all connections.
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
				s.Log.Warn("connection not accepted", "Error", err)
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

// Open returns the number of requests that are being answered.
func (s *Server) Open() int {
	return int(s.open.Load())
}

// CloseAfterAnswers makes every further answer the last one of its connection.
func (s *Server) CloseAfterAnswers() {
	s.closing.Store(true)
}

// CloseIdle closes the connections that wait for a request.
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

// limits returns the limits in force with defaults for absent ones.
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

// serve answers the requests of one connection, one after the other.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := transport.SetAckTimeout(conn, userTimeoutMillis); err != nil {
		s.Log.Warn("connection of a caller is not bounded", "Error", err)
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

// connection is one caller's connection.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

// serveOne answers the next request and reports whether another one may
// follow.
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

// answer hands the request to the handler while it watches for the caller to
// leave.
func (c *connection) answer(ctx context.Context, request *http.Request, body []byte) bool {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
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
			leave(errCallerDisconnected)
		}
		return nil
	})
	c.server.Handler.Handle(x)
	answered.Store(true)
	// A deadline in the past ends the watch.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	_ = watch.Wait()
	if !x.finish() {
		c.abort(x)
		return false
	}
	return !x.closeAfter && context.Cause(ctx) == nil
}

// abort ends a connection in the middle of an answer. Without chunks only a
// reset tells the caller that the answer is not whole.
func (c *connection) abort(x *Exchange) {
	if tcp, ok := c.conn.(*net.TCPConn); ok && !x.chunked {
		_ = tcp.SetLinger(0)
	}
}

// errCallerDisconnected is the cause of an exchange's context that ended because the
// caller closed its connection.
var errCallerDisconnected = errors.New("caller closed its connection")
