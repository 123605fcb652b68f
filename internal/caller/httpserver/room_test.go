package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// TestStopRefusesRequestThatWaitsForRoom guards against a proper request that is told that it is malformed, as the
// process stops while it waits for room.
func TestStopRefusesRequestThatWaitsForRoom(t *testing.T) {
	const bodyBytes, settleMillis = 2 << 20, 100
	is := is.New(t)
	listener := listenLocally(t)
	s := &Server{
		Listener: &transport.StoppingListener{Listener: listener},
		Handler:  echo{},
		Log:      slog.New(slog.DiscardHandler),
		Limits:   func() routetable.Limits { return routetable.Limits{} },
		Intake:   &intake.Budget{MostBytes: 2 * bodyBytes},
	}
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	first, second := dial(t, listener.Addr().String()), dial(t, listener.Addr().String())
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	_, err := fmt.Fprint(first, head+strings.Repeat("b", bodyBytes-1))
	is.NoErr(err)
	_, err = fmt.Fprint(second, head)
	is.NoErr(err)
	time.Sleep(settleMillis * time.Millisecond)
	stop()
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(response.Body.Close())
	is.NoErr(group.Wait())
}
