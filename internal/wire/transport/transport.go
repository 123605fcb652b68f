// Package transport opens and serves the connections between processes of this system.
//
// Each stream or call that carries callers' data has a connection of its own. A
// connection that has become unresponsive is thus never reused, and a retry always opens
// a new one. Short control calls share pooled connections; a control call that fails on
// a pooled connection runs again over a new one.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxMessageBytes is the maximum size of one message, in either direction.
	MaxMessageBytes = 4 << 20
	// MaxBodyBytes is the maximum size of the body of a caller's request, or of a
	// plain service's reply, in a message.
	MaxBodyBytes = 3 << 20
	// dialTimeoutMillis is the time limit for opening a connection.
	dialTimeoutMillis = 1000
	// writeTimeoutMillis is the time limit of one write to a connection.
	writeTimeoutMillis = 5000
	// serverIdleSeconds is how long a server waits for the next call on a connection.
	// It is longer than clients keep an idle connection in their pools.
	serverIdleSeconds = poolIdleSeconds + 30
)

// ErrDial marks errors from before anything was sent, so that the call certainly did not
// reach the other process.
var ErrDial = errors.New("connection could not be set up")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: serverIdleSeconds * time.Second,
	}
}

// boundedConn sets a deadline for every write, so that an unresponsive connection cannot
// block the writer indefinitely.
type boundedConn struct {
	net.Conn
}

// Write writes p with a deadline.
func (c boundedConn) Write(p []byte) (int, error) {
	deadline := time.Now().Add(writeTimeoutMillis * time.Millisecond)
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Dial opens a connection for callers' data to the process at address, which is a host
// and a port. The caller must close it. The error is marked with ErrDial.
func Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return dial(ctx, address, Data)
}

// Call opens a connection to address, runs one call that carries no callers' data, and
// closes the connection.
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
