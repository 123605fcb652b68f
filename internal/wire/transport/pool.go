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
	// keptSeconds is how long an idle connection is kept.
	keptSeconds = 300
	// keptTotal bounds the kept connections of a process, and keptEach those
	// to one address.
	keptTotal = 512
	keptEach  = 1
	// keptMillis bounds a call over a kept connection, which may have gone
	// silent; a fresh one follows.
	keptMillis = 300
	// quietSeconds is the period of TCP keep-alive probes between own
	// processes. Calls find silent paths by their own deadlines.
	quietSeconds = 240
)

// kept holds idle connections for CallKept.
var kept = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
	Expiration:  keptSeconds * time.Second,
	Capacity:    keptTotal,
	KeyCapacity: keptEach,
})

// CallKept is Call over a connection that is kept for later calls. The call
// must be idempotent and quick: when a kept connection gives no answer, it runs
// again over a fresh one.
func CallKept[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	reply, err := callKept(ctx, address, call)
	if err == nil || errors.Is(err, ErrDial) || ctx.Err() != nil {
		return reply, err
	}
	return Call(ctx, address, call)
}

func callKept[R any](ctx context.Context, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(keptMillis*time.Millisecond))
	defer stop()
	conn := kept.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
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
		Deadline:        time.Now().Add(dialMillis * time.Millisecond),
		KeepAliveConfig: quiet(),
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}
	traffic.calls.Add(1)
	counted := countedConn{Conn: conn, traffic: traffic}
	return drpcconn.NewWithOptions(boundedConn{counted}, drpcconn.Options{Manager: managerOptions()}), nil
}

// ListenPeers opens a TCP listener for own processes at address.
func ListenPeers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: quiet()}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}

// quiet returns keep-alive settings that cost idle connections next to nothing.
func quiet() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     quietSeconds * time.Second,
		Interval: quietSeconds * time.Second,
	}
}
