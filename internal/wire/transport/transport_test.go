package transport

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// prober is a peer that answers version exchanges and counts them.
type prober struct {
	message.DRPCPeerUnimplementedServer
	calls atomic.Int64
}

func (p *prober) Exchange(_ context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	p.calls.Add(1)
	return &message.ExchangeReply{Version: in.GetVersion()}, nil
}

// serve runs a server until the test ends and returns its address.
func serve(t *testing.T, p *prober) string {
	t.Helper()
	is := is.New(t)
	listener, err := ListenPeers(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	mux := drpcmux.New()
	is.NoErr(message.DRPCRegisterPeer(mux, p))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return (&Server{Listener: listener, Handler: mux}).Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func exchange(ctx context.Context, conn drpc.Conn) (*message.ExchangeReply, error) {
	return message.NewDRPCPeerClient(conn).Exchange(ctx, &message.ExchangeRequest{Version: 5})
}

func callOnce(address string) error {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
	defer stop()
	_, err := CallPooled(ctx, address, exchange)
	return err
}

func TestControlCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	p := &prober{}
	address := serve(t, p)
	before := Control.Counts().Connections
	for range 5 {
		is.NoErr(callOnce(address))
	}
	is.Equal(p.calls.Load(), int64(5))
	is.Equal(Control.Counts().Connections-before, int64(1))
}

// TestUnresponsivePooledConnectionIsReplaced makes the pooled connection unresponsive, while
// new connections work. The next call must succeed over a new connection.
func TestUnresponsivePooledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	address := serve(t, &prober{})
	relay, err := ListenPeers(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	var unresponsive atomic.Bool
	var group errgroup.Group
	group.Go(func() error { return forward(relay, address, &unresponsive, &group) })
	defer func() {
		_ = relay.Close()
	}()
	is.NoErr(callOnce(relay.Addr().String()))
	unresponsive.Store(true)
	is.NoErr(callOnce(relay.Addr().String()))
}

// forward accepts connections and relays them to address. Once unresponsive is set, it
// discards the bytes of the connections that were opened before.
func forward(relay net.Listener, address string, unresponsive *atomic.Bool, group *errgroup.Group) error {
	for {
		in, err := relay.Accept()
		if err != nil {
			return nil //nolint:nilerr // the relay was closed
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		fresh := unresponsive.Load()
		for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
			group.Go(func() error {
				_, err := io.Copy(dropper{way[1], unresponsive, fresh}, way[0])
				return err
			})
		}
	}
}

// dropper discards all written bytes once unresponsive is set, unless it is fresh.
type dropper struct {
	net.Conn
	unresponsive *atomic.Bool
	// fresh is set for connections that were opened after unresponsive was set.
	fresh bool
}

func (d dropper) Write(p []byte) (int, error) {
	if d.unresponsive.Load() && !d.fresh {
		return len(p), nil
	}
	return d.Conn.Write(p)
}
