package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// endWaitMillis is the time for which a request asks how its answer has ended. A report of the engine
	// says that only from platform.ReportLagMillis after the end on.
	endWaitMillis = platform.ReportLagMillis + 700
	// askAgainMillis is the pause after which a monitor that has not replied is asked again, as the
	// connection to it may have been opened anew.
	askAgainMillis = 300
	// askPortMillis is the time for which a connection to an engine is tried before others are asked.
	askPortMillis = 100
)

// errBrokenOff says that an answer without an end of its own was broken off.
var errBrokenOff = errors.New("answer was broken off with its connection")

// errNotSentWhole says that an answer without an end of its own ended while its request was being sent.
var errNotSentWhole = errors.New("request was not sent whole")

// errRunStopped says that an answer ended as its engine has stopped, or may have stopped, the run for
// a migration.
var errRunStopped = errors.New("engine may have stopped the run of the answer")

// errEndUnknown says that nobody could tell whether an answer without an end of its own is whole.
var errEndUnknown = errors.New("nothing shows that the answer is whole")

// checkEnd returns an error if an answer that has ended may have been broken off. An answer that ends
// with its connection does not show that itself, so that those who may know are asked.
func (q *request) checkEnd(ctx context.Context, a *attempt) error {
	if !a.call.endsWithConnection() {
		return nil
	}
	inquiry := q.newEndInquiry(a)
	verdict, basis := inquiry.run(ctx)
	q.relay.Metrics.CountAnswerEnd(verdict.String())
	inquiry.log(verdict, basis)
	switch verdict {
	case answerend.Whole:
		return nil
	case answerend.CutRequest:
		return errors.Mark(errBrokenOff, errNotSentWhole)
	case answerend.ServerEnded:
		return errors.Mark(errBrokenOff, errServerEnded)
	case answerend.RunStopped:
		return errors.Mark(errBrokenOff, errRunStopped)
	default:
		return errors.Mark(errBrokenOff, errEndUnknown)
	}
}

// endInquiry asks those who may know how an answer has ended: the server by a connection attempt, and of an
// engine also its monitor and, if that does not reply, the engine itself.
type endInquiry struct {
	request   *request
	attempt   *attempt
	knowledge answerend.Knowledge
	// monitorAsked and engineAsked count the questions.
	monitorAsked, engineAsked int
	// monitorSilentMillis is the time since the last message of the monitor when it was asked last; negative
	// if there was none on the connection to it.
	monitorSilentMillis int64
}

// newEndInquiry returns an inquiry into the end of an answer, which the host has just seen.
func (q *request) newEndInquiry(a *attempt) *endInquiry {
	i := &endInquiry{request: q, attempt: a, monitorSilentMillis: -1, knowledge: answerend.Knowledge{
		EndedAt:        boottime.Now(),
		BornUnixMillis: a.server.BornUnixMillis,
		CutRequest:     !a.call.wasSent(),
		Engine:         q.service.Engine != nil,
	}}
	if i.knowledge.Engine {
		i.noteOrders()
	}
	return i
}

// run asks until the verdict is known, until endWaitMillis have passed, or until ctx ends.
func (i *endInquiry) run(ctx context.Context) (answerend.Verdict, answerend.Basis) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(endWaitMillis*time.Millisecond))
	defer stop()
	for ctx.Err() == nil {
		if verdict, basis := answerend.Decide(i.knowledge); verdict != answerend.Unknown {
			return verdict, basis
		}
		i.askAll(ctx)
	}
	return answerend.Decide(i.knowledge)
}

// askAll asks those who have not said all that they can.
func (i *endInquiry) askAll(ctx context.Context) {
	if _, open := i.knowledge.Port.(answerend.PortOpen); !open {
		i.askPort(ctx)
	}
	if _, closed := i.knowledge.Port.(answerend.PortClosed); closed || !i.knowledge.Engine {
		return
	}
	i.askMonitor(ctx)
	i.askEngine(ctx)
}

// askPort tries to connect to the server: once if there are others to ask, or else until that shows something.
func (i *endInquiry) askPort(ctx context.Context) {
	if i.knowledge.Engine {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, time.Now().Add(askPortMillis*time.Millisecond))
		defer stop()
	}
	i.knowledge = i.knowledge.WithPort(transport.AskPort(ctx, i.attempt.server.Address))
}

// askMonitor asks the engine's monitor, and waits for its reply until it is time to ask somebody again.
func (i *endInquiry) askMonitor(ctx context.Context) {
	wait, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(i.untilNext())*time.Millisecond))
	defer stop()
	q, run := i.request, i.attempt.call.run
	i.monitorSilentMillis = q.relay.MonitorSilentMillis(i.attempt.server)
	if q.relay.AskEnded(i.attempt.server, q.caller.ID, run.number) {
		i.monitorAsked++
	}
	i.knowledge = i.knowledge.WithMonitor(run.AwaitEnd(wait))
	i.noteOrders()
}

// untilNext returns the time in milliseconds for which a reply is awaited.
func (i *endInquiry) untilNext() int64 {
	now := boottime.Now()
	if left := i.reportFrom().MillisSince(now); left > 0 {
		return min(left, askAgainMillis)
	}
	return askAgainMillis / 2
}

// reportFrom returns the time from which a report of the engine shows a state after the end.
func (i *endInquiry) reportFrom() boottime.Instant {
	return i.knowledge.EndedAt.AddMillis(platform.ReportLagMillis)
}

// askEngine asks the engine itself if its report may decide.
func (i *endInquiry) askEngine(ctx context.Context) {
	if ctx.Err() != nil || !i.knowledge.NeedsReport() || boottime.Now().Before(i.reportFrom()) {
		return
	}
	i.engineAsked++
	server := i.attempt.server
	report, err := i.request.relay.AskEngine(ctx, server.Address)
	if err != nil {
		i.request.log("engine report not received", "Server", server.ID, "Error", err)
		return
	}
	i.knowledge = i.knowledge.WithReport(answerend.EngineReport{
		AsOf: report.AsOf(), BornUnixMillis: report.BornUnixMillis, Ready: report.Ready,
	})
	i.request.relay.noticeReport(server, report)
}

// noteOrders takes in what the host knows of orders to stop the run.
func (i *endInquiry) noteOrders() {
	i.knowledge = i.knowledge.WithOrders(i.attempt.call.run.StopOrdered(), i.request.relay.isLeaving(i.attempt.server))
}

// log records what was asked, of whom, what came back and how old that is.
func (i *endInquiry) log(verdict answerend.Verdict, basis answerend.Basis) {
	k, now := i.knowledge, boottime.Now()
	reportAgeMillis := int64(-1)
	if report, ok := k.Report.(answerend.EngineReport); ok {
		reportAgeMillis = now.MillisSince(report.AsOf)
	}
	i.request.log("answer ended with its connection", "Server", i.attempt.server.ID, "Answer", i.attempt.call.run.number,
		"Verdict", verdict.String(), "Basis", basis.String(), "AfterMillis", now.MillisSince(k.EndedAt),
		"Port", answerend.NameOf(k.Port), "MonitorAsked", i.monitorAsked, "Monitor", answerend.NameOf(k.Monitor),
		"MonitorSilentMillis", i.monitorSilentMillis,
		"EngineAsked", i.engineAsked, "Report", answerend.NameOf(k.Report), "ReportAgeMillis", reportAgeMillis,
		"StopOrdered", k.OwnOrder, "Leaving", k.Leaving,
		"ListAgeMillis", now.MillisSince(i.request.relay.StoreWatcher.Servers().ConfirmedAt))
}
