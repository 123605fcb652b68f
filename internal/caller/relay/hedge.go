package relay

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const microsPerMilli = 1000

// errLoserCancelled is the cause with which an attempt is cancelled when the other attempt of a
// hedged request was answered first.
var errLoserCancelled = errors.New("another attempt was answered first")

// isLoserCancelled reports whether an attempt was cancelled because of the other one.
func isLoserCancelled(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errLoserCancelled)
}

// hedgedAttempt is one of the two attempts of a hedged request.
type hedgedAttempt struct {
	// request is the request as this attempt sees it. The two attempts run at the same time and
	// share nothing that changes.
	request *request
	attempt *attempt
	// stop cancels the attempt and closes its connection.
	stop context.CancelCauseFunc
	// outcome is nil while the attempt is open.
	outcome outcome
}

// won reports whether the attempt has an answer for the caller.
func (a *hedgedAttempt) won() bool {
	return isSuccess(a.outcome)
}

// isSuccess reports whether an outcome is a complete answer that is not a failure.
func isSuccess(o outcome) bool {
	answer, ok := o.(answered)
	return ok && answer.status < http.StatusInternalServerError
}

// hedgedAttempts runs the attempts of a request that may be hedged.
type hedgedAttempts struct {
	group errgroup.Group
	// ended receives each attempt once it has ended.
	ended chan *hedgedAttempt
}

// start sends a request to the server of an attempt.
func (h *hedgedAttempts) start(ctx context.Context, q *request, a *attempt) *hedgedAttempt {
	ctx, stop := context.WithCancelCause(ctx)
	started := &hedgedAttempt{request: q, attempt: a, stop: stop}
	h.group.Go(func() error {
		started.outcome = q.sendTo(ctx, a)
		h.ended <- started
		return nil
	})
	return started
}

// mayHedge reports whether the request, which has been placed, may be hedged: it may run more than
// once, it goes to a plain service, and this is its first attempt.
func (q *request) mayHedge() bool {
	return q.relay.Hedges != nil && q.route.Kind == routetable.Idempotent && q.service.Engine == nil &&
		q.route.MaxAttempts > 1 && !q.trial && len(q.tried) == 1
}

// attemptHedged is like sendTo for a request that may be hedged.
func (q *request) attemptHedged(ctx context.Context, a *attempt) outcome {
	call := q.relay.Hedges.Begin(q.route.Name, boottime.Now())
	if call.LateAt() == 0 {
		result := q.sendTo(ctx, a)
		call.End(resultOf(result), boottime.Now())
		return result
	}
	running := &hedgedAttempts{ended: make(chan *hedgedAttempt, 2)}
	hedged := q.cloneForHedge()
	first := running.start(ctx, q, a)
	defer first.stop(nil)
	second := running.awaitHedge(ctx, hedged, call)
	if second == nil {
		_ = running.group.Wait()
		call.End(resultOf(first.outcome), boottime.Now())
		return first.outcome
	}
	defer second.stop(nil)
	result, winner := running.await(first, second)
	call.End(resultOf(first.outcome), boottime.Now())
	q.mergeHedge(second, winner)
	q.recordHedge(first, second, winner)
	return result
}

// awaitHedge waits until the first attempt has ended or the hedge is sent, which it returns. Once
// it is decided that there is none, it returns nil.
func (h *hedgedAttempts) awaitHedge(ctx context.Context, hedged *request, call *hedge.Call) *hedgedAttempt {
	timer := time.NewTimer(untilLate(call))
	defer timer.Stop()
	for {
		select {
		case <-h.ended:
			return nil
		case <-timer.C:
		}
		if ctx.Err() != nil {
			return nil
		}
		now := boottime.Now()
		switch decision := hedged.decideHedge(call, now).(type) {
		case hedge.Send:
			return h.startHedge(ctx, hedged, call, now)
		case hedge.Wait:
			if decision.Reason != hedge.ReasonNotLate {
				return nil
			}
		}
		timer.Reset(untilLate(call))
	}
}

// startHedge places the second attempt and starts it. It returns nil when no server takes it.
func (h *hedgedAttempts) startHedge(ctx context.Context, hedged *request, call *hedge.Call, now boottime.Instant) *hedgedAttempt {
	a := hedged.placeHedge(now)
	if a == nil {
		hedged.withdrawHedge(call, now)
		return nil
	}
	return h.start(ctx, hedged, a)
}

// untilLate returns the time until a call takes unusually long.
func untilLate(call *hedge.Call) time.Duration {
	return time.Duration(call.LateAt() - boottime.Now())
}

// await waits until one of the two attempts has won, and cancels the other one, or until both have
// failed. It returns the outcome of the request and the attempt that has won, or nil.
func (h *hedgedAttempts) await(first, second *hedgedAttempt) (result outcome, winner *hedgedAttempt) {
	earlier := <-h.ended
	other := first
	if earlier == first {
		other = second
	}
	if earlier.won() {
		other.stop(errLoserCancelled)
	}
	_ = h.group.Wait()
	switch {
	case earlier.won():
		return earlier.outcome, earlier
	case other.won():
		return other.outcome, other
	default:
		return conclusive(earlier.outcome, other.outcome), nil
	}
}

// resultOf returns how a first attempt ended.
func resultOf(o outcome) hedge.Result {
	if isSuccess(o) {
		return hedge.Answered
	}
	if _, ok := o.(loserCancelled); ok {
		return hedge.LoserCancelled
	}
	return hedge.Failed
}

// cloneForHedge returns the request as its second attempt sees it. It must be called before the
// first attempt starts.
func (q *request) cloneForHedge() *request {
	hedged := *q
	hedged.tried = maps.Clone(q.tried)
	hedged.calls = maps.Clone(q.calls)
	hedged.held = nil
	hedged.runs, hedged.declines = 0, 0
	return &hedged
}

// decideHedge decides whether the request is sent to a second server, and logs the decision unless
// the first attempt is not late yet.
func (q *request) decideHedge(call *hedge.Call, now boottime.Instant) hedge.Decision {
	budget := q.relay.Retries.CheckHedge(q.service.Name, now)
	decision := call.Decide(hedge.Facts{
		Suspected:    q.quarantined() || q.probed() || q.suspected(),
		BudgetAllows: budget.Allowed,
		Spent:        budget.Used,
		Budget:       budget.Budget,
	}, now)
	// Another request may have used up the budget since.
	if _, sends := decision.(hedge.Send); sends && !q.relay.Retries.AllowHedge(q.service.Name, now).Allowed {
		call.Withdraw(now)
		decision = hedge.Wait{Inputs: decision.DecidedBy(), Reason: hedge.ReasonBudget}
	}
	wait, _ := decision.(hedge.Wait)
	if wait.Reason != hedge.ReasonNotLate {
		q.logHedgeDecided(decision)
	}
	return decision
}

// withdrawHedge takes back a hedge that no server takes.
func (q *request) withdrawHedge(call *hedge.Call, now boottime.Instant) {
	q.log("hedge not placed, no server takes it")
	call.Withdraw(now)
	q.relay.Retries.Withdraw(q.service.Name, now)
}

// placeHedge selects a server for a hedge and opens an assignment there. It returns nil when no
// server takes it.
func (q *request) placeHedge(now boottime.Instant) *attempt {
	if !q.endsInTime(now) {
		return nil
	}
	ready := q.relay.StoreWatcher.Ready(q.service.Name, now)
	placed := q.relay.LoadTable.Place(ready, placement.Request{Service: q.service, Tried: q.tried, Hedge: true}, now)
	if placed.Assignment == nil {
		return nil
	}
	q.tried[placed.Chosen.Server.ID] = true
	q.relay.Metrics.CountRetry()
	q.log("hedge sent", "Server", placed.Chosen.Server.ID, "Open", placed.Chosen.Open, "Slots", placed.Chosen.Slots)
	return &attempt{server: placed.Chosen.Server, assignment: placed.Assignment}
}

func (q *request) logHedgeDecided(decision hedge.Decision) {
	reason := "Late"
	wait, waits := decision.(hedge.Wait)
	if waits {
		reason = wait.Reason.String()
	}
	in := decision.DecidedBy()
	q.log("hedge decided", "Allowed", !waits, "Reason", reason, "ElapsedMillis", in.ElapsedMicros/microsPerMilli,
		"QuantileMillis", in.QuantileMicros/microsPerMilli, "QuantileAgeMillis", in.QuantileAgeMillis, "Answers", in.Answers,
		"OthersOpen", in.OthersOpen, "OthersLate", in.OthersLate, "RecentLate", in.RecentLate, "Hedges", in.Hedges, "Share", in.Share,
		"Spent", in.Spent, "Budget", in.Budget)
}

// mergeHedge takes over what the second attempt of the request has found out. Both attempts have
// ended; winner is nil if both have failed.
func (q *request) mergeHedge(second, winner *hedgedAttempt) {
	hedged := second.request
	if winner == second {
		q.held, hedged.held = hedged.held, q.held
	}
	hedged.held.Close()
	maps.Copy(q.tried, hedged.tried)
	maps.Copy(q.calls, hedged.calls)
	q.sound = q.sound || hedged.sound
	if q.sound {
		q.closeCalls()
	}
	q.hedgeDials++
	q.runs += hedged.runs
	q.declines += hedged.declines
}

// recordHedge records how the hedge ended, in the metrics and the log.
func (q *request) recordHedge(first, second, winner *hedgedAttempt) {
	outcome := q.hedgeOutcome(first, second, winner)
	elapsed := boottime.Now().MillisSince(q.arrivedAt)
	q.relay.Metrics.RecordHedge(outcome, time.Duration(elapsed)*time.Millisecond)
	q.log("hedge ended", "Outcome", outcome, "First", first.attempt.server.ID, "Second", second.attempt.server.ID,
		"FirstOutcome", nameOf(first.outcome), "SecondOutcome", nameOf(second.outcome))
}

// hedgeOutcome returns the outcome of a hedged request for metrics.
func (q *request) hedgeOutcome(first, second, winner *hedgedAttempt) string {
	switch {
	case winner == first:
		return metrics.HedgeFirstWon
	case winner == second:
		return metrics.HedgeSecondWon
	case q.exchange.CallerDisconnected():
		return metrics.HedgeCancelled
	default:
		return metrics.HedgeBothFailed
	}
}

// nameOf names the outcome of one attempt of a hedged request, for logs.
func nameOf(o outcome) string {
	switch o.(type) {
	case loserCancelled:
		return "LoserCancelled"
	case quarantined:
		return "Quarantined"
	}
	if isSuccess(o) {
		return "Answered"
	}
	return causeOf(o)
}
