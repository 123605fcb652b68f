package replay

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Entry is a snapshot of one request.
type Entry struct {
	RequestID string
	// Sequence is the sequence number of the request's generation, counted from 1.
	// It is zero if the request was refused.
	Sequence uint64
	// Position is the number of tokens produced.
	Position uint64
	State    State
}

// State is the state of a request: Open, Ended, Refused or Evicted.
type State interface{ state() }

// Open is the state of a request that has not ended.
type Open struct {
	// Progress is the state of the request on the engine.
	Progress message.GenerationState
}

// Ended is the state of a request that has ended and whose texts are still held.
type Ended struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
	// EvictAt is the time at which the texts are dropped.
	EvictAt time.Time
}

// Refused is the state of a request that never ran here and never will.
type Refused struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
}

// Evicted is the state of a request that ran and whose texts were dropped.
type Evicted struct {
	// Code is the result code with which the request ended.
	Code   uint32
	Reason string
}

func (Open) state()    {}
func (Ended) state()   {}
func (Refused) state() {}
func (Evicted) state() {}

// Chunk is a part of an answer.
type Chunk struct {
	// Position is the position of the first token of Texts.
	Position uint64
	// Texts holds the texts of the tokens. It must not be modified.
	Texts []string
	// Entry is the request's entry at the time of the query.
	Entry Entry
	// More reports whether the request is open, so that further tokens may follow.
	More bool
	// Changed is closed at the next change of an open request. It is nil if the
	// request is not open.
	Changed <-chan struct{}
}
