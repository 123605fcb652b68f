package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeoutMillis bounds the head of a request.
	headerTimeoutMillis = 5000
	// shutdownTimeoutMillis bounds the end of answers when a server stops.
	shutdownTimeoutMillis = 2000
)

// HTTPServer serves HTTP on one listener. Its fields must be set before Run.
type HTTPServer struct {
	Listener net.Listener
	Handler  http.Handler
}

// Run serves until ctx ends, then lets open answers end within a bounded time.
func (s HTTPServer) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		bounded, stop := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(shutdownTimeoutMillis*time.Millisecond))
		defer stop()
		if err := server.Shutdown(bounded); err != nil {
			return server.Close()
		}
		return nil
	})
	group.Go(func() error {
		err := server.Serve(s.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve HTTP")
	})
	return group.Wait()
}

// NewTransport returns a transport for the engine or plain service beside the
// process. Every call has a connection of its own: on a kept connection that
// the other side just closed, nobody could tell whether a call arrived.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableKeepAlives = true
	return transport
}

// Must panics on an error that only a programming fault can cause.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Listen opens a TCP listener at address, a host and port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}
