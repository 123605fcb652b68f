// Package journal is a stand-in for the platform's append-only log. The log consists of
// streams, whose records have consecutive offsets, and is read in pages. Store holds the
// records in memory and injects faults; Server serves a Store over HTTP.
package journal

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// MaxRecordBytes is the maximum size of one record.
const MaxRecordBytes = 1 << 20

// MaxPageRecords is the maximum number of records on one page.
const MaxPageRecords = 1000

// maxPageBytes is the maximum size of the data on a page, unless the page holds
// only one record.
const maxPageBytes = 4 << 20

// Store is an in-memory log. It implements journal.Log for use in the same
// process.
type Store struct {
	// RetainRecords is the number of records that a stream retains; 0 retains
	// all.
	RetainRecords int
	// RetainSeconds is how long a record is retained, in seconds; 0 retains it
	// indefinitely.
	RetainSeconds int
	// AppendsPerSecond limits the appends to all streams; 0 sets no limit.
	AppendsPerSecond int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Faults holds the injected faults; they may be switched at any time.
	Faults Faults

	mu      sync.Mutex
	streams map[string]*stream
	limiter *rate.Limiter
	// deferred holds the cancelled appends that are still to take effect, in
	// order of arrival.
	deferred []deferredAppend
}

// stream holds the retained records of one stream.
type stream struct {
	// records holds the records in order of their consecutive offsets, beginning
	// with first.
	records []journal.Record
	// first is the oldest retained offset, or the next offset if no record is
	// retained. Offsets are counted from 1.
	first uint64
}

// next returns the offset that the next record gets.
func (t *stream) next() uint64 {
	return t.first + uint64(len(t.records))
}

// drop removes the n oldest records.
func (t *stream) drop(n int) {
	t.records = t.records[n:]
	t.first += uint64(n)
}

var _ journal.Log = (*Store)(nil)

// Append adds one record to the named stream and returns its offset.
func (s *Store) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > MaxRecordBytes {
		return 0, errors.Wrapf(journal.ErrRefused, "record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	if s.Faults.Down.Load() {
		return 0, journal.ErrUnavailable
	}
	millis := s.Faults.SlowMillis.Load()
	due := s.now().Add(time.Duration(millis) * time.Millisecond)
	if err := serving.Delay(ctx, millis); err != nil {
		s.deferAppend(name, data, due)
		return 0, exchange.NewOutcomeError(journal.ErrUnknown, err)
	}
	offset, err := s.append(name, data)
	switch {
	case err != nil:
		return 0, err
	case serving.TakeOne(&s.Faults.LoseAnswers):
		return 0, journal.ErrUnknown
	case serving.TakeOne(&s.Faults.FailAfterEffect):
		return 0, journal.ErrUnavailable
	default:
		return offset, nil
	}
}

// Read returns at most limit records of the named stream, beginning at offset
// from.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	if s.Faults.Down.Load() {
		return journal.Page{}, journal.ErrUnavailable
	}
	if err := serving.Delay(ctx, s.Faults.SlowMillis.Load()); err != nil {
		return journal.Page{}, exchange.NewOutcomeError(journal.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDeferred()
	t := s.stream(name)
	s.expire(t)
	p := journal.Page{First: t.first, Next: t.next()}
	from = max(from, t.first)
	if from >= p.Next {
		return p, nil
	}
	count := min(max(limit, 0), MaxPageRecords, int(p.Next-from))
	begin := int(from - t.first)
	p.Records = slices.Clone(limitPageBytes(t.records[begin : begin+count]))
	return p, nil
}

// append adds a record unless the rate limit rejects it.
func (s *Store) append(name string, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDeferred()
	now := s.now()
	if !s.allow(now) {
		return 0, journal.ErrThrottled
	}
	return s.add(name, data, now), nil
}

// add appends a record without checking the rate limit; the caller holds mu.
func (s *Store) add(name string, data []byte, now time.Time) uint64 {
	t := s.stream(name)
	offset := t.next()
	t.records = append(t.records, journal.Record{Offset: offset, AppendedAt: now, Data: bytes.Clone(data)})
	s.expire(t)
	return offset
}

// limitPageBytes returns as many of the first records as maxPageBytes permits, and
// at least one if there are any.
func limitPageBytes(records []journal.Record) []journal.Record {
	size := 0
	for i, record := range records {
		size += len(record.Data)
		if i > 0 && size > maxPageBytes {
			return records[:i]
		}
	}
	return records
}

// allow reports whether the rate limit permits an append; the caller holds mu.
func (s *Store) allow(now time.Time) bool {
	if s.AppendsPerSecond == 0 {
		return true
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.AppendsPerSecond), s.AppendsPerSecond)
	}
	return s.limiter.AllowN(now, 1)
}

// expire removes the records of t that exceed RetainRecords or RetainSeconds; the
// caller holds mu.
func (s *Store) expire(t *stream) {
	if over := len(t.records) - s.RetainRecords; s.RetainRecords > 0 && over > 0 {
		t.drop(over)
	}
	if s.RetainSeconds == 0 {
		return
	}
	oldest := s.now().Add(-time.Duration(s.RetainSeconds) * time.Second)
	for len(t.records) > 0 && t.records[0].AppendedAt.Before(oldest) {
		t.drop(1)
	}
}

// stream returns the named stream and creates it if needed; the caller holds mu.
func (s *Store) stream(name string) *stream {
	if s.streams == nil {
		s.streams = make(map[string]*stream)
	}
	t, ok := s.streams[name]
	if !ok {
		t = &stream{first: 1}
		s.streams[name] = t
	}
	return t
}

func (s *Store) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
