package relay

import (
	"math/rand/v2"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

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
	// fullRetryMillis is the retry time of a request for which this process has no room. It exceeds the time after
	// which requests that stall give way.
	fullRetryMillis = 1200
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
	return q.checkStop()
}

// checkStop refuses a request that the process might not finish before it ends.
func (q *request) checkStop() (Refusal, bool) {
	if q.endsInTime(boottime.Now()) {
		return Refusal{}, true
	}
	return q.leavingRefusal(), false
}

// leavingRefusal returns the refusal of a request that has not run.
func (q *request) leavingRefusal() Refusal {
	return Refusal{resultcode.Leaving, stoppingRetryMillis}
}

// endsInTime reports whether a request that is sent to a server now has its final answer before a
// planned stop ends it. Its deadline decides. Until the platform has turned to other hosts, it is
// enough that the answer is expected in time.
func (q *request) endsInTime(now boottime.Instant) bool {
	stop := q.relay.Stop()
	switch {
	case stop.EndsAt == 0 || q.deadlineAt.Before(stop.EndsAt):
		return true
	case now.Before(stop.ReroutedAt):
		return now.AddMillis(q.longestMillis()).Before(stop.EndsAt)
	default:
		return false
	}
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
	return promptMillis + int64(output)*tokenMillis + eventTimeoutMillis
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

// refuse answers the request without a backend server.
func (q *request) refuse(refusal Refusal) {
	info := refusal.Code.Info()
	retry := q.retryMillis(refusal)
	q.log("request refused", "Code", refusal.Code, "Reason", info.Name, "Status", info.HTTPStatus,
		"RetryMillis", retry, "ConfirmedMillis", q.configAgeMillis)
	q.respond(refusal.Code, retry)
}

// retryMillis returns the retry time that the caller is told. It has a random share, and is limited to a third of
// the time until the deadline.
func (q *request) retryMillis(refusal Refusal) int64 {
	retry := refusal.RetryMillis
	if retry <= 0 {
		return retry
	}
	retry += int64(rand.Float64() * retryJitterShare * float64(retry))
	if q.deadlineAt != 0 {
		retry = max(min(retry, q.remainingMillis()/3), 1)
	}
	return retry
}

// respond sends an answer of the system itself.
func (q *request) respond(code resultcode.Code, retryMillis int64) {
	q.relay.Metrics.CountResult(uint32(code))
	q.exchange.Respond(code.Info().HTTPStatus, platform.LocalAnswerHeader(q.caller.ID, retryMillis), nil)
}

// RefuseFull refuses a request that was not read, as callers make the process hold as much as they may. It writes no
// log line, as there may be many such requests.
func (r *Relay) RefuseFull(x *httpserver.Exchange) {
	q := &request{relay: r, exchange: x, caller: platform.DecodeCallerRequest(x.Request.Header), arrivedAt: boottime.Now()}
	if q.caller.DeadlineMillis > 0 {
		q.deadlineAt = q.arrivedAt.AddMillis(q.caller.DeadlineMillis)
	}
	refusal := Refusal{resultcode.EntryFull, fullRetryMillis}
	q.respond(refusal.Code, q.retryMillis(refusal))
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
