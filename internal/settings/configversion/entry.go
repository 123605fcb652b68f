package configversion

import (
	"encoding/json"
	"time"
)

// Entry is one record of the stream: a Proposal, a Snapshot or a Restart.
type Entry interface {
	entry()
}

// Proposal asks to put a new version of the operator file in force.
type Proposal struct {
	// ID is unique for each proposal. A proposal that is appended twice keeps
	// its ID, and counts once.
	ID string
	// Author is who published the proposal.
	Author string
	// Replaces is the version that must be in force for the proposal to win.
	Replaces uint64
	// Version is Replaces + 1.
	Version uint64
	// Document is the operator file as JSON.
	Document json.RawMessage
}

// Snapshot states which version is in force after a prefix of the stream.
type Snapshot struct {
	// ID, Author, Version and Document are those of the accepted proposal.
	ID       string
	Author   string
	Version  uint64
	Document json.RawMessage
	// Through is the offset of the last record of the prefix. In the stream it
	// is lower than the snapshot's own offset.
	Through uint64
	// AnchoredAt is when the log took the latest snapshot of the prefix, by the
	// log's clock. It is zero when the prefix holds none.
	AnchoredAt time.Time
}

// Restart puts a version in force on a stream whose history has expired unread.
type Restart struct {
	// ID is unique for each restart.
	ID string
	// Author is who published the restart.
	Author string
	// Version is higher than any that was ever in force.
	Version uint64
	// Document is the operator file as JSON.
	Document json.RawMessage
	// Through is the offset of the last record when the restart was published.
	// In the stream it is lower than the restart's own offset.
	Through uint64
}

func (Proposal) entry() {}

func (Snapshot) entry() {}

func (Restart) entry() {}
