package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// askEndMillis is the time for which a request waits for the monitor of an engine that is not about
// to shut down to say whether the engine has stopped its run.
const askEndMillis = 300

// errBrokenOff says that an answer without an end of its own was broken off.
var errBrokenOff = errors.New("answer was broken off with its connection")

// errNotSentWhole says that an answer without an end of its own ended while its request was being sent.
var errNotSentWhole = errors.New("request was not sent whole")

// errRunStopped says that an answer ended as its engine has stopped, or may have stopped, the run for
// a migration.
var errRunStopped = errors.New("engine may have stopped the run of the answer")

// checkEnd returns an error if an answer that has ended may have been broken off. An answer that ends
// with its connection does not show that itself: the connection also ends with the server, and when
// an engine stops a run for its migration.
func (q *request) checkEnd(ctx context.Context, a *attempt) error {
	switch {
	case !a.call.endsWithConnection():
		return nil
	case !a.call.wasSent():
		return errors.Mark(errBrokenOff, errNotSentWhole)
	case hasEnded(ctx, a.server.Address):
		return errors.Mark(errBrokenOff, errServerEnded)
	case q.service.Engine != nil && q.mayBeStopped(ctx, a):
		return errors.Mark(errBrokenOff, errRunStopped)
	case ctx.Err() != nil:
		// The checks have ended with the request, so that they show nothing.
		return errors.Mark(errBrokenOff, ctx.Err())
	default:
		return nil
	}
}

// mayBeStopped reports whether an engine has stopped the run of an answer that has ended, or may have.
// Without a reply of its monitor, an engine that is about to shut down may have, as only such engines
// are ordered to.
func (q *request) mayBeStopped(ctx context.Context, a *attempt) bool {
	server, run := a.server, a.call.run
	asked := q.relay.AskEnded(server.ID, q.caller.ID, run.number)
	waitMillis := askEndMillis
	leaving := q.relay.mayLeave(server)
	if leaving {
		waitMillis = migrationWaitMillis
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(waitMillis)*time.Millisecond))
	defer stop()
	stopped, known := false, false
	if asked || leaving || run.StopOrdered() {
		stopped, known = run.AwaitEnd(ctx)
	}
	leaving = q.relay.mayLeave(server)
	maybe := stopped || (!known && (leaving || run.StopOrdered()))
	q.log("answer ended with its connection", "Server", server.ID, "Answer", run.number, "MayBeStopped", maybe,
		"MonitorAsked", asked, "Stopped", stopped, "Known", known, "StopOrdered", run.StopOrdered(), "Leaving", leaving)
	return maybe
}
