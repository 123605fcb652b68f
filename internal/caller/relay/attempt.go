package relay

import (
	"context"
	"io"
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
	// maxDials bounds the servers that are dialled for one request.
	maxDials = 4
	// unreachedMillis is how long a server that was not reached gets no request.
	unreachedMillis = 1000
	// supersededMillis is how long a server whose address has another one gets
	// no request. Its entry lapses meanwhile.
	supersededMillis = 6000
	// maxWholeBytes is the size up to which an answer is read whole before it
	// is passed on.
	maxWholeBytes = 8 << 20
	// assumedOutputTokens is the output of a generation whose caller gave no
	// estimate.
	assumedOutputTokens = 500
	// lowestPriority is the last rank of an engine's queue.
	lowestPriority = 9
)

// attempt is one sending of a request to a backend server.
type attempt struct {
	server     discovery.BackendServer
	assignment *placement.Assignment
	call       *Call
}

// close ends the attempt. Failed says that the server failed the request.
func (a *attempt) close(failed bool) {
	if a.call != nil {
		a.call.Close()
	}
	a.assignment.End(failed, boottime.Now())
}

// run sends the request to backend servers until there is an answer.
func (q *request) run() {
	ctx, stop := context.WithDeadline(q.exchange.Context, time.Now().Add(time.Duration(q.remainingMillis())*time.Millisecond))
	defer stop()
	q.relay.Retries.CountFirst(q.service.Name, boottime.Now())
	var last outcome = unplaced{}
	for sent, dials := 0, 0; sent < q.route.MaxAttempts && dials < maxDials; dials++ {
		if dials > 0 && !q.allowRetry(last) {
			break
		}
		last = q.attempt(ctx)
		switch last.(type) {
		case unplaced:
			q.finish(ctx, last)
			return
		case unreached, superseded:
			continue
		}
		sent++
		if sent > 1 {
			q.relay.Metrics.CountRetry()
		}
		if !q.mayRetry(ctx, last) {
			break
		}
	}
	q.finish(ctx, last)
}

// allowRetry asks the budget whether the request is sent once more.
func (q *request) allowRetry(last outcome) bool {
	d := q.relay.Retries.Allow(q.service.Name, boottime.Now())
	q.log("retry decided", "Allowed", d.Allowed, "Cause", causeOf(last), "Spent", d.Used, "Budget", d.Budget)
	return d.Allowed
}

// attempt sends the request to one backend server.
func (q *request) attempt(ctx context.Context) outcome {
	a, ok := q.place()
	if !ok {
		return unplaced{}
	}
	q.tried[a.server.ID] = true
	call, err := Open(ctx, q.outbound(a.server, platform.ServerRequest{LastEvent: q.caller.LastEvent}))
	if err != nil {
		a.close(ctx.Err() == nil)
		if errors.Is(err, ErrNotSent) {
			q.log("backend server not reached", "Server", a.server.ID, "Error", err)
			q.relay.LoadTable.Avoid(a.server.ID, boottime.Now().AddMillis(unreachedMillis))
			return unreached{err}
		}
		q.log("answer lost", "Server", a.server.ID, "Error", err)
		return lost{err}
	}
	a.call = call
	if call.Answer.StatusCode == http.StatusMisdirectedRequest {
		a.close(false)
		q.log("another server has the address", "Server", a.server.ID, "Address", a.server.Address)
		q.relay.LoadTable.Avoid(a.server.ID, boottime.Now().AddMillis(supersededMillis))
		return superseded{}
	}
	if platform.NotRun(call.Answer.StatusCode, call.Answer.Header) {
		a.close(false)
		q.log("declined by backend server", "Server", a.server.ID, "Status", call.Answer.StatusCode)
		return declined{call.Answer.StatusCode}
	}
	if q.route.Kind == routetable.Stream && call.Answer.StatusCode == http.StatusOK {
		return q.stream(ctx, a)
	}
	return q.readWhole(a)
}

// place chooses a backend server and opens an assignment there.
func (q *request) place() (*attempt, bool) {
	now := boottime.Now()
	ready := q.relay.StoreWatcher.Servers().List.Ready(q.service.Name, now)
	got := q.relay.LoadTable.Place(ready, placement.Request{Service: q.service, Tokens: q.tokens(), Tried: q.tried}, now)
	if got.Assignment == nil {
		return nil, false
	}
	chosen := got.Chosen
	if q.service.Engine != nil {
		q.relay.OnPlaced(chosen.Server.ID, q.caller.ID, q.tokens())
		q.log("placed", "Server", chosen.Server.ID, "Candidates", len(ready), "Tokens", q.tokens(),
			"Starting", chosen.Starting, "Running", chosen.Running, "UsedTokens", chosen.UsedTokens, "ExpectedTokens", chosen.ExpectedTokens,
			"SameZone", chosen.SameZone, "Leaving", chosen.Leaving, "ReportMillis", chosen.ReportMillis)
	}
	return &attempt{server: chosen.Server, assignment: got.Assignment}, true
}

// tokens returns the memory that the request will need, in tokens.
func (q *request) tokens() int {
	if q.service.Engine == nil {
		return 0
	}
	output := q.caller.HintTokens
	if output == 0 {
		output = assumedOutputTokens
	}
	if q.caller.MaxOutputTokens > 0 {
		output = min(output, q.caller.MaxOutputTokens)
	}
	return q.caller.PromptTokens + output
}

// outbound returns the request as it is sent to a server.
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
	}
}

// priority returns the rank of the request in an engine's queue. The client
// account's rank goes before the route's.
func (q *request) priority() int {
	const ranksPerAccount = 3
	account := 1
	if q.account.HasPriority {
		account = q.account.Priority
	}
	return min(account*ranksPerAccount+min(q.route.Priority, ranksPerAccount-1), lowestPriority)
}

// readWhole reads an answer to its end.
func (q *request) readWhole(a *attempt) outcome {
	answer := a.call.Answer
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.Newf("answer is larger than %d bytes", maxWholeBytes)
	}
	if err == nil && answer.StatusCode < http.StatusMultipleChoices && !platform.Signed(answer.Header) {
		err = errors.New("answer has no signature")
	}
	a.close(err != nil || answer.StatusCode >= http.StatusInternalServerError)
	if err != nil {
		q.log("answer lost", "Server", a.server.ID, "Error", err)
		return lost{err}
	}
	return answered{status: answer.StatusCode, header: platform.CallerHeader(answer.Header), body: body}
}
