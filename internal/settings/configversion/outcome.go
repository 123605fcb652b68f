package configversion

import "fmt"

// ConflictError says that another change came first. The change that met it
// was not applied and never will be.
type ConflictError struct {
	// Replaces is the version that the change named.
	Replaces uint64
	// InForce is the version in force in its place.
	InForce uint64
	// Winner is the ID of the change that put InForce in force, and Author who
	// published it.
	Winner string
	Author string
}

// Error names the change that came first.
func (e *ConflictError) Error() string {
	if e.InForce == 0 {
		return fmt.Sprintf("version %d cannot be replaced: no version is in force", e.Replaces)
	}
	return fmt.Sprintf("version %d cannot be replaced: version %d of %s is in force (change %s)",
		e.Replaces, e.InForce, e.Author, e.Winner)
}

// UnknownOutcomeError says that the change may or may not have been applied.
// Publishing it again under the same ID finds out.
type UnknownOutcomeError struct {
	// ID names the change.
	ID string
	// Cause is the last failure.
	Cause error
}

// Error names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
