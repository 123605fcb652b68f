package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestEndedServerOfAnAnswerAtAStop guards against an answer without a length that its server has broken off
// and that passes for complete, as the request ends before the server was checked: by a planned stop, or at
// its deadline.
func TestEndedServerOfAnAnswerAtAStop(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close() // nothing listens at its address any more
	for name, cause := range map[string]error{"open": nil, "stop": httpserver.ErrStopped, "deadline": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			if cause != nil {
				cancel(cause)
			}
			q := &request{
				relay: &Relay{
					StoreWatcher: &storewatcher.Watcher{}, LoadTable: &placement.LoadTable{}, Migrations: &Migrations{},
					Log: slog.New(slog.DiscardHandler), Metrics: &metrics.Registry{},
				},
				service: routetable.Service{Name: "plain"},
				caller:  platform.CallerRequest{ID: "r"},
			}
			a := &attempt{
				server: discovery.BackendServer{ID: "s", Address: server.Listener.Addr().String()},
				call:   &Call{Answer: &http.Response{ContentLength: -1}},
			}
			is.True(errors.Is(q.checkEnd(ctx, a), errBrokenOff))
		})
	}
}
