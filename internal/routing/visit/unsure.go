package visit

import "github.com/fulmarvalve/fulmarvalve/internal/result/receipt"

// mayHaveRun takes note of an attempt that may have run; the newest one counts.
// A request whose key is bound needs no note, since only a recorded refusal of
// the bound incarnation makes it move on.
func (j *journey) mayHaveRun(result *receipt.Result) {
	if j.permit == nil && result.Code.Info().Outcome == receipt.Unknown {
		j.unsure = result
	}
}

// truthful replaces a final "not run" where an earlier attempt may have run.
func (j *journey) truthful(result *receipt.Result) *receipt.Result {
	if j.unsure == nil || result.Code.Info().Outcome != receipt.NotRun {
		return result
	}
	return receipt.New(j.unsure.Code, "%s; then %s", j.unsure.Reason, result.Error()).
		WithRetryAt(result.RetryAt)
}

// brokenOff is what is known of an attempt whose path broke after it was sent.
func (j *journey) brokenOff(cause error) *receipt.Result {
	return receipt.New(receipt.OwnerSilent, "the path to %s broke: %v", j.target.Backend, cause)
}
