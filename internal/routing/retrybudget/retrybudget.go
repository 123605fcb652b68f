// Package retrybudget decides whether and when a failed attempt is repeated, so
// that the loss of a backend server, a rack or an availability zone does not
// turn into a storm of retries. It holds no clock and does no I/O.
package retrybudget

import (
	"time"

	"golang.org/x/time/rate"
)

// Rules bound the retries of one service.
type Rules struct {
	// SuccessPermille is the share of successes that may be spent on retries.
	SuccessPermille int
	// BurstRetries bounds the retries that can be saved up.
	BurstRetries int
	// MinRetriesPerSecond is the rate of retries that is always allowed, so that an
	// entry host with little traffic can retry at all.
	MinRetriesPerSecond int
	// AttemptLimit bounds the attempts of one request, the first included.
	AttemptLimit int
	// InitialIntervalMillis is the first interval between two attempts.
	InitialIntervalMillis int
	// MaxIntervalMillis bounds the interval.
	MaxIntervalMillis int
}

// DefaultRules returns the rules of a service that states none.
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

// Budget holds the retries that an entry host may still spend on one service.
// Rules is set before first use. A Budget is not safe for concurrent use.
type Budget struct {
	// Rules bound the retries.
	Rules Rules

	// balance is the balance in thousandths of a retry, at most the burst.
	balance int
	minRate *rate.Limiter
}

// Outcome is what is known of a failed attempt.
type Outcome int

// Outcomes of a failed attempt.
const (
	// OutcomeNotRun is given when the attempt certainly did not start.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown is given when it may have run.
	OutcomeUnknown
)

// Attempt is a failed attempt of one request.
type Attempt struct {
	// Count counts the attempts so far, from 1.
	Count int
	// Outcome is what is known of the last one.
	Outcome Outcome
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// OthersLeft tells whether a backend server is left that was not tried.
	OthersLeft bool
	// RetryAt is when the last one was told to come back. Zero means not told.
	RetryAt time.Time
	// Deadline is when the caller gives up. Zero means never.
	Deadline time.Time
}

// Decision is the outcome for a failed attempt: Retry or GiveUp.
type Decision interface {
	decision()
}

// Retry allows one more attempt.
type Retry struct {
	// At is the time of the attempt.
	At time.Time
}

// NoRetry ends the request.
type NoRetry struct {
	// Reason tells why.
	Reason Reason
	// RetryAt is when the caller should come back.
	RetryAt time.Time
}

func (Retry) decision()   {}
func (NoRetry) decision() {}

// Reason tells why a request is not attempted again.
type Reason int

// Reasons for giving up, in the order in which they are tested.
const (
	// ReasonNotRepeatable is given when the attempt may have run and must not
	// run twice.
	ReasonNotRepeatable Reason = iota + 1
	// ReasonAttempts is given when the attempts of the request are spent.
	ReasonAttempts
	// ReasonDeadline is given when the caller will be gone by then.
	ReasonDeadline
	// ReasonBudget is given when the entry host's budget is spent.
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
