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
	// poolIdleSeconds is how long an idle connection is kept.
	poolIdleSeconds = 300
	// maxPooledConns bounds the kept connections of a process, and keptEach those
	// to one address.
	maxPooledConns      = 512
	maxPooledPerAddress = 1
	// pooledCallMillis bounds a call over a kept connection, which may have gone
	// silent; a fresh one follows.
	pooledCallMillis = 300
	// keepAliveSeconds is the period of TCP keep-alive probes between own
	// processes. Calls find silent paths by their own deadlines.
	keepAliveSeconds = 240
)

// pool holds idle connections for CallKept.
var pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
	Expiration:  poolIdleSeconds * time.Second,
	Capacity:    maxPooledConns,
	KeyCapacity: maxPooledPerAddress,
})

// CallPooled is Call over a connection that is kept for later calls. The call
// must be idempotent and quick: when a kept connection gives no answer, it runs
// again over a fresh one.
func CallPooled[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	reply, err := callPooled(ctx, address, call)
	if err == nil || errors.Is(err, ErrDial) || ctx.Err() != nil {
		return reply, err
	}
	return Call(ctx, address, call)
}

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

func dial(ctx context.Context, address string, traffic *Traffic) (*drpcconn.Conn, error) {
	dialer := net.Dialer{
		Deadline:        time.Now().Add(dialTimeoutMillis * time.Millisecond),
		KeepAliveConfig: keepAliveConfig(),
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}
	traffic.connections.Add(1)
	counted := countedConn{Conn: conn, traffic: traffic}
	return drpcconn.NewWithOptions(boundedConn{counted}, drpcconn.Options{Manager: managerOptions()}), nil
}

// ListenPeers opens a TCP listener for own processes at address.
func ListenPeers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig()}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}

// keepAliveConfig returns keep-alive settings that cost idle connections next to nothing.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveSeconds * time.Second,
		Interval: keepAliveSeconds * time.Second,
	}
}
