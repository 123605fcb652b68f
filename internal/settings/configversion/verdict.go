package configversion

import "fmt"

// Verdict is the decision of the fold on one record.
type Verdict interface {
	fmt.Stringer
	verdict()
}

// Accepted means that the record put a new version in force.
type Accepted struct {
	Version uint64
}

// Conflicting means that the version in force was not the one that the record
// replaces.
type Conflicting struct {
	// Replaces is the version that the record replaces.
	Replaces uint64
	// InForce is the version in force at the offset of the record.
	InForce uint64
	// Winner is the ID of the record that put InForce in force, and Author its
	// author.
	Winner string
	Author string
}

// Repeated means that the record is valid and puts no new version in force, because its
// content was already folded.
type Repeated struct{}

// Void means that the record is invalid and has no effect.
type Void struct {
	Reason error
}

// Undecided means that a newer program has written the record in a format that this
// program does not support. The fold stops before the record.
type Undecided struct {
	Reason error
}

func (Accepted) verdict()    {}
func (Conflicting) verdict() {}
func (Repeated) verdict()    {}
func (Void) verdict()        {}
func (Undecided) verdict()   {}

// String returns the verdict as text for a log line.
func (v Accepted) String() string { return fmt.Sprintf("accepted as version %d", v.Version) }

// String returns the verdict as text for a log line.
func (v Conflicting) String() string {
	return fmt.Sprintf("conflict: replaces version %d, in force was %d of %s", v.Replaces, v.InForce, v.Winner)
}

// String returns the verdict as text for a log line.
func (Repeated) String() string { return "repeated" }

// String returns the verdict as text for a log line.
func (v Void) String() string { return fmt.Sprintf("void: %v", v.Reason) }

// String returns the verdict as text for a log line.
func (v Undecided) String() string { return fmt.Sprintf("undecided: %v", v.Reason) }
