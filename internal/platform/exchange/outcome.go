package exchange

// OutcomeError is the error of a failed exchange. It combines what is known of the
// outcome with the cause.
type OutcomeError struct {
	// Kind is the exported error of a client package that describes the outcome.
	Kind error
	// Cause is the error that made the exchange fail.
	Cause error
}

// Error returns both messages.
func (e *OutcomeError) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns both errors, so that errors.Is matches either.
func (e *OutcomeError) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}

// NewOutcomeError returns an OutcomeError, which errors.Is matches with both kind and
// cause.
func NewOutcomeError(kind, cause error) error {
	return &OutcomeError{Kind: kind, Cause: cause}
}
