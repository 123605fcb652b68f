package replay

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"
)

// admit returns an error if no record can be added for the ID, because it has
// expired or because the buffer is full. The caller holds mu.
func (b *Buffer) admit(id string, forgetAt, now time.Time) error {
	if !forgetAt.After(now) {
		return errors.Wrapf(ErrExpired, "request %s", id)
	}
	b.reclaim(recordOverheadBytes + int64(len(id)))
	if b.bytes.Load()+recordOverheadBytes+int64(len(id)) > b.MaxBytes {
		return errors.Wrapf(ErrFull, "request %s: %d of %d bytes in use", id, b.bytes.Load(), b.MaxBytes)
	}
	return nil
}

// reclaim drops the texts of answers that were read to their end, the first read
// first, until size bytes are free or no such answer is left. The caller holds mu.
func (b *Buffer) reclaim(size int64) {
	for b.bytes.Load()+size > b.MaxBytes {
		front := b.fullyRead.Front()
		if front == nil {
			return
		}
		b.dropTexts(front.Value.(*record))
	}
}

// evict takes every eviction step that is due at now. The first step drops the texts
// of an answer. The second drops its record at forgetAt, from when the request ID
// is rejected as expired without a record. The caller holds mu.
func (b *Buffer) evict(now time.Time) int {
	count := 0
	for len(b.deadlines) > 0 && !b.deadlines[0].dueAt.After(now) {
		r := b.deadlines[0]
		count++
		if r.forgetAt.After(now) {
			b.dropTexts(r)
			r.dueAt = r.forgetAt
			heap.Fix(&b.deadlines, 0)
			continue
		}
		heap.Pop(&b.deadlines)
		b.forget(r)
	}
	return count
}

// dropTexts drops the texts of an ended answer. Its ID and result stay. The caller
// holds mu.
func (b *Buffer) dropTexts(r *record) {
	b.removeFullyRead(r)
	ended, ok := r.state.(Ended)
	if !ok {
		return
	}
	kept := recordOverheadBytes + int64(len(r.id))
	b.bytes.Add(kept - r.bytes)
	r.bytes = kept
	r.texts = nil
	r.state = Evicted{Code: ended.Code, Reason: ended.Reason}
}

// forget removes a record. The caller holds mu.
func (b *Buffer) forget(r *record) {
	b.removeFullyRead(r)
	b.bytes.Add(-r.bytes)
	delete(b.records, r.id)
}

// removeFullyRead removes a record from the list of answers that were read to their
// end. The caller holds mu.
func (b *Buffer) removeFullyRead(r *record) {
	if r.fullyRead == nil {
		return
	}
	b.fullyRead.Remove(r.fullyRead)
	r.fullyRead = nil
}
