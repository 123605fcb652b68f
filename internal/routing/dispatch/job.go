package dispatch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// job is the state of one request on its entry host. One goroutine uses it.
type job struct {
	*Runner

	request  Request
	sink     Sink
	delivery *delivery.Delivery
	// target is the owner of the current attempt.
	target Target
	// permit is set once the key is bound; then target is its backend server.
	permit *message.Permit
	// refused holds the backend servers that refused the request.
	refused map[string]bool
	// attempt counts the owners that were asked.
	attempt int
	// lastRefusal is the newest refusal of an owner.
	lastRefusal *resultcode.Result
	// unknownResult is the newest result of an attempt that may have run; nil when none
	// may have.
	unknownResult *resultcode.Result
	// connectedAt is when the newest connection to the owner was opened.
	connectedAt time.Time
	// resumed tells that the caller holds tokens that another entry host delivered.
	resumed bool
}

// run asks owners until one carries the request to its end.
func (j *job) run(ctx context.Context) *resultcode.Result {
	for {
		if result := j.checkEnded(ctx); result != nil {
			return result
		}
		if result := j.pickOwner(ctx); result != nil {
			return result
		}
		result := j.relay(ctx)
		if final := j.prepareRetry(ctx, result); final != nil {
			return final
		}
	}
}

// checkEnded ends a request whose caller went away or whose deadline passed
// before anything was started.
func (j *job) checkEnded(ctx context.Context) *resultcode.Result {
	if ctx.Err() != nil {
		return resultcode.New(resultcode.Cancelled, "the caller went away")
	}
	deadline := j.request.Deadline
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		if !j.delivery.Generation().IsZero() {
			return resultcode.New(resultcode.DeadlineCut, "the deadline passed after a generation was lost")
		}
		return resultcode.New(resultcode.DeadlinePassed, "the deadline passed before the start")
	}
	return nil
}

// pickOwner picks a backend server and, where needed, binds the key to it.
func (j *job) pickOwner(ctx context.Context) *resultcode.Result {
	j.attempt++
	now := time.Now()
	target, result := j.Picker.Pick(j.selection(), now)
	if result != nil {
		return j.noOwnerResult(result)
	}
	j.recordAttempt(target)
	j.target = target
	if j.request.Key == "" {
		return nil
	}
	return j.claim(ctx)
}

// selection describes the request to the picker.
func (j *job) selection() Selection {
	return Selection{
		RequestID: j.request.ID,
		Service:   j.request.Service,
		Model:     j.request.Model,
		Class:     j.request.Class,
		Account:   j.request.Account,
		Prompt:    j.request.Prompt,
		Urgent:    j.request.Urgent,
		Refused:   j.refused,
	}
}

// noOwnerResult keeps the refusal of an owner where there was one, since it
// tells the caller more.
func (j *job) noOwnerResult(result *resultcode.Result) *resultcode.Result {
	if j.lastRefusal == nil {
		return result
	}
	if j.lastRefusal.Code.Info().Outcome != resultcode.NotRun {
		return j.lastRefusal
	}
	combined := resultcode.New(j.lastRefusal.Code, "%s; after %d attempts: %s",
		j.lastRefusal.Reason, j.attempt-1, result.Reason)
	retryAt := j.lastRefusal.RetryAt
	if retryAt.Before(result.RetryAt) {
		retryAt = result.RetryAt
	}
	return combined.WithRetryAt(retryAt)
}

// prepareRetry prepares for another attempt after the result, or returns the final
// result. A request that is given up on gets its final result at once.
func (j *job) prepareRetry(ctx context.Context, result *resultcode.Result) *resultcode.Result {
	j.refused[j.target.Backend] = true
	j.notePossibleRun(result)
	if !j.mayRetry(result) {
		return result
	}
	decision := j.Picker.Retry(retrybudget.Attempt{
		Count:      j.attempt,
		Outcome:    outcomeOf(result),
		Repeatable: j.request.Repeatable,
		OthersLeft: true,
		RetryAt:    result.RetryAt,
		Deadline:   j.request.Deadline,
	}, time.Now())
	switch d := decision.(type) {
	case retrybudget.Retry:
		j.lastRefusal = result
		j.Metrics.CountRetry()
		waitUntil(ctx, d.At)
		return nil
	case retrybudget.NoRetry:
		return j.noRetryResult(result, d)
	default:
		return result
	}
}

// noRetryResult adds to the result why no other attempt is made.
func (j *job) noRetryResult(result *resultcode.Result, decision retrybudget.NoRetry) *resultcode.Result {
	final := resultcode.New(result.Code, "%s; given up after %d attempts: %s", result.Reason, j.attempt, decision.Reason)
	retryAt := result.RetryAt
	if retryAt.Before(decision.RetryAt) {
		retryAt = decision.RetryAt
	}
	return final.WithRetryAt(retryAt)
}

func outcomeOf(result *resultcode.Result) retrybudget.Outcome {
	if result.Code.Info().Outcome == resultcode.NotRun {
		return retrybudget.OutcomeNotRun
	}
	return retrybudget.OutcomeUnknown
}

// mayRetry tells whether another owner may be asked after the result.
func (j *job) mayRetry(result *resultcode.Result) bool {
	info := result.Code.Info()
	switch info.Outcome {
	case resultcode.NotRun:
		return info.Repeat == resultcode.RepeatSafe && result.Code != resultcode.DeadlinePassed
	case resultcode.Unknown:
		return j.mayRegenerate(result.Code)
	default:
		return false
	}
}

// mayRegenerate tells whether a new generation may replace a lost one: only for a
// repeatable request of which nothing left the entry host.
func (j *job) mayRegenerate(code resultcode.Code) bool {
	if !j.request.Repeatable || j.resumed {
		return false
	}
	switch code {
	case resultcode.GenerationLost, resultcode.OwnerSilent, resultcode.EngineFailed, resultcode.NotHeld, resultcode.DrainCut, resultcode.ReplyLost:
	default:
		return false
	}
	if j.delivery.Next() > 0 && !j.request.Whole {
		return false
	}
	j.delivery = &delivery.Delivery{RequestID: j.request.ID}
	return true
}

// recordAttempt records the choice of the target.
func (j *job) recordAttempt(target Target) {
	if j.attempt > 1 && j.lastRefusal != nil {
		j.record(explanation.Retried{
			Attempt: uint32(j.attempt),
			Backend: j.target.Backend,
			Reason:  j.lastRefusal.Error(),
		})
	}
	j.record(explanation.Routed{
		Backend:    target.Backend,
		Reason:     target.Reason,
		Candidates: target.Candidates,
	})
}

// record adds a decision about the request.
func (j *job) record(decision explanation.Decision) {
	j.Records.Record(j.request.ID, decision)
}

// recordDisturbed records a refusal, a dead path or a rejected frame.
func (j *job) recordDisturbed(reason string) {
	j.record(explanation.Disturbed{Backend: j.target.Backend, Reason: reason})
}

// finish records the final result. A complete answer earns retry budget.
func (j *job) finish(result *resultcode.Result) {
	j.record(result.RecordEnd(j.delivery.Next(), j.attempt))
	if result.Code.Info().Outcome == resultcode.Complete {
		j.Picker.Succeeded(time.Now())
	}
}
