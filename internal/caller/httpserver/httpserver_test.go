package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// echo responds with the request's body.
type echo struct{}

func (echo) Handle(x *Exchange) {
	x.Respond(http.StatusOK, make(http.Header), x.Body)
}

// startServer runs a server with the echo handler until the test ends and
// returns its address.
func startServer(t *testing.T, limits routetable.Limits) string {
	t.Helper()
	return startHandler(t, echo{}, limits)
}

// startHandler runs a server with the handler until the test ends and returns
// its address.
func startHandler(t *testing.T, handler Handler, limits routetable.Limits) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Listener: &transport.StoppingListener{Listener: listener},
		Handler:  handler,
		Log:      slog.New(slog.DiscardHandler),
		Limits:   func() routetable.Limits { return limits },
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestRefusalReachesCallerThatIsStillSending guards against closing the
// connection while the caller still sends a body that is too large: the caller
// would get a connection reset instead of the error response.
func TestRefusalReachesCallerThatIsStillSending(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	conn := dial(t, startServer(t, routetable.Limits{MaxBodyBytes: limit}))
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 4*limit)
	is.NoErr(err)
	for range 4 {
		_, err = io.WriteString(conn, strings.Repeat("b", limit))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.NoErr(response.Body.Close())
}

// TestConnectionIsReused checks that one connection serves several requests,
// including pipelined ones.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	conn := dial(t, startServer(t, routetable.Limits{}))
	request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
	_, err := io.WriteString(conn, request+chunked+request)
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for range 3 {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "abc")
	}
}

// TestHeadLimits checks the status of a request head that arrives too slowly or
// is too large.
func TestHeadLimits(t *testing.T) {
	address := startServer(t, routetable.Limits{HeaderMillis: 100, MaxHeaderBytes: 1000})
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"slow":  {"GET / HTTP/1.1\r\nHost: a\r\n", http.StatusRequestTimeout},
		"large": {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.text)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.NoErr(response.Body.Close())
		})
	}
}
