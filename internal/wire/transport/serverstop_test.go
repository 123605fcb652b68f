package transport

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// TestServerEndsNoUnreadCall guards against calls that are sent just before a server ends and whose
// connections are closed although no call was read from them: the clients must assume that the calls have run.
func TestServerEndsNoUnreadCall(t *testing.T) { // not parallel, as its load would delay others
	is := is.New(t)
	const rounds, clients, loadMillis = 40, 16, 5
	var callers errgroup.Group
	for range rounds {
		listener, err := ListenPeers(context.Background(), "127.0.0.1:0")
		is.NoErr(err)
		mux := drpcmux.New()
		is.NoErr(message.DRPCRegisterPeer(mux, &prober{}))
		ctx, stop := context.WithCancel(context.Background())
		var server errgroup.Group
		server.Go(func() error { return (&Server{Listener: listener, Handler: mux}).Run(ctx) })
		for range clients {
			callers.Go(func() error { return callUntilUnreachable(listener.Addr().String()) })
		}
		time.Sleep(loadMillis * time.Millisecond)
		stop()
		is.NoErr(server.Wait())
	}
	is.NoErr(callers.Wait())
}

// callUntilUnreachable sends calls, each over a new connection, until none can be opened. It returns an
// error if a call has no reply although its connection was opened, within the time that calls have for it.
func callUntilUnreachable(address string) error {
	for n := 0; ; n++ {
		replyBy := time.Now().Add(newCallMillis * time.Millisecond)
		_, err := Call(context.Background(), address, exchange)
		if errors.Is(err, ErrDial) || err != nil && time.Now().After(replyBy) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "call %d", n)
		}
	}
}
