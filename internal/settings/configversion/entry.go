package configversion

import (
	"encoding/json"
	"time"
)

// Entry is one record of the stream: a Proposal, a Snapshot or a Restart.
type Entry interface {
	entry()
}

// Proposal proposes a new version of the operator file.
type Proposal struct {
	// ID is unique for each proposal. A proposal that is appended twice has the
	// same ID in both records, and takes effect at most once.
	ID string
	// Author is the operator who published the proposal.
	Author string
	// Replaces is the version that must be in force for the proposal to be
	// accepted.
	Replaces uint64
	// Version is Replaces + 1.
	Version uint64
	// Document is the operator file as JSON.
	Document json.RawMessage
}

// Snapshot contains the version that is in force after a prefix of the stream.
type Snapshot struct {
	// ID, Author, Version and Document are those of the accepted proposal or
	// restart.
	ID       string
	Author   string
	Version  uint64
	Document json.RawMessage
	// Through is the offset of the last record of the prefix. It is lower than the
	// offset of the snapshot itself.
	Through uint64
	// AnchoredAt is when the latest snapshot in the prefix was appended, by the
	// log's clock. It is zero when the prefix contains none. A restart counts as a
	// snapshot.
	AnchoredAt time.Time
}

// Restart puts a version in force on a stream whose history has expired before the
// readers could fold it.
type Restart struct {
	// ID is unique for each restart.
	ID string
	// Author is the operator who published the restart.
	Author string
	// Version is higher than any version that was ever in force.
	Version uint64
	// Document is the operator file as JSON.
	Document json.RawMessage
	// Through is the offset of the last record of the stream at the time when the
	// restart was published. It is lower than the offset of the restart itself.
	Through uint64
}

func (Proposal) entry() {}

func (Snapshot) entry() {}

func (Restart) entry() {}
