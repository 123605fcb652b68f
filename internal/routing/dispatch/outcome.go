package dispatch

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

const (
	// leavingRetryMillis is the delay after which a request that an ending process refuses
	// is retried elsewhere.
	leavingRetryMillis = 1000
	// unreachableRetryMillis is the delay after which a request is retried whose target is not
	// reached or does not answer.
	unreachableRetryMillis = 1000
)

// notePossibleRun keeps the result of the last attempt that may have run. A
// request whose key is bound needs none, since it is retried only after a
// refusal that the bound incarnation has recorded.
func (j *job) notePossibleRun(result *resultcode.Result) {
	if j.permit == nil && result.Code.Info().Outcome == resultcode.Unknown {
		j.unknownResult = result
	}
}

// keepUnknown returns the final result of a request. If the last attempt did not
// run but an earlier one may have, the outcome remains unknown.
func (j *job) keepUnknown(result *resultcode.Result) *resultcode.Result {
	if j.unknownResult == nil || result.Code.Info().Outcome != resultcode.NotRun {
		return result
	}
	return resultcode.New(j.unknownResult.Code, "%s; then %s", j.unknownResult.Reason, result.Error()).
		WithRetryAt(result.RetryAt)
}

// brokenPath returns the result of an attempt whose path broke after the request
// was sent.
func (j *job) brokenPath(cause error) *resultcode.Result {
	return resultcode.New(resultcode.OwnerSilent, "the path to %s broke: %v", j.target.Backend, cause)
}

// notReached returns the result of a request whose target could not be connected to.
func (j *job) notReached(cause error, now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.NoBackend, "%s was not reached: %v", j.target.Backend, cause).
		WithRetryAt(now.Add(unreachableRetryMillis * time.Millisecond))
}

// silent returns the result of a request that its target may have received and does not answer.
func (j *job) silent(cause error, now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.OwnerSilent, "%s does not answer: %v", j.target.Backend, cause).
		WithRetryAt(now.Add(unreachableRetryMillis * time.Millisecond))
}

// stopped returns the result of a request that the end of this process cuts. sent
// reports whether an owner may have received it. A request whose key is bound may also
// have been sent by another entry host, so it is not reported as not run.
func (j *job) stopped(sent bool) *resultcode.Result {
	if sent || j.permit != nil {
		return resultcode.New(resultcode.DrainCut, "the entry host ended before the answer of %s", j.target.Backend)
	}
	return leavingResult()
}

// leavingResult returns the refusal of a request that this process does not send since
// it ends.
func leavingResult() *resultcode.Result {
	return resultcode.New(resultcode.Leaving, "the entry host ends").
		WithRetryAt(time.Now().Add(leavingRetryMillis * time.Millisecond))
}
