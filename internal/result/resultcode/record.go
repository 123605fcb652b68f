package resultcode

import "github.com/fulmarvalve/fulmarvalve/internal/records/explanation"

// Record returns the decision record of a refusal.
func (r *Result) Record() explanation.Refused {
	return explanation.Refused{
		Code:    uint32(r.Code),
		Reason:  r.Reason,
		RetryAt: r.RetryAt,
	}
}

// RecordEnd returns the decision record of a final result.
func (r *Result) RecordEnd(tokens uint64, attempts int) explanation.Ended {
	return explanation.Ended{
		Code:     uint32(r.Code),
		Outcome:  string(r.Code.Info().Outcome),
		Reason:   r.Reason,
		Tokens:   tokens,
		Attempts: uint32(attempts),
	}
}
