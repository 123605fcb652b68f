// Package relay answers callers by handing their requests to backend servers:
// it checks the route and the key, chooses a backend server, retries what may
// be repeated, and passes answers and streams on.
package relay

import (
	"log/slog"
	"math/rand/v2"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
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
	// OnPlaced is called when a request was placed at an engine, with the memory
	// that it will need, in tokens.
	OnPlaced func(server, request string, tokens int)
	// Bounds returns the bounds in force. They may change between requests.
	Bounds func() Bounds
	// ShutdownAt returns when the process ends that was told to stop; zero while it
	// was not.
	ShutdownAt func() boottime.Instant
	Metrics    *metrics.Registry
	Log        *slog.Logger
}

// Bounds are the bounds of what a configuration vouches for.
type Bounds struct {
	// RevokeMillis is the age up to which a configuration vouches for a key.
	RevokeMillis int64
	// ApplyMillis is the age up to which a configuration vouches for what it
	// does not hold.
	ApplyMillis int64
}

// request is one request of a caller on its way.
type request struct {
	relay    *Relay
	exchange *httpserver.Exchange
	caller   platform.CallerRequest
	route    routetable.Route
	service  routetable.Service
	account  routetable.Account
	// deadlineAt is when the caller or the route gives up.
	deadlineAt boottime.Instant
	// arrivedAt is when the whole request had come.
	arrivedAt boottime.Instant
	// configVersion is the version of the configuration that was used, and
	// confirmedMillis its age.
	configVersion   int64
	configAgeMillis int64
	// tried holds the servers that the request was sent to.
	tried map[string]bool
}

// Handle answers one request.
func (r *Relay) Handle(x *httpserver.Exchange) {
	q := &request{
		relay:     r,
		exchange:  x,
		caller:    platform.DecodeCallerRequest(x.Request.Header),
		arrivedAt: boottime.Now(),
		tried:     make(map[string]bool),
	}
	if refusal, ok := q.check(r.StoreWatcher.Configuration()); !ok {
		q.refuse(refusal)
		return
	}
	q.run()
}

// Refusal is an answer that the system gives itself.
type Refusal struct {
	// Code is the result code; it decides the HTTP status.
	Code resultcode.Code
	// RetryMillis is when to come back; zero says nothing of it.
	RetryMillis int64
}

const (
	// unconfiguredRetryMillis is when to come back to a process that knows no
	// current configuration.
	unconfiguredRetryMillis = 400
	// declinedRetryMillis is when to come back when no backend server takes the
	// request.
	declinedRetryMillis = 500
	// noBackendRetryMillis is when to come back when no backend server is reached.
	// It exceeds the usual pause between heartbeats.
	noBackendRetryMillis = 1300
	// stoppingRetryMillis is when to come back, to another entry host.
	stoppingRetryMillis = 50
	// plainServiceMillis is the time that an answer of a plain service takes at most.
	plainServiceMillis = 300
	// promptMillis is the time until the first event of a generation, and
	// tokenMillis that for each further token, when engines are busy.
	promptMillis = 1000
	tokenMillis  = 18
	// estimateFactor is how much longer than its estimate an output may be that has
	// no bound.
	estimateFactor = 4
	// retryJitterShare is the share of a time to come back that is drawn at random.
	retryJitterShare = 0.5
	// revokeMarginMillis is kept free before a key must no longer be accepted.
	revokeMarginMillis = 400
)

// check finds route, service and client account of the request.
func (q *request) check(known storewatcher.Configuration) (Refusal, bool) {
	table := known.RouteTable
	if table == nil {
		return Refusal{resultcode.NotConfigured, unconfiguredRetryMillis}, false
	}
	q.configVersion = table.Version
	age := q.arrivedAt.MillisSince(known.ConfirmedAt)
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
	return q.checkShutdown()
}

// checkShutdown refuses what the process could not finish before it ends.
func (q *request) checkShutdown() (Refusal, bool) {
	endsAt := q.relay.ShutdownAt()
	if endsAt == 0 || q.arrivedAt.AddMillis(q.longestMillis()) < endsAt {
		return Refusal{}, true
	}
	return Refusal{resultcode.Leaving, stoppingRetryMillis}, false
}

// longestMillis returns the time in which the request has its whole answer, also
// when that is far longer than its caller's estimate.
func (q *request) longestMillis() int64 {
	if q.service.Engine == nil {
		return plainServiceMillis
	}
	output := q.caller.MaxOutputTokens
	if output == 0 {
		output = estimateFactor * (q.tokens() - q.caller.PromptTokens)
	}
	return promptMillis + int64(output)*tokenMillis
}

// checkKey finds the client account of the request's key.
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

// deny refuses what the configuration does not hold. A configuration that is
// not current cannot tell.
func (q *request) deny(code resultcode.Code, age int64) Refusal {
	if age > q.relay.Bounds().ApplyMillis {
		return Refusal{resultcode.ConfigurationStale, unconfiguredRetryMillis}
	}
	return Refusal{code, 0}
}

// deadline returns when the request must have its final answer.
func (q *request) deadline() boottime.Instant {
	const longestMillis = 120_000
	left := int64(longestMillis)
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

// refuse answers the request without a backend server. The time to come back
// is spread, and is at most a third of what is left.
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

// log writes one line about the request.
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

// pathOf returns the path of a request's target, without its query.
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
