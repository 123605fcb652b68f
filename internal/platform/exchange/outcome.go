package exchange

// OutcomeError is a failed exchange: what it means for the caller, and why.
type OutcomeError struct {
	// Kind is the exported error of the client that names the outcome.
	Kind error
	// Cause is what went wrong.
	Cause error
}

// Error returns both messages.
func (e *OutcomeError) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns both errors, so that errors.Is finds either.
func (e *OutcomeError) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}

// NewOutcomeError returns an error that is both kind and cause.
func NewOutcomeError(kind, cause error) error {
	return &OutcomeError{Kind: kind, Cause: cause}
}
