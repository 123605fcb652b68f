package relay

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverpause"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// errUnsigned says that a success has no signature, so that the server may not have made it.
var errUnsigned = errors.New("answer has no signature")

// open sends the request to a backend server and records what the answer says of the
// server. All requests to backend servers are sent by it. An answer that is a success has a
// signature: open closes the call otherwise, and the request may have run.
func (q *request) open(ctx context.Context, server discovery.BackendServer, r platform.ServerRequest) (*Call, error) {
	if q.quarantined() {
		return nil, errors.Mark(errors.Wrapf(errQuarantined, "request to %s", server.ID), ErrNotSent)
	}
	if q.relay.ServerLimits.NamesLimit(server.ID) {
		q.relay.Metrics.CountLimitedSend()
	}
	sentAt := boottime.Now()
	if !q.sound {
		q.calls[server.ID].Close()
		q.calls[server.ID] = q.relay.Ends.Open(serverend.IncarnationOf(server), q.loss(), sentAt)
	}
	watched := q.watchCall(server, sentAt)
	run := q.registration.Begin(server.Address)
	call, err := Open(ctx, q.outbound(server, r))
	watched.end(ctx, call, err)
	if r.ContinueFrom == (platform.Handle{}) && mayRun(call, err) {
		q.runs++
	}
	if err != nil {
		return nil, err
	}
	call.run = run
	q.observeRateLimit(server.ID, call.Answer, sentAt)
	q.observePause(server, call.Answer)
	if isUnsignedSuccess(call.Answer) {
		call.Close()
		return nil, errors.Wrapf(errUnsigned, "status %d from %s", call.Answer.StatusCode, server.ID)
	}
	return call, nil
}

// isUnsignedSuccess reports whether an answer is a success that lacks the server's signature.
func isUnsignedSuccess(answer *http.Response) bool {
	return answer.StatusCode < http.StatusMultipleChoices &&
		!platform.NotRun(answer.StatusCode, answer.Header) && !platform.Signed(answer.Header)
}

// watchedCall is a call whose time without an answer is watched. A nil watchedCall is not.
type watchedCall struct{ call *unresponsive.Call }

// watchCall records that a call is sent to a server of a plain service.
func (q *request) watchCall(server discovery.BackendServer, now boottime.Instant) *watchedCall {
	if q.service.Engine != nil {
		return nil
	}
	return &watchedCall{q.relay.LoadTable.Unresponsive.Begin(server, now)}
}

// end records how the call ended. Another server at the address has not answered for this one.
func (w *watchedCall) end(ctx context.Context, call *Call, err error) {
	switch {
	case w == nil:
	case err == nil && call.Answer.StatusCode != http.StatusMisdirectedRequest:
		w.call.Answered(boottime.Now())
	case err == nil || errors.Is(err, ErrNotSent):
		w.call.Cancel()
	default:
		w.call.Lost(ctx.Err() != nil, boottime.Now())
	}
}

// mayRun reports whether the server may have run the request of a call that was opened with an
// error or without one.
func mayRun(call *Call, err error) bool {
	if err != nil {
		return !errors.Is(err, ErrNotSent)
	}
	return !platform.NotRun(call.Answer.StatusCode, call.Answer.Header)
}

// observePause records that the server is leaving, or for how long it wants no request.
// Another server at its address speaks for itself only.
func (q *request) observePause(server discovery.BackendServer, answer *http.Response) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	asked := serverpause.Answer{
		Leaving:     platform.Leaving(answer.Header),
		PauseMillis: platform.PauseMillis(answer.StatusCode, answer.Header),
	}
	if !q.relay.LoadTable.Pauses.Observe(server, asked, boottime.Now()) {
		return
	}
	if asked.Leaving {
		q.relay.OnLeaving()
	}
	q.log("backend server asked for fewer requests", "Server", server.ID, "Leaving", asked.Leaving, "PauseMillis", asked.PauseMillis)
}

// observeRateLimit records the rate limit in an answer. An answer that the server itself
// may not have made says nothing of its limit: one of another server at its address, or one
// that names no limit and has no signature.
func (q *request) observeRateLimit(server string, answer *http.Response, sentAt boottime.Instant) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	perSecond, named, err := platform.RateLimit(answer.Header)
	if err != nil {
		q.log("rate limit of backend server ignored", "Server", server, "Error", err)
		return
	}
	if !named && !platform.Signed(answer.Header) {
		return
	}
	changed := q.relay.ServerLimits.Observe(server, serverlimit.Answer{
		Limited:       named,
		PerSecond:     perSecond,
		RequestSentAt: sentAt,
		ReceivedAt:    boottime.Now(),
	})
	if changed {
		q.log("backend server changed its rate limit", "Server", server, "Limited", named, "PerSecond", perSecond)
	}
}
