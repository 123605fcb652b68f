// Package journal is the client of the platform's append-only log.
package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable says that the log is down. An append that fails with it may
// still have taken effect.
var ErrUnavailable = errors.New("log is unavailable")

// ErrThrottled says that the rate limit refused the call: certainly not appended.
var ErrThrottled = errors.New("log refused by its rate limit")

// ErrRefused says that the log refused the call for what it holds, such as a
// record that is too large: certainly not appended.
var ErrRefused = errors.New("log refused the call")

// ErrUnknown says that the answer was lost: the append may or may not have
// taken effect.
var ErrUnknown = errors.New("outcome of the append is unknown")

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place in its stream, from 1, without holes.
	Offset uint64
	// AppendedAt is when the log took the record, by the log's clock.
	AppendedAt time.Time
	// Data is what was appended.
	Data []byte
}

// Page is a run of records of one stream.
type Page struct {
	// Records are in order of offset, without holes.
	Records []Record
	// First is the oldest retained offset; equal to Next when none is retained.
	First uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// Log is an append-only log of named streams.
type Log interface {
	// Append adds one record to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most limit records from offset from on, at once. A from
	// below First starts at First.
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}
