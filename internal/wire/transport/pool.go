package transport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// poolIdleSeconds is how long an idle connection stays in the pool.
	poolIdleSeconds = 300
	// maxPooledConns is the maximum number of pooled connections of a process, and
	// maxPooledPerAddress that of pooled connections to one address.
	maxPooledConns      = 512
	maxPooledPerAddress = 1
	// pooledCallMillis is the time limit of a call over a pooled connection, which
	// may have become unresponsive. After it, the call runs over a new connection.
	pooledCallMillis = 300
	// keepAliveSeconds is the interval of TCP keep-alive probes between processes of
	// this system. It may be long, because calls detect unresponsive connections by
	// their own deadlines.
	keepAliveSeconds = 240
)

// pool holds the idle connections of CallPooled.
var pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
	Expiration:  poolIdleSeconds * time.Second,
	Capacity:    maxPooledConns,
	KeyCapacity: maxPooledPerAddress,
})

// CallPooled runs one call over a pooled connection. The call must be idempotent and
// quick: when it fails on the pooled connection, for example because that is
// unresponsive, CallPooled runs it again over a new connection.
func CallPooled[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	reply, err := callPooled(ctx, address, call)
	if err == nil || errors.Is(err, ErrDial) || ctx.Err() != nil {
		return reply, err
	}
	return Call(ctx, address, call)
}

// callPooled runs one call over a pooled connection.
func callPooled[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(pooledCallMillis*time.Millisecond))
	defer stop()
	conn := pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		conn, err := dial(ctx, address, Control)
		if err != nil {
			return nil, err
		}
		return conn, nil
	})
	reply, err := call(ctx, conn)
	return reply, errors.Wrapf(err, "call %s", address)
}

// dial opens a connection to the process at address and adds its bytes to traffic. The
// error is marked with ErrDial.
func dial(ctx context.Context, address string, traffic *Traffic) (*drpcconn.Conn, error) {
	conn, err := dialCounted(ctx, address, traffic)
	if err != nil {
		return nil, err
	}
	return newCalls(conn), nil
}

// newCalls returns the client side of a connection.
func newCalls(conn net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(boundedConn{conn}, drpcconn.Options{Manager: managerOptions()})
}

// dialCounted is like dial, without calls on the connection.
func dialCounted(ctx context.Context, address string, traffic *Traffic) (net.Conn, error) {
	dialer := net.Dialer{
		Deadline:        time.Now().Add(dialTimeoutMillis * time.Millisecond),
		KeepAliveConfig: keepAliveConfig(),
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}
	traffic.connections.Add(1)
	return countedConn{Conn: conn, traffic: traffic}, nil
}

// ListenPeers opens a TCP listener at address for connections from other processes of
// this system.
func ListenPeers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig()}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}

// keepAliveConfig returns keep-alive settings that cause almost no traffic on idle
// connections.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveSeconds * time.Second,
		Interval: keepAliveSeconds * time.Second,
	}
}
