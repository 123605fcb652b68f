package dispatch

import "github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"

// notePossibleRun takes note of an attempt that may have run; the newest one counts.
// A request whose key is bound needs no note, since only a recorded refusal of
// the bound incarnation makes it move on.
func (j *job) notePossibleRun(result *resultcode.Result) {
	if j.permit == nil && result.Code.Info().Outcome == resultcode.Unknown {
		j.unknownResult = result
	}
}

// keepUnknown replaces a final "not run" where an earlier attempt may have run.
func (j *job) keepUnknown(result *resultcode.Result) *resultcode.Result {
	if j.unknownResult == nil || result.Code.Info().Outcome != resultcode.NotRun {
		return result
	}
	return resultcode.New(j.unknownResult.Code, "%s; then %s", j.unknownResult.Reason, result.Error()).
		WithRetryAt(result.RetryAt)
}

// brokenPath is what is known of an attempt whose path broke after it was sent.
func (j *job) brokenPath(cause error) *resultcode.Result {
	return resultcode.New(resultcode.OwnerSilent, "the path to %s broke: %v", j.target.Backend, cause)
}
