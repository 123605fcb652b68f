package replay

import (
	"container/list"
	"time"
)

// record is the mutable form of an entry, guarded by the buffer's mutex.
type record struct {
	id       string
	sequence uint64
	// texts is append-only while the request is open, so that readers may hold
	// parts of it without a copy.
	texts []string
	// position counts the tokens produced; it stays when texts are dropped.
	position uint64
	state    State
	// forgetAt is the time from which the request ID is rejected as expired,
	// so that it needs no record any longer.
	forgetAt time.Time
	// dueAt is the time of the next eviction step. It is set once closed.
	dueAt time.Time
	// bytes charged for this record.
	bytes int64
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
	// fullyRead is the record's place in the list of answers read to the end.
	fullyRead *list.Element
}

func (r *record) entry() Entry {
	return Entry{
		RequestID: r.id,
		Sequence:  r.sequence,
		Position:  r.position,
		State:     r.state,
	}
}

// isOpen reports whether the request has neither ended nor been refused.
func (r *record) isOpen() bool {
	_, open := r.state.(Open)
	return open
}

// notify closes the channel that readers wait on.
func (r *record) notify() {
	if r.changed == nil {
		return
	}
	close(r.changed)
	r.changed = nil
}

// changeChannel returns the channel that the next change closes.
func (r *record) changeChannel() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// deadlineHeap orders closed records by the time of their next eviction step.
type deadlineHeap []*record

// Len returns the number of records.
func (h deadlineHeap) Len() int { return len(h) }

// Less reports whether record i is due before record j.
func (h deadlineHeap) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }

// Swap exchanges two records.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a record.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop removes the last record.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
