// Package journal is the client of the platform's append-only log. The log consists of
// named streams of records. Retention drops the oldest records of a stream.
package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable means that the log could not be reached or is unavailable. An append that
// fails with it may still have taken effect.
var ErrUnavailable = errors.New("log is unavailable")

// ErrThrottled means that the log's rate limit refused the call. Nothing was appended.
var ErrThrottled = errors.New("log refused by its rate limit")

// ErrRefused means that the log refused the call because of its content, such as a record
// that is too large. Nothing was appended.
var ErrRefused = errors.New("log refused the call")

// ErrUnknown means that the outcome of an append is unknown, for example because the
// response was lost. The append may have taken effect.
var ErrUnknown = errors.New("outcome of the append is unknown")

// Record is one record of a stream.
type Record struct {
	// Offset is the position of the record in its stream. Offsets count from 1,
	// without gaps.
	Offset uint64
	// AppendedAt is when the record was appended, by the log's clock.
	AppendedAt time.Time
	// Data is the content of the record.
	Data []byte
}

// Page is a sequence of consecutive records of one stream.
type Page struct {
	// Records are sorted by offset, without gaps.
	Records []Record
	// First is the offset of the oldest retained record. It is equal to Next when no
	// record is retained.
	First uint64
	// Next is the offset of the next record that will be appended.
	Next uint64
}

// Log is an append-only log of named streams.
type Log interface {
	// Append appends one record to the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most limit records, beginning at the offset from, or at the
	// oldest retained record when that is later. It does not wait for records.
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}
