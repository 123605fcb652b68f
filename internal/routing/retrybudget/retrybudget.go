// Package retrybudget decides whether and when a failed attempt is retried, so
// that the failure of a backend server, a rack or an availability zone does not
// cause a retry storm. It takes the current time as an argument and does no I/O.
package retrybudget

import (
	"time"

	"golang.org/x/time/rate"
)

// Rules bound the retries of one service.
type Rules struct {
	// SuccessPermille is the number of retries allowed for each thousand
	// successful requests.
	SuccessPermille int
	// BurstRetries is the maximum number of unused retries in the budget.
	BurstRetries int
	// MinRetriesPerSecond is the rate of retries that is always allowed, so that
	// an entry host with little traffic can retry at all.
	MinRetriesPerSecond int
	// AttemptLimit is the maximum number of attempts of one request, including
	// the first.
	AttemptLimit int
	// InitialIntervalMillis is the backoff after the first attempt. With each further
	// attempt, the backoff grows by the factor backoffMultiplier. The wait is random,
	// between half of the backoff and all of it.
	InitialIntervalMillis int
	// MaxIntervalMillis is the maximum backoff.
	MaxIntervalMillis int
}

// DefaultRules returns the rules of a service without configured retries.
func DefaultRules() Rules {
	return Rules{
		SuccessPermille:       200,
		BurstRetries:          50,
		MinRetriesPerSecond:   1,
		AttemptLimit:          5,
		InitialIntervalMillis: 50,
		MaxIntervalMillis:     5000,
	}
}

// Budget limits the retries that an entry host makes for one service. Rules is
// set before first use. A Budget is not safe for concurrent use.
type Budget struct {
	// Rules bound the retries.
	Rules Rules

	// balance holds the unused retries in thousandths of a retry, at most
	// Rules.BurstRetries.
	balance int
	// minRate allows Rules.MinRetriesPerSecond when the balance is empty. It is
	// nil before its first use.
	minRate *rate.Limiter
}

// Outcome states whether a failed attempt may have run.
type Outcome int

// Outcomes of a failed attempt.
const (
	// OutcomeNotRun means that the attempt certainly did not start.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
)

// Attempt is the last, failed attempt of a request.
type Attempt struct {
	// Count is the number of attempts so far, including this one.
	Count int
	// Outcome states whether the attempt may have run.
	Outcome Outcome
	// Repeatable reports whether the request is idempotent, so that it may run
	// more than once.
	Repeatable bool
	// OthersLeft reports whether there is a backend server that the request has
	// not been sent to.
	OthersLeft bool
	// RetryAt is the earliest useful retry time that the refusal stated. Zero
	// means that it stated none.
	RetryAt time.Time
	// Deadline is the deadline of the request. Zero means that it has none.
	Deadline time.Time
}

// Decision is the outcome for a failed attempt, either Retry or NoRetry.
type Decision interface {
	decision()
}

// Retry allows one more attempt.
type Retry struct {
	// At is the time of the next attempt.
	At time.Time
}

// NoRetry ends the request without another attempt.
type NoRetry struct {
	// Reason is why there is no other attempt.
	Reason Reason
	// RetryAt is the earliest time at which the caller should retry the request.
	// It is zero if the request must not be retried.
	RetryAt time.Time
}

func (Retry) decision()   {}
func (NoRetry) decision() {}

// Reason is why a request is not retried.
type Reason int

// Reasons against a retry, in the order in which they are checked.
const (
	// ReasonNotRepeatable means that the attempt may have run and the request
	// must not run twice.
	ReasonNotRepeatable Reason = iota + 1
	// ReasonAttempts means that the request has reached Rules.AttemptLimit.
	ReasonAttempts
	// ReasonDeadline means that the next attempt would not start before the
	// deadline.
	ReasonDeadline
	// ReasonBudget means that the entry host's retry budget is exhausted.
	ReasonBudget
)

// String returns the name of the reason in Pascal case.
func (r Reason) String() string {
	switch r {
	case ReasonNotRepeatable:
		return "NotRepeatable"
	case ReasonAttempts:
		return "Attempts"
	case ReasonDeadline:
		return "Deadline"
	case ReasonBudget:
		return "Budget"
	default:
		return "Unknown"
	}
}
