package runmigration

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// newEvacuation returns the evacuation of an engine that answers each order with a status; zero breaks off.
func newEvacuation(t *testing.T, status int, freed *int) (*evacuation, *httptest.Server) {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodDelete {
			*freed++
			return
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(engine.Close)
	m := &Migrator{
		Migrations: &relay.Migrations{},
		Monitored:  func(string) bool { return false },
		Engines:    &platform.Engines{HTTP: platform.NewOrderHTTP(), Orders: platform.NewOrderHTTP()},
		Log:        slog.New(slog.DiscardHandler),
	}
	const noticeMillis = 60_000
	return &evacuation{
		migrator: m,
		server:   discovery.BackendServer{ID: "e", Address: engine.Listener.Addr().String()},
		leavesAt: boottime.Now().AddMillis(noticeMillis),
	}, engine
}

var stepOfR = migration.Step{Run: migration.Run{RequestID: "r"}, Destination: migration.Destination{Address: "10.0.0.9:1"}}

// TestOrdersThatDidNotAct guards against a complete answer that is cut, as an order of this host that the engine
// has not acted on counts as one that may have stopped the run.
func TestOrdersThatDidNotAct(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		// down says that the order does not reach the engine.
		down bool
		// open says that the outcome of the order is not known.
		open bool
	}{
		"no such run":              {http.StatusNotFound, false, false},
		"another copy in progress": {http.StatusConflict, false, false},
		"not sent":                 {http.StatusOK, true, false},
		"no reply":                 {0, false, true},
		"failed":                   {http.StatusInternalServerError, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, engine := newEvacuation(t, tt.status, new(int))
			if tt.down {
				engine.Close()
			}
			r := e.migrator.Migrations.Register("r")
			defer r.Unregister()
			run := r.Begin(e.server.Address)
			reply := e.copy(t.Context(), stepOfR, true)
			is.Equal(run.StopOrdered(), tt.open)
			is.Equal(reply.NotActed, !tt.open)
			_, announced := run.Latest()
			is.True(!announced)
		})
	}
}

// TestCopyOfARunThatTheMonitorStopped guards against a stream that can't go on, as this host frees the copy of
// its run: the engine has no such run any more, which does not mean that it has ended.
func TestCopyOfARunThatTheMonitorStopped(t *testing.T) {
	is := is.New(t)
	freed := 0
	e, _ := newEvacuation(t, http.StatusNotFound, &freed)
	e.copied = map[string]copiedRun{"r": {step: stepOfR, handle: "h"}}
	r := e.migrator.Migrations.Register("r")
	e.stopCopied(t.Context())
	ctx, stop := context.WithCancel(t.Context())
	stop() // the stream is still open at the end
	e.releaseUnclaimed(ctx)
	is.Equal(freed, 0)
	is.Equal(len(e.unclaimed), 1)
	r.Unregister()
	e.releaseUnclaimed(t.Context())
	is.Equal(freed, 1)
	is.Equal(len(e.unclaimed), 0)
}
