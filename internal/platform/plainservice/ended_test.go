package plainservice

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// TestReplyOfAServiceThatHasEnded guards against a part of a reply that counts as a whole one: it has no
// length, and the service ends in the middle of it, which closes its connections in order.
func TestReplyOfAServiceThatHasEnded(t *testing.T) {
	for name, tt := range map[string]struct {
		head  string
		ends  bool
		whole bool
	}{
		"without a length, ends":       {"", true, false},
		"without a length, goes on":    {"", false, true},
		"with a length, ends after it": {"Content-Length: 4\r\n", true, true},
		"cut within its length, ends":  {"Content-Length: 9\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var config net.ListenConfig
			listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			var group errgroup.Group
			group.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
					return err
				}
				if tt.ends {
					_ = listener.Close()
				}
				_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + tt.head + "\r\npart"))
				return err
			})
			client := &Client{Address: listener.Addr().String(), HTTP: &http.Client{Transport: transport.NewTransport()}}
			reply, err := client.Call(context.Background(), Request{RequestID: "r", Method: http.MethodPost, Path: "/"})
			is.NoErr(group.Wait())
			is.Equal(err == nil, tt.whole)
			is.Equal(errors.Is(err, ErrBroken), !tt.whole)
			is.Equal(string(reply.Body) == "part", tt.whole)
		})
	}
}
