// Package replay keeps the answers of one backend server in memory, so that a caller
// whose connection broke can read its answer again from any position.
//
// Buffer holds a record of each request ID from its start or refusal until the ID
// expires, so that no request runs twice on the server during one incarnation (one
// run of the owner process). Start, Append, Progress and Finish write an answer;
// Read and Wait read it.
package replay

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Errors that the methods of Buffer return.
var (
	// ErrUnknown means that the request never started here, or that its ID has
	// expired since.
	ErrUnknown = errors.New("request is unknown")
	// ErrEvicted means that the request ran, but its answer was evicted.
	ErrEvicted = errors.New("answer was evicted")
	// ErrExpired means that the request ID had expired before the request started.
	ErrExpired = errors.New("request is expired")
	// ErrFull means that another request would exceed MaxBytes. Its text is part of
	// the refusal that the caller receives.
	ErrFull = errors.New("logbook is full")
	// ErrGap means that tokens between the stored and the appended ones are
	// missing.
	ErrGap = errors.New("tokens are missing")
	// ErrDiverged means that an appended token differs from the stored token at the
	// same position.
	ErrDiverged = errors.New("repeated token differs")
	// ErrClosed means that the request has ended or was refused.
	ErrClosed = errors.New("request has ended")
	// ErrOutOfRange means that a position lies beyond the tokens produced so far.
	ErrOutOfRange = errors.New("position lies past the answer")
)

// Estimated memory overhead of each record and of each token, in bytes, in addition
// to the request ID and the texts.
const (
	recordOverheadBytes = 512
	tokenOverheadBytes  = 16
)

// Buffer holds the requests of one incarnation and their answers. It starts each
// request ID at most once. It is safe for concurrent use.
type Buffer struct {
	// Backend is the name of the backend server.
	Backend string
	// Incarnation is the incarnation of this process.
	Incarnation uint64
	// MaxBytes is the memory use above which no request starts. Running answers
	// are never truncated, so they may exceed it.
	MaxBytes int64

	mu sync.Mutex
	// records holds the started and the refused requests by ID. None of them may
	// start again.
	records map[string]*record
	// deadlines holds the records that are not open, ordered by dueAt.
	deadlines deadlineHeap
	// fullyRead lists the ended answers that were read to their end, the first read
	// first. Only these may be evicted before their deadline.
	fullyRead list.List
	// sequence is the sequence number of the latest generation.
	sequence uint64
	// bytes is the estimated memory use of all records. It is written only while mu
	// is held.
	bytes atomic.Int64
}

// Generation returns the message that identifies a generation of this incarnation.
func (b *Buffer) Generation(sequence uint64) *message.Generation {
	return &message.Generation{
		Backend:     b.Backend,
		Incarnation: b.Incarnation,
		Sequence:    sequence,
	}
}
