package journal

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Faults are switched while the store is in use.
type Faults struct {
	// Down refuses every call with journal.ErrUnavailable.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// LateEffects lets an append take effect at the end of its delay even when
	// its caller has given up before. Otherwise it never does.
	LateEffects atomic.Bool
	// LoseAnswers is how many coming appends take effect and fail with
	// journal.ErrUnknown; over HTTP, their connection drops.
	LoseAnswers atomic.Int64
	// FailAfterEffect is how many coming appends take effect and fail with
	// journal.ErrUnavailable.
	FailAfterEffect atomic.Int64
}

// deferredAppend is an append whose caller has given up.
type deferredAppend struct {
	stream string
	data   []byte
	// due is when it takes effect, by the store's clock.
	due time.Time
}

// deferAppend keeps an append that its caller gave up for its late effect.
func (s *Store) deferAppend(name string, data []byte, due time.Time) {
	if !s.Faults.LateEffects.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = append(s.deferred, deferredAppend{stream: name, data: bytes.Clone(data), due: due})
}

// applyDeferred appends what is due; the caller holds mu. Every call does it
// first, so that nobody can tell it from an append at its due time.
func (s *Store) applyDeferred() {
	now := s.now()
	kept := s.deferred[:0]
	for _, d := range s.deferred {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		s.add(d.stream, d.data, now)
	}
	clear(s.deferred[len(kept):])
	s.deferred = kept
}
