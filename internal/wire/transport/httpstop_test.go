package transport

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestHTTPServerEndsWithoutError guards against a process that ends with an error as its listener was
// closed before its server.
func TestHTTPServerEndsWithoutError(t *testing.T) {
	is := is.New(t)
	const rounds, shutdownMillis = 200, acceptMillis // both end at the same time
	for range rounds {
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		stop()
		is.NoErr(HTTPServer{Listener: listener, Handler: http.NotFoundHandler(), ShutdownMillis: shutdownMillis}.Run(ctx))
	}
}
