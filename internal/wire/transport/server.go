package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// newCallMillis is the time for which a connection may begin its first call although the server ends.
	newCallMillis = 150
	// recentCallMillis is the time before the end of the server in which a connection must have begun its
	// first call to be still served: those who decided the end may not have known of that call.
	recentCallMillis = 500
	// lastCallMillis is the time after the end of the server for the replies to these calls. It is not more than
	// the time that the direct roles have left at the end of their grace periods.
	lastCallMillis = 200
	// acceptRetryMillis is the pause after a failed accept, for example for lack of file descriptors.
	acceptRetryMillis = 500
)

// Server serves calls from other processes of this system on one address.
type Server struct {
	// Listener must be set before Run.
	Listener net.Listener
	// Handler must be set before Run.
	Handler drpc.Handler
	// Memory bounds what all clients make the process hold of messages that are not complete; nil for no
	// bound.
	Memory *heldbytes.Budget
	// Report receives errors of individual connections; nil discards them.
	Report func(error)
}

// Run serves until ctx ends. It then cancels the open calls and waits for their handlers. A connection that
// was established before, and has not carried a call, may carry one within a bounded time: its client can't
// tell whether a call ran whose connection is closed, although it was not read.
func (s *Server) Run(ctx context.Context) error {
	listener := &StoppingListener{Listener: s.Listener}
	server := drpcserver.NewWithOptions(firstCalls{s.Handler}, drpcserver.Options{Manager: managerOptions()})
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, listener.StopAccepting)()
	group.Go(func() error {
		defer func() { _ = listener.Close() }()
		err := s.accept(ctx, listener, func(conn net.Conn) {
			group.Go(func() error {
				s.report(newCallConnection(newHeldConn(conn, s.Memory)).serve(ctx, server))
				return nil
			})
		})
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	return errors.Wrap(group.Wait(), "serve calls")
}

// accept passes each new connection to serve. It returns the error that ends it.
func (s *Server) accept(ctx context.Context, listener net.Listener, serve func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			serve(conn)
		case isTemporary(err):
			s.report(err)
			boottime.Pause(ctx, acceptRetryMillis)
		default:
			return err
		}
	}
}

func (s *Server) report(err error) {
	if err != nil && s.Report != nil {
		s.Report(err)
	}
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// callConnection is a connection on which a Server serves calls.
type callConnection struct {
	once sync.Once
	// begun is closed when the first call begins, and begunAt is that time.
	begun   chan struct{}
	begunAt time.Time
	conn    heldConn
}

func newCallConnection(conn heldConn) *callConnection {
	return &callConnection{begun: make(chan struct{}), conn: conn}
}

// callConnectionKey is the key of a call's connection in its context.
type callConnectionKey struct{}

// serve serves calls until the connection is closed or, some time after ctx has ended, canceled.
func (c *callConnection) serve(ctx context.Context, server *drpcserver.Server) error {
	calls, cancel := context.WithCancel(context.WithValue(context.WithoutCancel(ctx), callConnectionKey{}, c))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		c.awaitFirstCall(calls, time.Now())
		cancel()
	})()
	return server.ServeOne(calls, boundedConn{c.conn})
}

// awaitFirstCall waits, if the connection has carried no call before the server ended, for one and for the
// time of its reply. It returns at once when the context of the calls ends, as the client has disconnected.
func (c *callConnection) awaitFirstCall(calls context.Context, endedAt time.Time) {
	timer := time.NewTimer(time.Until(endedAt.Add(newCallMillis * time.Millisecond)))
	defer timer.Stop()
	select {
	case <-c.begun:
	case <-calls.Done():
		return
	case <-timer.C:
		return
	}
	if c.begunAt.After(endedAt.Add(-recentCallMillis * time.Millisecond)) {
		boottime.Pause(calls, time.Until(endedAt.Add(lastCallMillis*time.Millisecond)).Milliseconds())
	}
}

// firstCalls is a handler that notes the first call of each connection, and the messages that it has received.
type firstCalls struct {
	drpc.Handler
}

// HandleRPC handles one call.
func (h firstCalls) HandleRPC(stream drpc.Stream, rpc string) error {
	if c, ok := stream.Context().Value(callConnectionKey{}).(*callConnection); ok {
		c.once.Do(func() {
			c.begunAt = time.Now()
			close(c.begun)
		})
		stream = heldStream{Stream: stream, conn: c.conn}
	}
	return h.Handler.HandleRPC(stream, rpc)
}
