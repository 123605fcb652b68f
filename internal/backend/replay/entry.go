package replay

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Entry is what is known of one request at one moment.
type Entry struct {
	RequestID string
	// Sequence of the request's generation, from 1. Zero when refused.
	Sequence uint64
	// Position counts the tokens produced.
	Position uint64
	State    State
}

// State of a request. It is sealed: the types in this file are all there are.
type State interface{ state() }

// Open is the state of a request that has not ended.
type Open struct {
	// Progress on the engine.
	Progress message.GenerationState
}

// Ended is the state of a request whose answer is held whole.
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
	// Code and Reason that the request ended with.
	Code   uint32
	Reason string
}

func (Open) state()    {}
func (Ended) state()   {}
func (Refused) state() {}
func (Evicted) state() {}

// Chunk is a part of an answer.
type Chunk struct {
	// Position of the first token of Texts.
	Position uint64
	// Texts of the tokens; it must not be changed.
	Texts []string
	// Entry at the time of the query.
	Entry Entry
	// More tells that the request is open, so further tokens may follow.
	More bool
	// Changed is closed at the next change of an open request, nil otherwise.
	Changed <-chan struct{}
}
