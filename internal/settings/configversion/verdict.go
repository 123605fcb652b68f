package configversion

import "fmt"

// Verdict is what the fold decides about one record.
type Verdict interface {
	fmt.Stringer
	verdict()
}

// Accepted says that the record put a new version in force.
type Accepted struct {
	Version uint64
}

// Conflicting says that the version in force was not the one that the proposal
// replaces.
type Conflicting struct {
	// Replaces is the version that the proposal named.
	Replaces uint64
	// InForce is the version in force at the proposal's place in the log.
	InForce uint64
	// Winner and Author are of the proposal that put InForce in force.
	Winner string
	Author string
}

// Repeated says that the record told nothing new.
type Repeated struct{}

// Void says that the record is invalid and has no effect.
type Void struct {
	Reason error
}

// Undecided says that the record was written by a newer program. The fold
// stops before it.
type Undecided struct {
	Reason error
}

func (Accepted) verdict()    {}
func (Conflicting) verdict() {}
func (Repeated) verdict()    {}
func (Void) verdict()        {}
func (Undecided) verdict()   {}

// String describes the verdict in a log line.
func (v Accepted) String() string { return fmt.Sprintf("accepted as version %d", v.Version) }

// String describes the verdict in a log line.
func (v Conflicting) String() string {
	return fmt.Sprintf("conflict: replaces version %d, in force was %d of %s", v.Replaces, v.InForce, v.Winner)
}

// String describes the verdict in a log line.
func (Repeated) String() string { return "repeated" }

// String describes the verdict in a log line.
func (v Void) String() string { return fmt.Sprintf("void: %v", v.Reason) }

// String describes the verdict in a log line.
func (v Undecided) String() string { return fmt.Sprintf("undecided: %v", v.Reason) }
