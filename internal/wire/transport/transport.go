// Package transport serves and dials the connections between own processes.
//
// Streams and calls that carry callers' data have a connection of their own. A
// connection that went silent is therefore never given to a later one, and a
// retry always takes a new path. Short control calls keep their connections;
// one that gives no answer runs again over a fresh connection.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 4 << 20
	// MaxBodyBytes bounds the body of a caller's request, or of a plain
	// service's reply, inside a message.
	MaxBodyBytes = 3 << 20
	// dialTimeoutMillis bounds the set-up of a connection.
	dialTimeoutMillis = 1000
	// writeTimeoutMillis bounds one write to a connection that takes no more bytes.
	writeTimeoutMillis = 5000
	// serverIdleSeconds bounds the wait of a server for the next call on a connection.
	// It is longer than connections are kept.
	serverIdleSeconds = poolIdleSeconds + 30
)

// ErrDial marks failures before anything was sent, so that the call certainly
// did not reach the other process.
var ErrDial = errors.New("connection could not be set up")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: serverIdleSeconds * time.Second,
	}
}

// boundedConn gives every write a deadline, so that a silent path cannot block
// the writer for good.
type boundedConn struct {
	net.Conn
}

// Write writes p before the write deadline.
func (c boundedConn) Write(p []byte) (int, error) {
	deadline := time.Now().Add(writeTimeoutMillis * time.Millisecond)
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// boundedListener wraps accepted connections.
type boundedListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return boundedConn{conn}, nil
}

// Dial opens a connection for callers' data to the process at address, a host
// and port. The caller closes it. The error is marked with ErrDial.
func Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return dial(ctx, address, Data)
}

// Call dials address, runs one call that carries no caller's data, and closes
// the connection.
func Call[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	var none R
	conn, err := dial(ctx, address, Control)
	if err != nil {
		return none, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := call(ctx, conn)
	if err != nil {
		return none, errors.Wrapf(err, "call %s", address)
	}
	return reply, nil
}

// Server serves the project's calls on one address.
type Server struct {
	// Listener must be set before Run.
	Listener net.Listener
	// Handler must be set before Run.
	Handler drpc.Handler
	// Report receives errors of single connections; nil drops them.
	Report func(error)
}

// Run serves until ctx ends, then waits for the open calls.
func (s *Server) Run(ctx context.Context) error {
	server := drpcserver.NewWithOptions(s.Handler, drpcserver.Options{
		Manager: managerOptions(),
		Log:     s.Report,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return server.Serve(ctx, boundedListener{s.Listener})
	})
	return errors.Wrap(group.Wait(), "serve calls")
}
