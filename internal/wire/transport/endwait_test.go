package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// hookConn calls a function before it removes the limit of reads.
type hookConn struct {
	net.Conn

	beforeUnlimited func()
}

func (c hookConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() {
		c.beforeUnlimited()
	}
	return c.Conn.SetReadDeadline(at)
}

// hookListener accepts connections that call a function before they remove the limit of reads.
type hookListener struct {
	*net.TCPListener

	beforeUnlimited func()
}

func (l hookListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return hookConn{conn, l.beforeUnlimited}, nil
}

// TestHTTPServerEndsWaitThatBegins guards against a stop that lasts until its time limit because the wait
// for a further request begins in the moment in which it is ended.
func TestHTTPServerEndsWaitThatBegins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const holdMillis, startMillis = 60, 20 // the server stops while the wait begins
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	var handled atomic.Bool
	hooked := hookListener{listener.(*net.TCPListener), func() {
		if handled.Load() {
			time.Sleep(holdMillis * time.Millisecond)
		}
	}}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Store(true) })
	var server errgroup.Group
	server.Go(func() error { return HTTPServer{Listener: hooked, Handler: handler}.Run(ctx) })
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	time.Sleep(startMillis * time.Millisecond)
	begun := time.Now()
	stop()
	is.NoErr(server.Wait())
	is.True(time.Since(begun) < DefaultShutdownMillis/2*time.Millisecond)
}
