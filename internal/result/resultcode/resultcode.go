// Package resultcode defines the numbered result codes: what became of a request,
// whether a repeat is safe and whether it is worth coming back.
package resultcode

import (
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// Complete means that the whole answer was delivered.
	Complete Outcome = "Complete"
	// NotRun means that nothing was executed. Only a process that knows says so.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have been executed, in part or whole.
	Unknown Outcome = "Unknown"
)

// Repeat says when a caller may send the same request again.
type Repeat string

// Advice on repeating a request.
const (
	// RepeatSafe means that the request may be sent again as it is.
	RepeatSafe Repeat = "Safe"
	// RepeatWithKey means that a repeatable request may be sent again, and
	// another one only with the same idempotency key.
	RepeatWithKey Repeat = "SameKey"
	// RepeatNever means that the same request meets the same result.
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
	// HTTPStatus is the status for answers that have not begun.
	HTTPStatus int
	// HasRetryAt tells whether the result carries a time to come back.
	HasRetryAt bool
	// Text is a short sentence for people.
	Text string
}

// Info returns the description of the code. An unlisted code has an unknown
// outcome.
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

// Result is the final result of a request. It is an error unless complete.
type Result struct { //nolint:errname // a result may be complete as well
	Code   Code
	Reason string
	// RetryAt is the earliest useful time to come back; zero means none is known.
	RetryAt time.Time
	// Recorded tells that the owner has recorded that it will never run the
	// request, so that its idempotency key may be bound to another owner.
	Recorded bool
}

// New returns a result with a formatted reason.
func New(code Code, format string, args ...any) *Result {
	return &Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAt returns a copy that carries a time to come back.
func (r *Result) WithRetryAt(t time.Time) *Result {
	c := *r
	c.RetryAt = t
	return &c
}

// WithRecorded returns a copy of a refusal that its owner has recorded.
func (r *Result) WithRecorded() *Result {
	c := *r
	c.Recorded = true
	return &c
}

// Error returns the name of the code and the reason.
func (r *Result) Error() string {
	return fmt.Sprintf("%s (%d): %s", r.Code, uint32(r.Code), r.Reason)
}

// RetryAfterSeconds returns the whole seconds from now until RetryAt, at
// least one, and whether a time to come back is set.
func (r *Result) RetryAfterSeconds(now time.Time) (int, bool) {
	if r.RetryAt.IsZero() {
		return 0, false
	}
	seconds := int((r.RetryAt.Sub(now) + time.Second - 1) / time.Second)
	return max(1, seconds), true
}
