// Package enginereport asks engines for their state on behalf of the requests of an entry host. An engine
// answers anyone, at a price, so that all requests that ask at once share one query.
package enginereport

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// queryMillis bounds one query.
const queryMillis = 250

// Report is the state of an engine.
type Report struct {
	platform.EngineReport
	// AskedAt is the time at which the query was sent.
	AskedAt boottime.Instant
}

// AsOf returns the earliest time whose state the report may show.
func (r Report) AsOf() boottime.Instant {
	return r.AskedAt.AddMillis(-platform.ReportLagMillis)
}

// Client asks engines. Its exported field is set before use. It is safe for concurrent use.
type Client struct {
	Engines *platform.Engines

	queries singleflight.Group
}

// Ask returns the state of the engine at an address, by a query that may have been sent before. It takes
// queryMillis at most.
func (c *Client) Ask(ctx context.Context, address string) (Report, error) {
	report, err, _ := c.queries.Do(address, func() (any, error) {
		// The query goes on for the others if the request that has sent it ends.
		ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(queryMillis*time.Millisecond))
		defer stop()
		askedAt := boottime.Now()
		state, err := c.Engines.Report(ctx, address)
		return Report{EngineReport: state, AskedAt: askedAt}, err
	})
	return report.(Report), err
}
