package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestBufferedAnswerThatEndsWithItsConnection guards against an answer that is no stream, and that
// passes for complete although the engine may have stopped its run. The engine is not listed any more.
func TestBufferedAnswerThatEndsWithItsConnection(t *testing.T) {
	engine := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(engine.Close)
	const length = 10
	address := engine.Listener.Addr().String()
	for name, tt := range map[string]struct {
		// length is that of the answer, or negative if it ends with its connection.
		length  int64
		service routetable.Service
		// told is what the monitor says; nil if it is not reached.
		told     *Migration
		complete bool
	}{
		"monitor says stopped":     {-1, rigEngine, &Migration{Stopped: true, Source: platform.Handle{ID: "h"}}, false},
		"monitor says may be":      {-1, rigEngine, &Migration{Stopped: true, Final: true}, false},
		"monitor says not stopped": {-1, rigEngine, &Migration{Final: true}, true},
		"monitor does not know":    {-1, rigEngine, &Migration{}, false},
		"monitor not reached":      {-1, rigEngine, nil, false},
		"with a length":            {length, rigEngine, &Migration{Stopped: true}, true},
		"plain service":            {-1, routetable.Service{Name: "plain"}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			q, a := newEndedAnswer(tt.service, address)
			a.call.Answer.ContentLength = tt.length
			migrations := q.relay.Migrations
			q.relay.AskEnded = func(_ discovery.BackendServer, request string, answer uint64) bool {
				if tt.told != nil {
					told := *tt.told
					told.RequestID, told.Source.Address = request, address
					if told.Final {
						told.EndedAnswer = answer
					}
					migrations.Announce(told)
				}
				return tt.told != nil
			}
			err := q.checkEnd(context.Background(), a)
			is.Equal(err == nil, tt.complete)
			is.True(err == nil || errors.Is(err, errBrokenOff))
			is.Equal(len(migrations.RunsOn(a.server.Address)), 0)
		})
	}
}

// TestLongestMillis guards against a stream that is accepted by a stopping host which cannot finish it,
// as its route leads to a plain service.
func TestLongestMillis(t *testing.T) {
	is := is.New(t)
	const maxTokens = 900
	plain := routetable.Service{Name: "plain"}
	longest := func(service routetable.Service, kind routetable.Kind) int64 {
		q := &request{service: service, route: routetable.Route{Kind: kind}, caller: platform.CallerRequest{MaxOutputTokens: maxTokens}}
		return q.longestMillis()
	}
	is.Equal(longest(plain, routetable.Stream), longest(rigEngine, routetable.Stream))
	is.Equal(longest(plain, routetable.Idempotent), int64(plainServiceMillis))
}

var rigEngine = routetable.Service{Name: "lm", Engine: &routetable.Engine{MemoryTokens: 30_000}}
