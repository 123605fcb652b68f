// Package relay forwards the requests of callers to backend servers. It checks the
// route and the API key, selects a backend server, retries requests that may be
// retried, and forwards answers and streams to the caller. Relay is the handler, and
// Retries is its retry budget. A backend server that runs a model is an engine, and
// the run of a request there is a generation. An engine that is about to shut down
// migrates its generations to other engines; Migrations then notifies the streams
// that forward them.
package relay

import (
	"context"
	"log/slog"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/enginereport"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placementqueue"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// Relay handles the requests of callers. Its exported fields are set before
// use.
type Relay struct {
	StoreWatcher *storewatcher.Watcher
	LoadTable    *placement.LoadTable
	Migrations   *Migrations
	Retries      *Retries
	// Hedges decides which requests are hedged; nil turns hedging off.
	Hedges *hedge.Table
	// Outputs learns how long the outputs of each route are.
	Outputs *outputestimate.Model
	// ServerLimits holds the rate limits that backend servers name.
	ServerLimits *serverlimit.Table
	// Waiting holds the requests that wait for room at an engine.
	Waiting *placementqueue.Queue
	// Quarantine holds what requests have in common under which servers crash, and Crashes
	// records what this host sees of that.
	Quarantine *quarantine.Table
	Crashes    *crashlog.Log
	// Ends finds out under which requests servers ended when no closed port shows it.
	Ends *serverend.Watch
	// Reserve asks an engine for the memory that a request needs. It returns false
	// when the engine has none.
	Reserve func(ctx context.Context, server, request string, generation placement.Generation) bool
	// OnPlaced is called when a request was placed at an engine.
	OnPlaced func(server, request string, generation placement.Generation)
	// AskEnded asks the monitor of an engine whether the engine has stopped the run of an answer that
	// has ended; the reply is a message in Migrations with the number of the answer. It returns false when
	// the monitor is not reached.
	AskEnded func(server discovery.BackendServer, request string, answer uint64) bool
	// AskEngine asks the engine at an address for its state.
	AskEngine func(ctx context.Context, address string) (enginereport.Report, error)
	// MonitorSilentMillis returns the time since the last message of an engine's monitor; negative if there
	// is no connection to it.
	MonitorSilentMillis func(server discovery.BackendServer) int64
	// OnLeaving is called when a backend server has answered for the first time that it is
	// leaving, and when a stream begins to come from such a server; it must not block.
	OnLeaving func()
	// Memory bounds what all servers make the process hold; nil for no bound.
	Memory *heldbytes.Budget
	// Bounds returns the current bounds. They may change between requests.
	Bounds func() Bounds
	// Stop returns the planned stop of the process; its zero value while there is none.
	Stop    func() Stop
	Metrics *metrics.Registry
	Log     *slog.Logger

	returns returnSchedule
}

// Bounds limit the age at which a cached configuration may be used. Its age is the
// time since the store last confirmed it.
type Bounds struct {
	// RevokeMillis is the age up to which a key in the configuration is accepted,
	// as it may have been revoked since.
	RevokeMillis int64
	// ApplyMillis is the age up to which a route or key that the configuration
	// does not hold is treated as unknown, as it may have been added since.
	ApplyMillis int64
}

// Stop is a planned stop of the process. The zero value means none.
type Stop struct {
	// ReroutedAt is the time by which the platform sends new connections to other hosts.
	ReroutedAt boottime.Instant
	// EndsAt is the time at which open requests are ended.
	EndsAt boottime.Instant
}

// request is a request of a caller that is being handled.
type request struct {
	relay    *Relay
	exchange *httpserver.Exchange
	caller   platform.CallerRequest
	route    routetable.Route
	service  routetable.Service
	account  routetable.Account
	// output is the estimate of the output of a generation, and outputTokens its mean.
	output       outputestimate.Estimate
	outputTokens int
	// deadlineAt is the time by which the caller must have the final answer.
	deadlineAt boottime.Instant
	// arrivedAt is the time at which the request had arrived completely.
	arrivedAt boottime.Instant
	// configVersion is the version of the configuration that the request was
	// checked with, and configAgeMillis the age of that configuration.
	configVersion   int64
	configAgeMillis int64
	// tried holds the IDs of the servers that the request was sent to.
	tried map[string]bool
	// runs counts the attempts that may have run the request; MaxAttempts bounds it. A stream
	// that goes on at the copy of its run is the same run. declines counts the servers that
	// answered that they did not run the request.
	runs, declines int
	// refusedUntil holds the times until which engines that refused a reservation are
	// not asked again, by ID.
	refusedUntil map[string]boottime.Instant
	// reservationPendingAt is the ID of the full engine that was asked to keep memory for the
	// request; empty when there is none.
	reservationPendingAt string
	// traits are what other requests may have in common with this one.
	traits []string
	// calls holds the watch of the request at each server that it was sent to, by ID, until its
	// answer has begun.
	calls map[string]*serverend.Call
	// sound says that an answer of the request has begun and its server went on.
	sound bool
	// trial says that the request is sent although one of its traits is quarantined.
	trial bool
	// held is the memory of the answer that was read completely.
	held *heldbytes.Holding
	// registration receives the messages about the runs of the request; it is set before it is sent.
	registration *Registration
	// hedgeDials is the number of connections that were attempted for hedges.
	hedgeDials int
}

// Handle answers one request.
func (r *Relay) Handle(x *httpserver.Exchange) {
	q := &request{
		relay:     r,
		exchange:  x,
		caller:    platform.DecodeCallerRequest(x.Request.Header),
		arrivedAt: boottime.Now(),
		tried:     make(map[string]bool),
		calls:     make(map[string]*serverend.Call),

		refusedUntil: make(map[string]boottime.Instant),
	}
	defer func() { q.held.Close() }()
	x.OnCut = q.recordCut
	if refusal, ok := q.check(r.StoreWatcher.Configuration()); !ok {
		q.refuse(refusal)
		return
	}
	q.registration = r.Migrations.Register(q.caller.ID)
	defer q.registration.Unregister()
	q.run()
}
