package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
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
			q, a := newEndedAnswer(routetable.Service{Name: "plain"}, server.Listener.Addr().String())
			is.True(errors.Is(q.checkEnd(ctx, a), errBrokenOff))
		})
	}
}
