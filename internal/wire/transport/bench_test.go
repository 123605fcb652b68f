package transport

import (
	"context"
	"testing"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// loaded is a backend server that answers probes.
type loaded struct {
	message.DRPCBackendUnimplementedServer
}

// Probe returns a load report of the usual size.
func (*loaded) Probe(context.Context, *message.ProbeRequest) (*message.Load, error) {
	return &message.Load{Backend: "backend-1", Incarnation: 1 << 62, Prefixes: make([]uint64, 8)}, nil
}

// serveBench serves probes until the benchmark ends and returns the address.
func serveBench(b *testing.B) string {
	b.Helper()
	listener, err := Listen(b.Context(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := drpcmux.New()
	Must(message.DRPCRegisterBackend(mux, &loaded{}))
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{Listener: listener, Handler: mux}
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	b.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			b.Error(err)
		}
	})
	return listener.Addr().String()
}

func probe(ctx context.Context, conn drpc.Conn) (*message.Load, error) {
	return message.NewDRPCBackendClient(conn).Probe(ctx, &message.ProbeRequest{ConfigVersion: 1})
}

// BenchmarkCall measures one call over a new connection, at both ends.
func BenchmarkCall(b *testing.B) {
	address := serveBench(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call(b.Context(), address, probe); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallOnPooledConnection measures the same call over an open connection.
func BenchmarkCallOnPooledConnection(b *testing.B) {
	conn, err := dial(b.Context(), serveBench(b), Control)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := probe(b.Context(), conn); err != nil {
			b.Fatal(err)
		}
	}
}
