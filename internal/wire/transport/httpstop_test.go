package transport

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestHTTPServerEndsWithoutError guards against a process that ends with an error as its listener was
// closed before its server.
func TestHTTPServerEndsWithoutError(t *testing.T) {
	is := is.New(t)
	const rounds, shutdownMillis = 200, handshakeMillis // both end at the same time
	for range rounds {
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		stop()
		is.NoErr(HTTPServer{Listener: listener, Handler: http.NotFoundHandler(), ShutdownMillis: shutdownMillis}.Run(ctx))
	}
}

// TestHTTPServerResetsNoNewConnection guards against connections that are established while the server
// stops, and reset by the system as it closes the listener before they were accepted.
func TestHTTPServerResetsNoNewConnection(t *testing.T) { // not parallel, as its load would delay others
	is := is.New(t)
	const rounds, callers, loadMillis = 100, 16, 5
	var callersGroup errgroup.Group
	for range rounds {
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		var server errgroup.Group
		server.Go(func() error {
			return HTTPServer{Listener: listener, Handler: http.NotFoundHandler()}.Run(ctx)
		})
		for range callers {
			callersGroup.Go(func() error { return connectUntilRefused(listener.Addr().String()) })
		}
		time.Sleep(loadMillis * time.Millisecond)
		stop()
		is.NoErr(server.Wait())
	}
	is.NoErr(callersGroup.Wait())
}

// connectUntilRefused sends requests, each over a new connection, until a connection is refused. It
// returns an error if a connection was established and did not carry a response.
func connectUntilRefused(address string) error {
	for {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address, strings.NewReader("x"))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := response.Body.Close(); err != nil {
			return err
		}
	}
}
