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
	// headerTimeoutMillis is the maximum time for reading the header of a request.
	headerTimeoutMillis = 5000
	// shutdownTimeoutMillis is the maximum time for completing open requests when a
	// server stops.
	shutdownTimeoutMillis = 2000
)

// HTTPServer serves HTTP on one listener with the server of net/http. Its fields must be
// set before Run.
type HTTPServer struct {
	Listener net.Listener
	Handler  http.Handler
}

// Run serves until ctx ends, and then gives open requests a bounded time to complete.
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

// NewTransport returns the HTTP transport for the engine or plain service beside the
// process. It opens a new connection for every call: when a call fails on a reused
// connection that the server has just closed, it is unknown whether the call arrived.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableKeepAlives = true
	return transport
}

// Must panics if err is not nil. It is for errors that only a programming error can
// cause.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Listen opens a TCP listener at address, which is a host and a port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}
