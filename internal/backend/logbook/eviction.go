package logbook

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"
)

// admit reports whether a new record may be made.
func (l *Logbook) admit(id string, forgetAt, now time.Time) error {
	if !forgetAt.After(now) {
		return errors.Wrapf(ErrExpired, "request %s", id)
	}
	l.reclaim(recordOverheadBytes + int64(len(id)))
	if l.bytes.Load()+recordOverheadBytes+int64(len(id)) > l.MaxBytes {
		return errors.Wrapf(ErrFull, "request %s: %d of %d bytes in use", id, l.bytes.Load(), l.MaxBytes)
	}
	return nil
}

// reclaim evicts answers that were read to the end, oldest first, until size
// bytes are free.
func (l *Logbook) reclaim(size int64) {
	for l.bytes.Load()+size > l.MaxBytes {
		front := l.replayed.Front()
		if front == nil {
			return
		}
		l.dropTexts(front.Value.(*record))
	}
}

// evict takes every step that is due: texts go first, the identity when the
// request ID is rejected by its own deadline.
func (l *Logbook) evict(now time.Time) int {
	count := 0
	for len(l.deadlines) > 0 && !l.deadlines[0].dueAt.After(now) {
		r := l.deadlines[0]
		count++
		if r.forgetAt.After(now) {
			l.dropTexts(r)
			r.dueAt = r.forgetAt
			heap.Fix(&l.deadlines, 0)
			continue
		}
		heap.Pop(&l.deadlines)
		l.forget(r)
	}
	return count
}

// dropTexts keeps the identity and the end of an answer only.
func (l *Logbook) dropTexts(r *record) {
	l.unlist(r)
	ended, ok := r.state.(Ended)
	if !ok {
		return
	}
	kept := recordOverheadBytes + int64(len(r.id))
	l.bytes.Add(kept - r.bytes)
	r.bytes = kept
	r.texts = nil
	r.state = Evicted{Code: ended.Code, Reason: ended.Reason}
}

func (l *Logbook) forget(r *record) {
	l.unlist(r)
	l.bytes.Add(-r.bytes)
	delete(l.records, r.id)
}

func (l *Logbook) unlist(r *record) {
	if r.replayed == nil {
		return
	}
	l.replayed.Remove(r.replayed)
	r.replayed = nil
}
