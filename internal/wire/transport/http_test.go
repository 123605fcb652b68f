package transport_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// TestEarlierRefusalOnAKeptConnection guards against the refusal of an earlier call that a backend server
// writes once more and that the process beside it takes for the answer to a call that runs. The server
// refuses the first call; on a connection that is used again it writes that refusal before each answer.
func TestEarlierRefusalOnAKeptConnection(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	defer func() {
		stop()
		_ = listener.Close()
		is.NoErr(group.Wait())
	}()
	refused := false
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			reader, earlier := bufio.NewReader(conn), ""
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					break
				}
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				if !refused {
					answer, refused = refusal, true
				}
				_, _ = conn.Write([]byte(earlier + answer))
				earlier = refusal
			}
			_ = conn.Close()
		}
	})
	client := &http.Client{Transport: transport.NewTransport()}
	service := &plainservice.Client{Address: listener.Addr().String(), HTTP: client}
	model := &engine.Client{Address: listener.Addr().String(), HTTP: client}
	const calls = 5
	for n := range calls {
		reply, err := service.Call(t.Context(), plainservice.Request{RequestID: "r", Method: http.MethodGet, Path: "/"})
		is.NoErr(err)
		is.Equal(reply.Status == http.StatusServiceUnavailable, n == 0)
		stream, err := model.Generate(t.Context(), engine.Request{ID: "r"})
		is.NoErr(err)
		is.NoErr(stream.Close())
	}
}
