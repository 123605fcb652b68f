package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// outcome is the result of an attempt.
type outcome interface{ outcome() }

// unplaced says that no backend server can take the request.
type unplaced struct{}

// noRoom says that no engine had room for the request while it could be on time.
type noRoom struct{}

// stopping says that the request has not run and is not sent, as the process ends before it would
// be answered.
type stopping struct{}

// rateLimited says that every server that could take the request is held back, by its rate
// limit or by a pause that it asked for. The first of them accepts a request again at until.
type rateLimited struct{ until boottime.Instant }

// tooLarge says that the prompt exceeds the memory of every engine.
type tooLarge struct{}

// quarantined says that servers crash under requests like this one.
type quarantined struct{}

// unreached says that no connection to the server was made, so nothing was sent.
type unreached struct{ err error }

// superseded says that another server answered at the server's address.
type superseded struct{}

// declined says that the server did not run the request.
type declined struct{ status int }

// lost says that the request may have run, but its answer did not arrive
// completely.
type lost struct{ err error }

// answered holds a complete answer.
type answered struct {
	// server is the ID of the server.
	server string
	status int
	header http.Header
	body   []byte
}

// loserCancelled says that the attempt was cancelled, as the other attempt of a hedged request was
// answered first.
type loserCancelled struct{}

// streamed says that the answer was forwarded as a stream, completely or up to an
// abort.
type streamed struct{}

func (unplaced) outcome()       {}
func (noRoom) outcome()         {}
func (stopping) outcome()       {}
func (rateLimited) outcome()    {}
func (tooLarge) outcome()       {}
func (quarantined) outcome()    {}
func (unreached) outcome()      {}
func (superseded) outcome()     {}
func (declined) outcome()       {}
func (lost) outcome()           {}
func (answered) outcome()       {}
func (loserCancelled) outcome() {}
func (streamed) outcome()       {}

// conclusive returns which of two outcomes of consecutive attempts decides the final
// answer. An attempt that did not run the request does not replace an earlier one
// that may have, as the answer would otherwise say that the request did not run. If no server
// is left after one that declined the request, the answer says that it was declined.
func conclusive(earlier, latest outcome) outcome {
	if isDeclined(earlier) && isUnplaced(latest) {
		return earlier
	}
	if mayHaveRun(earlier) && !mayHaveRun(latest) {
		return earlier
	}
	return latest
}

func isDeclined(o outcome) bool {
	_, is := o.(declined)
	return is
}

func isUnplaced(o outcome) bool {
	_, is := o.(unplaced)
	return is
}

// mayHaveRun reports whether the server may have run the request in an attempt.
func mayHaveRun(o outcome) bool {
	switch o.(type) {
	case lost, answered, streamed:
		return true
	default:
		return false
	}
}

// causeOf names the outcome that a retry follows, for logs.
func causeOf(last outcome) string {
	switch last.(type) {
	case unreached:
		return "Unreached"
	case superseded:
		return "Superseded"
	case declined:
		return "Declined"
	case lost:
		return "Lost"
	case answered:
		return "Failed"
	default:
		return "Unplaced"
	}
}

// mayRetry reports whether the request may be sent to a further server without
// running more often than its route allows. The argument result is the conclusive outcome of
// the attempts so far.
func (q *request) mayRetry(ctx context.Context, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	switch o := result.(type) {
	case declined:
		return true
	case lost:
		return q.route.Retryable() && !q.suspected()
	case answered:
		return q.route.Kind == routetable.Idempotent && o.status >= http.StatusInternalServerError
	default:
		return false
	}
}

// lostCode returns the result code of a request whose answer was lost.
func (q *request) lostCode(ctx context.Context) resultcode.Code {
	switch {
	case q.exchange.Stopped():
		return resultcode.DrainCut
	case ctx.Err() != nil:
		return resultcode.DeadlineCut
	default:
		return resultcode.ReplyLost
	}
}

// countAnswered counts a request that a backend server answered.
func (q *request) countAnswered() {
	q.relay.Metrics.CountResult(uint32(resultcode.OK))
	millis := boottime.Now().MillisSince(q.arrivedAt)
	q.series().FirstToken(time.Duration(millis) * time.Millisecond)
}

// series returns the metrics of the request's client account and route.
func (q *request) series() *metrics.Series {
	return q.relay.Metrics.Series(q.account.Name, q.route.Name)
}

// recordCut records that the answer did not reach the caller completely.
func (q *request) recordCut(cut httpserver.Cut) {
	q.relay.Metrics.CountCut(string(cut))
	q.log("answer cut", "Cause", cut, "Sent", len(q.tried) > 0, "Begun", q.exchange.Begun(), "LeftMillis", q.remainingMillis())
}

// finish sends the caller the final answer, unless it was streamed.
func (q *request) finish(ctx context.Context, last outcome) {
	if q.exchange.CallerDisconnected() {
		q.log("caller disconnected")
		q.relay.Metrics.CountResult(uint32(resultcode.Cancelled))
		q.exchange.Abort()
		return
	}
	if q.exchange.Stopped() && !mayHaveRun(last) {
		last = stopping{}
	}
	switch o := last.(type) {
	case answered:
		q.log("answered", "Server", o.server, "Status", o.status)
		if platform.PromisesNotRun(o.status) && !q.route.Retryable() {
			// The server did not state that it has not run the request.
			q.refuse(Refusal{Code: resultcode.ReplyLost})
			return
		}
		q.countAnswered()
		q.exchange.Respond(o.status, o.header, o.body)
	case streamed:
	case stopping:
		q.refuse(q.leavingRefusal())
	case tooLarge:
		q.refuse(Refusal{resultcode.EnginesFull, 0})
	case quarantined:
		q.refuse(Refusal{resultcode.RequestQuarantined, 0})
	case noRoom:
		now := boottime.Now()
		q.refuse(Refusal{resultcode.EnginesFull, q.relay.returns.nextReturn(now.MillisSince(q.arrivedAt), now)})
	case rateLimited:
		untilMillis := o.until.MillisSince(boottime.Now())
		q.log("backend servers hold the request back", "UntilMillis", untilMillis)
		q.refuse(Refusal{resultcode.ServersLimited, max(untilMillis, declinedRetryMillis)})
	case lost:
		q.refuse(Refusal{Code: q.lostCode(ctx)})
	case declined:
		q.refuse(Refusal{resultcode.EngineRefused, declinedRetryMillis})
	default:
		q.refuse(Refusal{resultcode.NoBackend, noBackendRetryMillis})
	}
}
