package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// recorder responds after a while with the request's body and records it.
type recorder struct {
	mu      sync.Mutex
	handled map[string]bool
}

func (r *recorder) Handle(x *Exchange) {
	r.mu.Lock()
	r.handled[string(x.Body)] = true
	r.mu.Unlock()
	time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
	x.Respond(http.StatusOK, make(http.Header), x.Body)
}

// untilStopped waits until the exchange is cancelled and responds with its cause.
type untilStopped struct{}

func (untilStopped) Handle(x *Exchange) {
	<-x.Context.Done()
	x.Respond(http.StatusBadGateway, make(http.Header), []byte(context.Cause(x.Context).Error()))
}

// runningServer is a server whose stop is controlled by a test.
type runningServer struct {
	*Server
	address string
	end     func()
}

// startStoppable runs a server with the handler on a listener of its own.
func startStoppable(t *testing.T, handler Handler) runningServer {
	t.Helper()
	return startOn(t, listenLocally(t), handler)
}

func listenLocally(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

// startOn runs a server until it is ended or the test ends.
func startOn(t *testing.T, listener net.Listener, handler Handler) runningServer {
	t.Helper()
	s := &Server{
		Listener: &transport.StoppingListener{Listener: listener}, Handler: handler, Log: slog.New(slog.DiscardHandler),
		Limits: func() routetable.Limits { return routetable.Limits{} },
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	end := sync.OnceFunc(func() {
		stop()
		_ = group.Wait()
	})
	t.Cleanup(end)
	return runningServer{s, listener.Addr().String(), end}
}

// post sends a request with a body and returns the status and body of the response.
func post(client *http.Client, address, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// TestStopEndsNoRequestThatWasRead guards against a request that is read between the moment at which no
// request was open and the end of the server, and is then cut.
func TestStopEndsNoRequestThatWasRead(t *testing.T) {
	t.Parallel()
	const rounds, callers, mostMicros = 60, 8, 20_000
	for round := range rounds {
		record := &recorder{handled: make(map[string]bool)}
		s := startStoppable(t, record)
		answered := make([]map[string]bool, callers)
		var group errgroup.Group
		for n := range callers {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
			answered[n] = make(map[string]bool)
			group.Go(func() error {
				defer client.CloseIdleConnections()
				for i := 0; ; i++ {
					id := fmt.Sprintf("%d-%d", n, i)
					status, body, err := post(client, s.address, id)
					if err != nil {
						return nil //nolint:nilerr // the server has ended; which requests it read is checked below
					}
					answered[n][id] = status == http.StatusOK && body == id
					time.Sleep(time.Duration(rand.IntN(6000)) * time.Microsecond)
				}
			})
		}
		time.Sleep(time.Duration(rand.IntN(mostMicros)) * time.Microsecond)
		s.Drain()
		time.Sleep(time.Duration(rand.IntN(mostMicros)) * time.Microsecond)
		s.CloseIdle()
		for s.Open() > 0 {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
		}
		if open := s.Finish(context.Background()); open != 0 {
			t.Errorf("%d requests are open after the last connection", open)
		}
		s.end()
		_ = group.Wait()
		for id := range record.handled {
			n, _, _ := strings.Cut(id, "-")
			caller, _ := strconv.Atoi(n)
			if !answered[caller][id] {
				t.Errorf("round %d: request %s was handled and not answered", round, id)
			}
		}
	}
}

// TestCloseIdleAnswersWhatHasArrived guards against a connection that is closed as idle although a
// request has arrived on it.
func TestCloseIdleAnswersWhatHasArrived(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rounds = 200
	for range rounds {
		s := startStoppable(t, echo{})
		conn := dial(t, s.address)
		reader := bufio.NewReader(conn)
		for i := range 2 {
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
			is.NoErr(err)
			if i == 1 {
				s.CloseIdle()
			}
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "x")
			is.NoErr(response.Body.Close())
		}
		s.end()
	}
}

// TestEndAnswersOpenRequests guards against a server that ends without an answer to a request that is
// being handled, or whose body is being read.
func TestEndAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		sent   string
		status int
	}{
		{"handled", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", http.StatusBadGateway},
		{"body is being read", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx", http.StatusServiceUnavailable},
		{"head is being read", "POST / HTTP/1.1\r\nHos", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startStoppable(t, untilStopped{})
			conn := dial(t, s.address)
			_, err := io.WriteString(conn, tt.sent)
			is.NoErr(err)
			for s.Open() == 0 {
				time.Sleep(time.Millisecond)
			}
			ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(50*time.Millisecond))
			defer stop()
			is.Equal(s.Finish(ctx), 1)
			begun := time.Now()
			s.end()
			is.True(time.Since(begun) < time.Second)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, tt.status)
			is.True(response.Close) // says that the connection is closed
			is.NoErr(response.Body.Close())
		})
	}
}

// TestEndKeepsToCloseBy guards against a server that waits for a caller which does not end its request
// until the process has outlived its grace period.
func TestEndKeepsToCloseBy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const leftMillis = 20
	s := startStoppable(t, untilStopped{})
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx")
	is.NoErr(err)
	for s.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	s.CloseBy(boottime.Now().AddMillis(leftMillis))
	s.end()
	is.True(time.Since(begun) < lastResponseMillis*time.Millisecond)
}

// TestFinishServesEstablishedConnections guards against connections that are reset although they were
// established before the server stopped accepting.
func TestFinishServesEstablishedConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const closeMillis = 40 // the listener is closed by then
	s := startStoppable(t, echo{})
	conn := dial(t, s.address)
	var group errgroup.Group
	group.Go(func() error {
		if open := s.Finish(context.Background()); open != 0 {
			return errors.Newf("%d requests are open", open)
		}
		return nil
	})
	time.Sleep(closeMillis * time.Millisecond)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	is.NoErr(group.Wait())
	_, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", s.address)
	is.True(err != nil) // the listener is closed
}
