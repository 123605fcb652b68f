// Package resultcode defines the numbered result codes. A code states whether the
// request was executed, whether a retry is safe and whether a retry time is given.
package resultcode

import (
	"fmt"
	"time"
)

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request.
const (
	// Complete means that the whole answer was delivered.
	Complete Outcome = "Complete"
	// NotRun means that nothing was executed. It is reported only by a process
	// that can be certain of it.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have been executed, in part or in full.
	Unknown Outcome = "Unknown"
)

// Repeat states whether a caller may retry the same request.
type Repeat string

// Values of Repeat.
const (
	// RepeatSafe means that the request may be retried unchanged.
	RepeatSafe Repeat = "Safe"
	// RepeatWithKey means that an idempotent request may be retried, and any
	// other one only with the same idempotency key.
	RepeatWithKey Repeat = "SameKey"
	// RepeatNever means that a retry of the same request has the same result.
	RepeatNever Repeat = "Never"
)

// Code is the number of a result.
type Code uint32

// Info describes one result code.
type Info struct {
	Code Code
	// Name is unique and never changes once released.
	Name    string
	Outcome Outcome
	Repeat  Repeat
	// HTTPStatus is the status of the response if the result is known before the
	// answer has started.
	HTTPStatus int
	// HasRetryAt reports whether the result has a retry time.
	HasRetryAt bool
	// Text is a short description for people.
	Text string
}

// Info returns the description of the code. A code that is not in the table has an
// unknown outcome.
func (c Code) Info() Info {
	for _, info := range table {
		if info.Code == c {
			return info
		}
	}
	return Info{
		Code:       c,
		Name:       fmt.Sprintf("Code%d", uint32(c)),
		Outcome:    Unknown,
		Repeat:     RepeatWithKey,
		HTTPStatus: internalError,
		Text:       "The result code is not known to this version.",
	}
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// Table returns all result codes in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}

// Result is the final result of a request. It implements error, but a result with
// the outcome Complete is not a failure.
type Result struct { //nolint:errname // a result may also be a success
	Code   Code
	Reason string
	// RetryAt is the earliest useful retry time. Zero means that none is known.
	RetryAt time.Time
	// Recorded means that the owner has recorded that it will never run the
	// request, so that the idempotency key may be bound to another owner.
	Recorded bool
}

// New returns a result with a formatted reason.
func New(code Code, format string, args ...any) *Result {
	return &Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAt returns a copy of the result with a retry time.
func (r *Result) WithRetryAt(t time.Time) *Result {
	c := *r
	c.RetryAt = t
	return &c
}

// WithRecorded returns a copy of the result that is marked as recorded by the
// owner.
func (r *Result) WithRecorded() *Result {
	c := *r
	c.Recorded = true
	return &c
}

// Error returns the name of the code and the reason.
func (r *Result) Error() string {
	return fmt.Sprintf("%s (%d): %s", r.Code, uint32(r.Code), r.Reason)
}

// RetryAfterSeconds returns the time from now until RetryAt in seconds, rounded up
// and at least 1, and reports whether RetryAt is set.
func (r *Result) RetryAfterSeconds(now time.Time) (int, bool) {
	if r.RetryAt.IsZero() {
		return 0, false
	}
	seconds := int((r.RetryAt.Sub(now) + time.Second - 1) / time.Second)
	return max(1, seconds), true
}
