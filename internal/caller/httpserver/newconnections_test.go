package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// connectUntilRefused sends requests, each over a new connection, until a connection is refused. It
// returns an error if a connection was established and did not carry a response, unless the caller itself
// took longer to send its request than the server waits for it when the process ends.
func connectUntilRefused(address string, responses *atomic.Int64) error {
	for {
		begun := time.Now()
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "connect")
		}
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		late := time.Since(begun) > lastConnectionMillis*time.Millisecond
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // no response has a body
		}
		_ = conn.Close()
		if err != nil && !late {
			return errors.Wrapf(err, "after %d responses", responses.Load())
		}
		responses.Add(1)
	}
}

// TestStopResetsNoNewConnection guards against connections that are established while the server stops,
// and reset by the system as it closes the listener before they were accepted.
func TestStopResetsNoNewConnection(t *testing.T) { // not parallel, as its load would delay others
	for name, stop := range map[string]func(runningServer){
		"when idle":                   func(s runningServer) { s.Drain(); s.Finish(context.Background()) },
		"when the grace period ended": func(runningServer) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const rounds, callers, loadMillis = 40, 8, 5
			var group errgroup.Group
			for range rounds {
				s := startStoppable(t, echo{})
				var responses atomic.Int64
				for range callers {
					group.Go(func() error { return connectUntilRefused(s.address, &responses) })
				}
				time.Sleep(loadMillis * time.Millisecond)
				stop(s)
				s.end()
			}
			is.NoErr(group.Wait())
		})
	}
}
