package journal

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Faults holds the faults that a test injects. They may be switched while the
// store is in use.
type Faults struct {
	// Down makes every call fail with journal.ErrUnavailable.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// LateEffects makes an append take effect at the end of its delay even if
	// its caller has cancelled it by then. If unset, a cancelled append never
	// takes effect.
	LateEffects atomic.Bool
	// LoseAnswers is the number of upcoming appends that take effect but return
	// journal.ErrUnknown. Over HTTP, the connection is dropped instead.
	LoseAnswers atomic.Int64
	// FailAfterEffect is the number of upcoming appends that take effect but
	// return journal.ErrUnavailable.
	FailAfterEffect atomic.Int64
}

// deferredAppend is an append that its caller cancelled during the delay and that
// takes effect later.
type deferredAppend struct {
	stream string
	data   []byte
	// due is the time at which the append takes effect, by the store's clock.
	due time.Time
}

// deferAppend records an append that its caller cancelled, so that it takes
// effect when it is due. It does nothing unless Faults.LateEffects is set.
func (s *Store) deferAppend(name string, data []byte, due time.Time) {
	if !s.Faults.LateEffects.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = append(s.deferred, deferredAppend{stream: name, data: bytes.Clone(data), due: due})
}

// applyDeferred performs the deferred appends that are due; the caller holds mu.
// Every call on the store runs it first, so a client observes the same result as
// if each append had been performed at its due time.
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
