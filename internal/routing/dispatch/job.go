package dispatch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// maxEngineFailures is the number of engines that may fail before the first token of a request,
// after which it is not sent to another one: they may crash because of the request.
const maxEngineFailures = 2

// job is the state of one request on its entry host. It is used by one goroutine.
type job struct {
	*Runner

	request  Request
	sink     Sink
	delivery *delivery.Delivery
	// target is the owner of the current attempt.
	target Target
	// permit is set once the key is bound; target is then the backend server that
	// the permit names.
	permit *message.Permit
	// refused holds the names of the backend servers on which an attempt failed.
	refused map[string]bool
	// attempt is the number of the current attempt, from 1.
	attempt int
	// lastFailure is the result of the last attempt that was followed by a retry.
	lastFailure *resultcode.Result
	// unknownResult is the result of the last attempt that may have run, or nil if
	// none has.
	unknownResult *resultcode.Result
	// engineFailures is the number of engines that failed before the first token.
	engineFailures int
	// connectedAt is the time at which the current connection was opened.
	connectedAt time.Time
	// traits are what other requests may have in common with this one.
	traits []string
	// trial is set when the request is sent although one of its traits is quarantined.
	trial bool
	// resumed is set when the request continues an earlier delivery, so that the
	// caller may already hold tokens.
	resumed bool
}

// run makes attempts until one yields the final result.
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

// checkEnded returns the final result of a request whose caller disconnected, whose
// deadline passed before the next attempt or which the end of the process cuts, or nil
// if the request continues.
func (j *job) checkEnded(ctx context.Context) *resultcode.Result {
	if transport.Stopped(ctx) {
		return leavingResult()
	}
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

// pickOwner picks a backend server and, if the request has an idempotency key,
// binds the key to it. It returns nil if the job has a target, otherwise the
// final result.
func (j *job) pickOwner(ctx context.Context) *resultcode.Result {
	if result := j.checkQuarantine(); result != nil {
		return result
	}
	j.attempt++
	for {
		target, result := j.Picker.Pick(j.selection(), time.Now())
		if result != nil {
			return j.noOwnerResult(result)
		}
		j.recordAttempt(target)
		j.target = target
		if j.request.Key == "" {
			return nil
		}
		leaving, refusal := j.probeIncarnation(ctx)
		if refusal != nil {
			return refusal
		}
		if !leaving {
			return j.claim(ctx)
		}
		// The process may end before the request reaches it, which would spend the key.
		j.refused[target.Backend] = true
	}
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

// noOwnerResult returns the result of a request for which no backend server is
// left. If an earlier attempt failed, its result is returned, since it says more
// than the lack of a backend server.
func (j *job) noOwnerResult(result *resultcode.Result) *resultcode.Result {
	if j.lastFailure == nil {
		return result
	}
	if j.lastFailure.Code.Info().Outcome != resultcode.NotRun {
		return j.lastFailure
	}
	combined := resultcode.New(j.lastFailure.Code, "%s; after %d attempts: %s",
		j.lastFailure.Reason, j.attempt-1, result.Reason)
	retryAt := j.lastFailure.RetryAt
	if retryAt.Before(result.RetryAt) {
		retryAt = result.RetryAt
	}
	return combined.WithRetryAt(retryAt)
}

// prepareRetry waits for the time of the next attempt and returns nil, or returns
// the final result without delay if there is no other attempt.
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
		// Only the next pick finds out whether another backend server is left.
		OthersLeft: true,
		RetryAt:    result.RetryAt,
		Deadline:   j.request.Deadline,
	}, time.Now())
	switch d := decision.(type) {
	case retrybudget.Retry:
		j.lastFailure = result
		j.Metrics.CountRetry()
		waitUntil(ctx, d.At)
		return nil
	case retrybudget.NoRetry:
		return j.noRetryResult(result, d)
	default:
		return result
	}
}

// noRetryResult adds to the result of the last attempt why the request is not
// retried.
func (j *job) noRetryResult(result *resultcode.Result, decision retrybudget.NoRetry) *resultcode.Result {
	final := resultcode.New(result.Code, "%s; given up after %d attempts: %s", result.Reason, j.attempt, decision.Reason)
	retryAt := result.RetryAt
	if retryAt.Before(decision.RetryAt) {
		retryAt = decision.RetryAt
	}
	return final.WithRetryAt(retryAt)
}

// outcomeOf maps the outcome of a result to that of a failed attempt.
func outcomeOf(result *resultcode.Result) retrybudget.Outcome {
	if result.Code.Info().Outcome == resultcode.NotRun {
		return retrybudget.OutcomeNotRun
	}
	return retrybudget.OutcomeUnknown
}

// mayRetry reports whether the request may be sent to another owner after the
// result.
func (j *job) mayRetry(result *resultcode.Result) bool {
	info := result.Code.Info()
	switch info.Outcome {
	case resultcode.NotRun:
		return info.Repeat == resultcode.RepeatSafe && result.Code != resultcode.DeadlinePassed
	case resultcode.Unknown:
		return j.mayRegenerate(result.Code) && !j.suspected()
	default:
		return false
	}
}

// mayRegenerate reports whether a new generation may replace a lost one, and
// discards the tokens of the lost one if so. It requires an idempotent request of
// which no token has left the entry host.
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
	if code == resultcode.EngineFailed && j.delivery.Next() == 0 {
		j.engineFailures++
	}
	if j.engineFailures >= maxEngineFailures {
		return false
	}
	j.delivery = &delivery.Delivery{RequestID: j.request.ID}
	return true
}

// recordAttempt records the choice of the target.
func (j *job) recordAttempt(target Target) {
	if j.attempt > 1 && j.lastFailure != nil {
		j.record(explanation.Retried{
			Attempt: uint32(j.attempt),
			Backend: j.target.Backend,
			Reason:  j.lastFailure.Error(),
		})
	}
	j.record(explanation.Routed{
		Backend:    target.Backend,
		Reason:     target.Reason,
		Candidates: target.Candidates,
	})
}

// record writes a decision record of the request.
func (j *job) record(decision explanation.Decision) {
	j.Records.Record(j.request.ID, decision)
}

// recordDisturbed records a refusal, a broken path, a rejected frame or a failed
// cancellation.
func (j *job) recordDisturbed(reason string) {
	j.record(explanation.Disturbed{Backend: j.target.Backend, Reason: reason})
}

// finish records the final result. A complete answer adds to the retry budget.
func (j *job) finish(result *resultcode.Result) {
	j.record(result.RecordEnd(j.delivery.Next(), j.attempt))
	if result.Code.Info().Outcome == resultcode.Complete {
		j.Picker.Succeeded(time.Now())
	}
}
