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
	"math/rand/v2"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placementqueue"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
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
	// has ended; the reply is a final message in Migrations. It returns false when the monitor is
	// not reached.
	AskEnded func(server, request string) bool
	// OnLeaving is called when a backend server has answered for the first time that it is
	// leaving, and when a stream begins to come from such a server; it must not block.
	OnLeaving func()
	// Bounds returns the current bounds. They may change between requests.
	Bounds func() Bounds
	// ShutdownAt returns the time at which the process will end, or zero while it
	// was not requested to stop.
	ShutdownAt func() boottime.Instant
	Metrics    *metrics.Registry
	Log        *slog.Logger

	returns      returnSchedule
	answerMemory answerMemory
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
	// answer is the memory of the answer that is read completely.
	answer answerReservation
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
		answer:       answerReservation{memory: &r.answerMemory},
	}
	defer q.answer.release()
	if refusal, ok := q.check(r.StoreWatcher.Configuration()); !ok {
		q.refuse(refusal)
		return
	}
	q.run()
}

// Refusal is an answer of the system itself, without a backend server.
type Refusal struct {
	// Code is the result code; it determines the HTTP status.
	Code resultcode.Code
	// RetryMillis is the time after which the caller may retry; zero when none is
	// given.
	RetryMillis int64
}

const (
	// unconfiguredRetryMillis is the retry time of a process without a current
	// configuration.
	unconfiguredRetryMillis = 400
	// declinedRetryMillis is the retry time after the last backend server declined
	// the request.
	declinedRetryMillis = 500
	// noBackendRetryMillis is the retry time when no backend server can be reached.
	// It exceeds the usual interval of the heartbeats with which backend servers
	// renew their entries in the platform's store.
	noBackendRetryMillis = 1300
	// stoppingRetryMillis is the retry time of a process that is shutting down;
	// the retry goes to another entry host.
	stoppingRetryMillis = 50
	// plainServiceMillis is the assumed maximum time of an answer of a plain
	// service that is no stream.
	plainServiceMillis = 300
	// promptMillis is the assumed time to the first event of a generation on a busy
	// engine, and tokenMillis the assumed time for each further token.
	promptMillis = 1000
	tokenMillis  = 18
	// estimateFactor is how many times longer than its expected length an output may
	// be when the caller set no maximum.
	estimateFactor = 4
	// retryJitterShare is the largest random share that is added to a retry time.
	retryJitterShare = 0.5
	// revokeMarginMillis is the margin before RevokeMillis, after which a key must
	// no longer be accepted.
	revokeMarginMillis = 400
)

// check finds the route, the service and the client account of the request. It
// returns a refusal and false when the request cannot be handled.
func (q *request) check(configuration storewatcher.Configuration) (Refusal, bool) {
	table := configuration.RouteTable
	if table == nil {
		return Refusal{resultcode.NotConfigured, unconfiguredRetryMillis}, false
	}
	q.configVersion = table.Version
	age := q.arrivedAt.MillisSince(configuration.ConfirmedAt)
	q.configAgeMillis = age
	route, ok := table.Route(q.exchange.Request.Host, pathOf(q.exchange.Request.RequestURI))
	if !ok {
		return q.deny(resultcode.UnknownService, age), false
	}
	q.route = route
	if refusal, ok := q.checkKey(table, age); !ok {
		return refusal, false
	}
	q.service, ok = table.Service(route.PickService(rand.Float64()))
	if !ok {
		return Refusal{resultcode.NoBackend, unconfiguredRetryMillis}, false
	}
	if q.caller.ID == "" {
		return Refusal{resultcode.InvalidRequest, 0}, false
	}
	q.deadlineAt = q.deadline()
	q.traits = q.content().Traits()
	if refusal, ok := q.checkQuarantine(); !ok {
		return refusal, false
	}
	if q.service.Engine != nil || q.route.Kind == routetable.Stream {
		q.output = q.relay.Outputs.Estimate(route.Name, q.caller.HintTokens, q.caller.MaxOutputTokens)
		q.outputTokens = q.output.Remaining(0)
	}
	return q.checkShutdown()
}

// checkShutdown refuses a request that the process might not finish before it
// ends.
func (q *request) checkShutdown() (Refusal, bool) {
	shutdownAt := q.relay.ShutdownAt()
	if shutdownAt == 0 || q.arrivedAt.AddMillis(q.longestMillis()) < shutdownAt {
		return Refusal{}, true
	}
	return Refusal{resultcode.Leaving, stoppingRetryMillis}, false
}

// longestMillis returns the time in which the answer is complete, even if it is far
// longer than the caller's estimate.
func (q *request) longestMillis() int64 {
	if q.service.Engine == nil && q.route.Kind != routetable.Stream {
		return plainServiceMillis
	}
	output := q.caller.MaxOutputTokens
	if output == 0 {
		output = estimateFactor * q.outputTokens
	}
	return promptMillis + int64(output)*tokenMillis
}

// checkKey finds the client account of the request's API key.
func (q *request) checkKey(table *routetable.Table, age int64) (Refusal, bool) {
	if q.route.Public || !table.KeyRequired {
		return Refusal{}, true
	}
	account, ok := table.Account(q.caller.Key)
	if !ok {
		return q.deny(resultcode.KeyUnknown, age), false
	}
	if age > q.relay.Bounds().RevokeMillis-revokeMarginMillis {
		return Refusal{resultcode.ConfigurationStale, unconfiguredRetryMillis}, false
	}
	q.account = account
	return Refusal{}, true
}

// deny returns the refusal of a route or key that the configuration does not hold.
// A configuration older than ApplyMillis does not prove that it is unknown, so the
// refusal then says that the configuration is stale.
func (q *request) deny(code resultcode.Code, age int64) Refusal {
	if age > q.relay.Bounds().ApplyMillis {
		return Refusal{resultcode.ConfigurationStale, unconfiguredRetryMillis}
	}
	return Refusal{code, 0}
}

// deadline returns the time by which the caller must have the final answer.
func (q *request) deadline() boottime.Instant {
	// maxDeadlineMillis bounds the time until the deadline, also when neither the
	// caller nor the route sets one.
	const maxDeadlineMillis = 120_000
	left := int64(maxDeadlineMillis)
	if q.caller.DeadlineMillis > 0 {
		left = min(left, q.caller.DeadlineMillis)
	}
	if q.route.TimeoutMillis > 0 {
		left = min(left, q.route.TimeoutMillis)
	}
	return q.arrivedAt.AddMillis(left)
}

// remainingMillis returns the time until the deadline.
func (q *request) remainingMillis() int64 {
	return q.deadlineAt.MillisSince(boottime.Now())
}

// refuse answers the request without a backend server. It adds a random share to
// the retry time and limits it to a third of the time until the deadline.
func (q *request) refuse(refusal Refusal) {
	retry := refusal.RetryMillis
	if retry > 0 {
		retry += int64(rand.Float64() * retryJitterShare * float64(retry))
		if q.deadlineAt != 0 {
			retry = max(min(retry, q.remainingMillis()/3), 1)
		}
	}
	info := refusal.Code.Info()
	q.relay.Metrics.CountResult(uint32(refusal.Code))
	q.log("request refused", "Code", refusal.Code, "Reason", info.Name, "Status", info.HTTPStatus,
		"RetryMillis", retry, "ConfirmedMillis", q.configAgeMillis)
	q.exchange.Respond(info.HTTPStatus, platform.LocalAnswerHeader(q.caller.ID, retry), nil)
}

// log writes a log line about the request.
func (q *request) log(message string, fields ...any) {
	all := append([]any{
		"Request", q.caller.ID,
		"Route", q.route.Name,
		"Account", q.account.Name,
		"Version", q.configVersion,
		"Millis", boottime.Now().MillisSince(q.arrivedAt),
	}, fields...)
	q.relay.Log.Info(message, all...)
}

// pathOf returns the path of a request's target, without its query. The target may
// also be a complete http URL.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if rest, ok := strings.CutPrefix(path, "http://"); ok {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	return path
}
