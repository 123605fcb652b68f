// Package serving provides what the stand-ins share: Listener, which serves HTTP on a
// network address; Pipe, which serves it without a network; and helpers for responses
// and injected faults.
package serving

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const headerTimeoutSeconds = 10

// Listener serves one HTTP handler until its context ends.
type Listener struct {
	// Address is the host and port to listen on; port 0 selects a free port.
	Address string
	// Handler serves every request.
	Handler http.Handler

	once sync.Once
	// ready is closed when the listener listens or could not listen.
	ready chan struct{}
	// bound is the address that the listener is bound to. It is set before ready
	// is closed and never changes after that.
	bound string
}

// Addr waits until Run listens and returns the address; it is empty if Run could
// not listen.
func (l *Listener) Addr() string {
	l.init()
	<-l.ready
	return l.bound
}

// Serve sets the address and the handler, and calls Run.
func (l *Listener) Serve(ctx context.Context, address string, handler http.Handler) error {
	l.Address = address
	l.Handler = handler
	return l.Run(ctx)
}

// Run listens and serves until ctx ends, then closes all connections.
func (l *Listener) Run(ctx context.Context) error {
	l.init()
	defer l.markReady()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.bound = ln.Addr().String()
	l.markReady()
	return serve(ctx, ln, l.Handler)
}

func (l *Listener) init() {
	l.once.Do(func() { l.ready = make(chan struct{}) })
}

// markReady closes ready if it is open. Only Run calls it.
func (l *Listener) markReady() {
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Conn returns the connection of a request that a Listener serves. What is written to it comes before
// the response.
func Conn(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// serve serves handler on ln until ctx ends, then closes all connections.
func serve(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeoutSeconds * time.Second,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	g.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	return g.Wait()
}
