package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// connection is the connection of one caller.
type connection struct {
	server *Server
	conn   net.Conn
	source source
	// reader and writer are nil while the connection needs no buffers.
	reader *bufio.Reader
	writer *bufio.Writer
	// headBytes is the memory of the head of the current request.
	headBytes int64
	// widened says that more may be received than is usual before it is read.
	widened bool
	// acceptedAt is the time at which the connection was accepted.
	acceptedAt time.Time

	// state and used are guarded by the server's mutex.
	state connectionState
	// used says that a request has begun on the connection.
	used bool
}

// connectionState says what a connection does.
type connectionState int

const (
	// waiting means that no byte of the next request was read.
	waiting connectionState = iota
	// reading means that a request has begun and was not read completely.
	reading
	// handling means that a request was read and its response was not written completely.
	handling
	// responding means the same, and that a part of the response was sent.
	responding
)

// serveOne handles the next request and reports whether the connection may be
// used for another one.
func (c *connection) serveOne(ctx context.Context) bool {
	limits := c.server.limits()
	if !c.awaitRequest(limits) {
		return false
	}
	defer c.server.setState(c, waiting)
	defer c.endRequest()
	request, err := c.readHead(ctx, limits)
	if err != nil {
		c.refuse(headStatus(err), err, nil)
		return false
	}
	body, err := c.readBody(ctx, request, limits)
	if err != nil {
		c.refuse(bodyStatus(err), err, request)
		return false
	}
	c.releaseReader()
	c.narrow()
	c.server.setState(c, handling)
	if c.server.reached(aborting) {
		c.refuse(http.StatusServiceUnavailable, errNotHandled, request)
		return false
	}
	return c.answer(ctx, request, body)
}

// endRequest frees what the request made the connection hold.
func (c *connection) endRequest() {
	c.releaseReader()
	c.releaseWriter()
	c.narrow()
	c.source.smallReads = 0
	c.source.holding.End()
}

// GiveWay ends the wait for a request, or its reading, as others need its memory.
func (c *connection) GiveWay() {
	_ = transport.EndRead(c.conn)
}

// limitRead sets the time until which the connection is read. If it has given way it is not read any more, as that time
// may have replaced the one that ended its reads; the error says so.
func (c *connection) limitRead(until time.Time) error {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return err
	}
	err := c.source.holding.Err()
	if err != nil {
		c.GiveWay()
	}
	return err
}

// HasUnread reports whether bytes have arrived that were not read.
func (c *connection) HasUnread() bool {
	return transport.HasUnread(c.conn)
}

// awaitRequest waits for the first byte of a request. It returns false when none comes.
func (c *connection) awaitRequest(limits routetable.Limits) bool {
	if !c.hasBuffered() {
		if err := c.server.readUntil(c, time.Now().Add(time.Duration(limits.IdleMillis)*time.Millisecond)); err != nil {
			return false
		}
		err := c.awaitByte()
		if err != nil && !isTimeout(err) {
			return false
		}
		if err != nil && (c.source.holding.Err() != nil || !c.hasArrived()) {
			c.server.noteClosedWaiting()
			return false
		}
	}
	c.source.holding.Begin()
	c.takeReader()
	c.server.beginRequest(c)
	return true
}

// hasArrived reports whether a request has arrived although the time to wait for it is over.
func (c *connection) hasArrived() bool {
	for transport.HasUnread(c.conn) {
		if c.conn.SetReadDeadline(time.Time{}) != nil {
			return false
		}
		err := c.awaitByte()
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			return false
		}
	}
	return false
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
		closeAfter: request.Close,
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	var watch errgroup.Group
	var answered atomic.Bool
	watch.Go(func() error {
		if err := c.awaitByte(); err != nil && !answered.Load() {
			cancel(errCallerDisconnected)
		}
		return nil
	})
	c.server.Handler.Handle(x)
	answered.Store(true)
	// This unblocks the goroutine that watches the connection.
	_ = transport.EndRead(c.conn)
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
	if !x.chunked {
		c.reset()
	}
}

// reset makes the close of the connection a reset.
func (c *connection) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// errCallerDisconnected is the cancellation cause of an exchange's context when
// the caller closed its connection.
var errCallerDisconnected = errors.New("caller closed its connection")
