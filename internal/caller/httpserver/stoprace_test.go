package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestFinishDoesNotAwaitSilentConnection guards against a stop that lasts until the end of its grace
// period because a caller has connected shortly before and sends nothing.
func TestFinishDoesNotAwaitSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const slackMillis = 1000
	s := startStoppable(t, echo{})
	_ = dial(t, s.address)
	for s.connectionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the connection waits for its first request now
	s.Drain()
	s.CloseIdle()
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add((newConnectionMillis+slackMillis)*time.Millisecond))
	defer stop()
	is.Equal(s.Finish(ctx), 0)
	is.NoErr(ctx.Err()) // all connections have ended before
	is.Equal(s.ClosedWaiting(), 1)
}

func (s runningServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// deadlineHook calls a function before a read deadline is set.
type deadlineHook struct {
	net.Conn

	beforeDeadline func(at time.Time)
	// afterTimeout is called after each read that its deadline has ended, unless it is nil.
	afterTimeout func()
	readBytes    *atomic.Int64
}

func (h deadlineHook) SetReadDeadline(at time.Time) error {
	h.beforeDeadline(at)
	return h.Conn.SetReadDeadline(at)
}

func (h deadlineHook) SyscallConn() (syscall.RawConn, error) {
	return h.Conn.(syscall.Conn).SyscallConn()
}

func (h deadlineHook) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	h.readBytes.Add(int64(n))
	if h.afterTimeout != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		h.afterTimeout()
	}
	return n, err
}

// hookListener accepts connections whose read deadlines call a function.
type hookListener struct {
	*net.TCPListener

	beforeDeadline func(at time.Time)
	afterTimeout   func()
	readBytes      atomic.Int64
}

func (l *hookListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineHook{conn, l.beforeDeadline, l.afterTimeout, &l.readBytes}, nil
}

// startHooked is like startStoppable and calls a function before each read deadline of a connection.
func startHooked(t *testing.T, beforeDeadline func(at time.Time)) (runningServer, *hookListener) {
	t.Helper()
	hooked := &hookListener{TCPListener: listenLocally(t), beforeDeadline: beforeDeadline}
	return startOn(t, hooked, untilStopped{}), hooked
}

// TestEndAnswersWhatItReads guards against a request that arrives when the process ends, is read, and has
// its connection closed without an answer: its caller can't tell that it has not run.
func TestEndAnswersWhatItReads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
	var conn net.Conn
	var once sync.Once
	s, listener := startHooked(t, func(at time.Time) {
		if at.Before(time.Now()) {
			once.Do(func() { _, _ = io.WriteString(conn, text) })
		}
	})
	conn = dial(t, s.address)
	for s.connectionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * lastConnectionMillis * time.Millisecond) // the wait for its first request ends with the process
	s.end()
	if listener.readBytes.Load() < int64(len(text)) {
		return // not read, which the reset shows to the caller
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(response.Body.Close())
}

// TestCloseIdleReadsInAStarvedProcess guards against a kept connection that is closed although a request
// has been received on it: a process that gets no processor lets each time limit pass before it reads.
func TestCloseIdleReadsInAStarvedProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const text, longMillis = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", 100
	var conn net.Conn
	var stopping atomic.Bool
	receive := sync.OnceFunc(func() { _, _ = io.WriteString(conn, text) })
	listener := &hookListener{
		TCPListener: listenLocally(t),
		beforeDeadline: func(at time.Time) {
			if left := time.Until(at); left < longMillis*time.Millisecond {
				time.Sleep(left)
			}
		},
		afterTimeout: func() {
			if stopping.Load() {
				receive()
			}
		},
	}
	s := startOn(t, listener, echo{})
	conn = dial(t, s.address)
	reader := bufio.NewReader(conn)
	readResponse := func() {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	_, err := io.WriteString(conn, text)
	is.NoErr(err)
	readResponse()
	time.Sleep(20 * time.Millisecond) // the connection waits for its next request now
	stopping.Store(true)
	s.CloseIdle()
	readResponse()
	is.Equal(s.ClosedWaiting(), 0)
}

// TestEndAnswersRequestWhoseReadBegins guards against a request whose head or body begins to be read in
// the moment in which the process ends: the time limit of that read must not replace the end of it, by
// which the request gets its refusal.
func TestEndAnswersRequestWhoseReadBegins(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		text string
		// limit is the number of the read deadline, from one, that is set when the process ends.
		limit int64
	}{
		"head": {"POST / HTTP/1.1\r\nHos", 2},
		"body": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx", 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var deadlines atomic.Int64
			reached, readsEnded := make(chan struct{}), make(chan struct{})
			endReads := sync.OnceFunc(func() { close(readsEnded) })
			s, _ := startHooked(t, func(at time.Time) {
				if at.Before(time.Now()) {
					endReads()
					return
				}
				if deadlines.Add(1) == tt.limit {
					close(reached)
					select {
					case <-readsEnded:
					case <-time.After(lastResponseMillis / 4 * time.Millisecond): // the server may hold its mutex here
					}
				}
			})
			conn := dial(t, s.address)
			_, err := io.WriteString(conn, tt.text)
			is.NoErr(err)
			<-reached
			s.end()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.NoErr(response.Body.Close())
		})
	}
}
