// Package journal stands in for the platform's append-only log.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 1 << 20

// MaxPageRecords bounds the records of one page.
const MaxPageRecords = 1000

// Faults are switched while the store is in use.
type Faults struct {
	// Down refuses every call with journal.ErrUnavailable.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// LoseAnswers is how many coming appends take effect and lose their answer.
	LoseAnswers atomic.Int64
}

// Store is a log in memory. It implements journal.Log, for use in process.
type Store struct {
	// RetainRecords is how many records a stream keeps; 0 keeps all.
	RetainRecords int
	// RetainSeconds is how long a record is kept; 0 keeps it for good.
	RetainSeconds int
	// AppendsPerSecond limits the appends to all streams; 0 sets no limit.
	AppendsPerSecond int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Faults are switched while the store is in use.
	Faults Faults

	mu      sync.Mutex
	streams map[string]*stream
	limiter *rate.Limiter
}

// stream holds the retained records of one stream.
type stream struct {
	// records have offsets first, first+1 and so on.
	records []journal.Record
	// first is the oldest retained offset, or the next one when none is.
	first uint64
}

func (t *stream) next() uint64 {
	return t.first + uint64(len(t.records))
}

// drop forgets the n oldest records.
func (t *stream) drop(n int) {
	t.records = t.records[n:]
	t.first += uint64(n)
}

var _ journal.Log = (*Store)(nil)

// Append adds one record to the stream and returns its offset.
func (s *Store) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > MaxRecordBytes {
		return 0, errors.Wrapf(journal.ErrRefused, "record of %d bytes", len(data))
	}
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	offset, err := s.append(name, data)
	if err != nil {
		return 0, err
	}
	if takeOne(&s.Faults.LoseAnswers) {
		return 0, journal.ErrUnknown
	}
	return offset, nil
}

// Read returns at most limit records from offset from on.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	if err := s.enter(ctx); err != nil {
		return journal.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	s.expire(t)
	p := journal.Page{First: t.first, Next: t.next()}
	from = max(from, t.first)
	if from >= p.Next {
		return p, nil
	}
	count := min(max(limit, 0), MaxPageRecords, int(p.Next-from))
	begin := int(from - t.first)
	p.Records = append(p.Records, t.records[begin:begin+count]...)
	return p, nil
}

// enter applies the faults that hold for every call.
func (s *Store) enter(ctx context.Context) error {
	if millis := s.Faults.SlowMillis.Load(); millis > 0 {
		timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if err := ctx.Err(); err != nil {
		return exchange.Fail(journal.ErrUnavailable, err)
	}
	if s.Faults.Down.Load() {
		return journal.ErrUnavailable
	}
	return nil
}

func (s *Store) append(name string, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.allow(now) {
		return 0, journal.ErrThrottled
	}
	t := s.stream(name)
	offset := t.next()
	t.records = append(t.records, journal.Record{Offset: offset, AppendedAt: now, Data: append([]byte(nil), data...)})
	s.expire(t)
	return offset, nil
}

func (s *Store) allow(now time.Time) bool {
	if s.AppendsPerSecond == 0 {
		return true
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.AppendsPerSecond), s.AppendsPerSecond)
	}
	return s.limiter.AllowN(now, 1)
}

// expire drops the records of t that retention no longer keeps.
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

// takeOne counts n down and reports whether it was above zero.
func takeOne(n *atomic.Int64) bool {
	for {
		left := n.Load()
		if left <= 0 {
			return false
		}
		if n.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
