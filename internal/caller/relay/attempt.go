package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// maxDials bounds the connections that are attempted for one request.
	maxDials = 4
	// unreachedMillis is the time for which a server is avoided after a failed
	// connection attempt.
	unreachedMillis = 1000
	// supersededMillis is the time for which a server gets no request after another
	// one answered at its address. Its entry in the store expires meanwhile.
	supersededMillis = 6000
	// garbledMillis is the time for which a server is avoided after it sent more than any
	// answer may hold.
	garbledMillis = 2000
	// lowestPriority is the least urgent priority in an engine's queue.
	lowestPriority = 9
)

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	server     discovery.BackendServer
	assignment *placement.Assignment
	call       *Call
	// answerBy is the time at which a probe of an unresponsive server is given up if its answer has
	// not begun, so that the request can be sent to another one; zero for none.
	answerBy boottime.Instant
}

// limit cancels the attempt at answerBy, if there is one, until the returned function is called.
func (a *attempt) limit(cancel context.CancelFunc) (begun func()) {
	if a.answerBy == 0 {
		return func() {}
	}
	timer := time.AfterFunc(time.Duration(a.answerBy-boottime.Now()), cancel)
	return func() { timer.Stop() }
}

// close ends the attempt. The argument failed says that the server failed the
// request.
func (a *attempt) close(failed bool) {
	if a.call != nil {
		a.call.Close()
	}
	a.assignment.End(failed, boottime.Now())
}

// run sends the request to one backend server after the other, until there is an
// answer for the caller or no further attempt is allowed.
func (q *request) run() {
	ctx, stop := context.WithDeadline(q.exchange.Context, time.Now().Add(time.Duration(q.remainingMillis())*time.Millisecond))
	defer stop()
	defer q.closeCalls()
	q.relay.Retries.CountFirst(q.service.Name, boottime.Now())
	var last, result outcome = unplaced{}, unplaced{}
	for sent, dials := 0, 0; q.runs < q.route.MaxAttempts && dials+q.hedgeDials < maxDials; dials++ {
		if !q.endsInTime(boottime.Now()) {
			result = conclusive(result, stopping{})
			break
		}
		if dials > 0 && !q.allowRetry(last) {
			break
		}
		last = q.attempt(ctx)
		result = conclusive(result, last)
		switch last.(type) {
		case unplaced, noRoom, tooLarge, stopping, rateLimited, quarantined:
			q.finish(ctx, result)
			return
		case unreached, superseded:
			continue
		}
		sent++
		if sent > 1 {
			q.relay.Metrics.CountRetry()
		}
		if !q.mayRetry(ctx, result) {
			break
		}
	}
	q.finish(ctx, result)
}

// allowRetry reports whether the retry budget allows a further attempt.
func (q *request) allowRetry(last outcome) bool {
	d := q.relay.Retries.Allow(q.service.Name, boottime.Now())
	q.log("retry decided", "Allowed", d.Allowed, "Cause", causeOf(last), "Spent", d.Used, "Budget", d.Budget)
	return d.Allowed
}

// attempt sends the request to one backend server and returns the outcome.
func (q *request) attempt(ctx context.Context) outcome {
	a, refused := q.placeWithRoom(ctx)
	if a == nil {
		return refused
	}
	q.tried[a.server.ID] = true
	if q.mayHedge() {
		return q.attemptHedged(ctx, a)
	}
	return q.sendTo(ctx, a)
}

// sendTo sends the request to the server of an attempt and returns the outcome.
func (q *request) sendTo(ctx context.Context, a *attempt) outcome {
	// The context must outlast open, as its end closes the connection of the call.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := a.limit(cancel)
	call, err := q.open(ctx, a.server, platform.ServerRequest{LastEvent: q.caller.LastEvent})
	begun()
	if err != nil {
		a.close(ctx.Err() == nil && !errors.Is(err, errQuarantined))
		if isLoserCancelled(ctx) {
			return loserCancelled{}
		}
		if errors.Is(err, errQuarantined) {
			return quarantined{}
		}
		if errors.Is(err, ErrNotSent) {
			q.log("backend server not reached", "Server", a.server.ID, "Error", err)
			q.relay.LoadTable.Avoid(a.server.ID, boottime.Now().AddMillis(unreachedMillis))
			q.relay.noticeRefused(a.server, err)
			return unreached{err}
		}
		q.logLost(a.server, err)
		q.noticeBroken(ctx, a.server, 0, err)
		return lost{err}
	}
	a.call = call
	if call.Answer.StatusCode == http.StatusMisdirectedRequest {
		a.close(false)
		q.log("address belongs to another backend server", "Server", a.server.ID, "Address", a.server.Address)
		q.relay.LoadTable.Supersede(a.server.ID, boottime.Now().AddMillis(supersededMillis))
		q.relay.noticeSuperseded(a.server)
		return superseded{}
	}
	if platform.NotRun(call.Answer.StatusCode, call.Answer.Header) {
		a.close(false)
		q.declines++
		q.log("request declined by backend server", "Server", a.server.ID, "Status", call.Answer.StatusCode)
		return declined{call.Answer.StatusCode}
	}
	if q.route.Kind == routetable.Stream && call.Answer.StatusCode == http.StatusOK {
		return q.stream(ctx, a)
	}
	return q.bufferAnswer(ctx, a)
}

// tokens returns the memory that the request is expected to need, in tokens; zero
// for a plain service.
func (q *request) tokens() int {
	if q.service.Engine == nil {
		return 0
	}
	return q.caller.PromptTokens + q.outputTokens
}

// generation returns the request as a generation that has produced some tokens.
func (q *request) generation(produced int) placement.Generation {
	return placement.Generation{
		PromptTokens:   q.caller.PromptTokens,
		ProducedTokens: produced,
		Priority:       q.priority(),
		Output:         q.output,
	}
}

// outbound returns the request in the form in which it is sent to a server.
func (q *request) outbound(server discovery.BackendServer, r platform.ServerRequest) Outbound {
	r.DeadlineMillis = q.remainingMillis()
	r.Account = q.account.Name
	r.Instance = server.ID
	r.Priority = q.priority()
	in := q.exchange.Request
	return Outbound{
		ID:      q.caller.ID,
		Address: server.Address,
		Method:  in.Method,
		Target:  in.RequestURI,
		Host:    in.Host,
		Header:  platform.ServerHeader(in.Header, r),
		Body:    q.exchange.Body,
		Route:   q.route.Name,
		Memory:  q.relay.Memory,
	}
}

// priority returns the priority of the request in an engine's queue; zero is the
// most urgent. The client account's priority outweighs the route's; it is 1 when
// none is configured.
func (q *request) priority() int {
	const levelsPerAccount = 3
	return min(q.accountPriority()*levelsPerAccount+min(q.route.Priority, levelsPerAccount-1), lowestPriority)
}

// accountPriority returns the priority of the request's client account.
func (q *request) accountPriority() int {
	if q.account.HasPriority {
		return q.account.Priority
	}
	return 1
}

// logLost logs that the answer of a server was lost.
func (q *request) logLost(server discovery.BackendServer, err error) {
	q.log("answer lost", "Server", server.ID, "Error", err)
	q.avoidGarbled(server, err)
}

// avoidGarbled makes requests avoid a server for a while if it has sent more than any answer may hold.
func (q *request) avoidGarbled(server discovery.BackendServer, err error) {
	if errors.Is(err, ErrTooLarge) {
		q.relay.LoadTable.Avoid(server.ID, boottime.Now().AddMillis(garbledMillis))
	}
}

// bufferAnswer reads an answer completely.
func (q *request) bufferAnswer(ctx context.Context, a *attempt) outcome {
	answer := a.call.Answer
	body, err := a.call.readBody(ctx)
	if err == nil {
		err = q.checkEnd(ctx, a)
	}
	if isLoserCancelled(ctx) {
		a.close(false)
		return loserCancelled{}
	}
	held := a.call.held
	if err == nil {
		a.call.held = nil // the request holds the body until the caller has it
	}
	a.close(err != nil || answer.StatusCode >= http.StatusInternalServerError)
	if err != nil {
		q.logLost(a.server, err)
		q.noticeBroken(ctx, a.server, 0, err)
		return lost{err}
	}
	q.held.Close()
	q.held = held
	q.markAnswered(a.server.ID, answer.StatusCode < http.StatusInternalServerError && platform.Signed(answer.Header))
	return answered{server: a.server.ID, status: answer.StatusCode, header: platform.CallerHeader(answer.Header), body: body}
}
