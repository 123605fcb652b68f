package monitor

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestCopyOfAnEndedRunIsReleased checks that a copy that was made while the run
// continued is released if the run ends before it can be stopped. Otherwise the copy
// would take memory at the destination.
func TestCopyOfAnEndedRunIsReleased(t *testing.T) {
	is := is.New(t)
	var calls []string
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		calls = append(calls, q.Method+" "+q.URL.Path)
		if q.Method == http.MethodDelete {
			return
		}
		var message struct{ Last bool }
		is.NoErr(json.NewDecoder(q.Body).Decode(&message))
		if message.Last {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		is.NoErr(json.NewEncoder(w).Encode(map[string]any{"handle": "h7", "created": 12}))
	}))
	defer engine.Close()
	m := &Monitor{
		EngineAddress: strings.TrimPrefix(engine.URL, "http://"),
		Engines:       &platform.Engines{HTTP: engine.Client(), Orders: engine.Client()},
		Metrics:       &metrics.Registry{},
		Log:           slog.New(slog.DiscardHandler),
	}
	step := migration.Step{
		Run:         migration.Run{RequestID: "ends", Tokens: 4000},
		Destination: migration.Destination{Address: "10.0.0.9:1", SameZone: true},
	}
	const plentyMillis = 2000
	is.True(m.migrate(context.Background(), step, plentyMillis))
	is.Equal(m.Metrics.Snapshot().Moves, map[string]int64{migrationNeedless: 1})
	is.Equal(calls, []string{"POST /kv-move", "POST /kv-move", "DELETE /kv-handle/h7"})
}
