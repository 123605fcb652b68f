// Package replay holds the answers of one backend server in memory, so that a
// caller whose path broke can read its answer again from any position.
package replay

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Errors of commands and queries.
var (
	// ErrUnknown means that the request never started here, or that its
	// deadline passed since.
	ErrUnknown = errors.New("request is unknown")
	// ErrEvicted means that the request ran and its answer was evicted.
	ErrEvicted = errors.New("answer was evicted")
	// ErrExpired means that the request's deadline passed before it started.
	ErrExpired = errors.New("request is expired")
	// ErrFull means that no further request may start within MaxBytes.
	ErrFull = errors.New("logbook is full")
	// ErrGap means that tokens before the appended ones are missing.
	ErrGap = errors.New("tokens are missing")
	// ErrDiverged means that a repeated token differs from the one held.
	ErrDiverged = errors.New("repeated token differs")
	// ErrClosed means that the request has ended or was refused.
	ErrClosed = errors.New("request has ended")
	// ErrOutOfRange means that a position lies past the tokens of the answer.
	ErrOutOfRange = errors.New("position lies past the answer")
)

// Sizes that an entry is charged with besides its texts, in bytes.
const (
	recordOverheadBytes = 512
	tokenOverheadBytes  = 16
)

// Buffer holds the requests of one incarnation. A request ID is started at
// most once. It is safe for concurrent use.
type Buffer struct {
	// Backend is the name of the backend server.
	Backend string
	// Incarnation of this process.
	Incarnation uint64
	// MaxBytes bounds the memory at which requests still start. Running
	// answers are never cut, so they may grow past it.
	MaxBytes int64

	mu sync.Mutex
	// records holds every request ID that may not start again.
	records map[string]*record
	// deadlines orders the records that are not open.
	deadlines deadlineHeap
	// fullyRead lists the ended answers that were read to their end, oldest
	// first. Only these are evicted before their deadline.
	fullyRead list.List
	// sequence of the generation started last.
	sequence uint64
	// bytes charged for all records. It is written under mu only.
	bytes atomic.Int64
}

// Generation returns the wire identity of a generation of this incarnation.
func (b *Buffer) Generation(sequence uint64) *message.Generation {
	return &message.Generation{
		Backend:     b.Backend,
		Incarnation: b.Incarnation,
		Sequence:    sequence,
	}
}
