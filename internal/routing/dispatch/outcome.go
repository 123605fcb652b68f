package dispatch

import "github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"

// mayHaveRun takes note of an attempt that may have run; the newest one counts.
// A request whose key is bound needs no note, since only a recorded refusal of
// the bound incarnation makes it move on.
func (j *journey) mayHaveRun(result *resultcode.Result) {
	if j.permit == nil && result.Code.Info().Outcome == resultcode.Unknown {
		j.unsure = result
	}
}

// truthful replaces a final "not run" where an earlier attempt may have run.
func (j *journey) truthful(result *resultcode.Result) *resultcode.Result {
	if j.unsure == nil || result.Code.Info().Outcome != resultcode.NotRun {
		return result
	}
	return resultcode.New(j.unsure.Code, "%s; then %s", j.unsure.Reason, result.Error()).
		WithRetryAt(result.RetryAt)
}

// brokenOff is what is known of an attempt whose path broke after it was sent.
func (j *journey) brokenOff(cause error) *resultcode.Result {
	return resultcode.New(resultcode.OwnerSilent, "the path to %s broke: %v", j.target.Backend, cause)
}
