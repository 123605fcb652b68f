package configversion

import "fmt"

// ConflictError means that another change was accepted first. The rejected change was
// not applied and never will be.
type ConflictError struct {
	// Replaces is the version that the rejected change was to replace.
	Replaces uint64
	// InForce is the version that is in force instead.
	InForce uint64
	// Winner is the ID of the change that put InForce in force, and Author its
	// author.
	Winner string
	Author string
}

// Error returns the text, which names the change that was accepted first.
func (e *ConflictError) Error() string {
	if e.InForce == 0 {
		return fmt.Sprintf("version %d cannot be replaced: no version is in force", e.Replaces)
	}
	return fmt.Sprintf("version %d cannot be replaced: version %d of %s is in force (change %s)",
		e.Replaces, e.InForce, e.Author, e.Winner)
}

// UnknownOutcomeError means that the change may or may not have been applied.
// Publishing it again with the same ID determines the outcome.
type UnknownOutcomeError struct {
	// ID is the ID of the change.
	ID string
	// Cause is the last error.
	Cause error
}

// Error returns the text, which names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the last error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
