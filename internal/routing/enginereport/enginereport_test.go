package enginereport

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestQueriesAreShared guards against a query, which has a price, for each of many runs of an engine that end at
// once, and against a report that counts as newer than its query.
func TestQueriesAreShared(t *testing.T) {
	is := is.New(t)
	const requests, replyMillis = 30, 100
	var queries atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		queries.Add(1)
		time.Sleep(replyMillis * time.Millisecond)
		_, _ = w.Write([]byte(`{"born":7,"state":"ready"}`))
	}))
	t.Cleanup(engine.Close)
	client := &Client{Engines: &platform.Engines{HTTP: platform.NewOrderHTTP()}}
	before := boottime.Now()
	var group errgroup.Group
	for range requests {
		group.Go(func() error {
			report, err := client.Ask(t.Context(), engine.Listener.Addr().String())
			is.True(report.Ready && report.BornUnixMillis == 7)
			is.True(boottime.Now().MillisSince(report.AsOf()) >= platform.ReportLagMillis)
			is.True(before.MillisSince(report.AsOf()) <= platform.ReportLagMillis)
			return err
		})
	}
	is.NoErr(group.Wait())
	is.True(queries.Load() < requests/10)
}
