package replay

import (
	"container/list"
	"time"
)

// record is the mutable state of one request. Buffer.mu guards it.
type record struct {
	id       string
	sequence uint64
	// texts is append-only while the request is open, so that readers may use parts
	// of it without copying them.
	texts []string
	// position is the number of tokens produced. It is kept when texts are dropped.
	position uint64
	state    State
	// forgetAt is the time from which the request ID is rejected as expired, so that
	// its record can be dropped.
	forgetAt time.Time
	// dueAt is the time of the next eviction step. It is zero while the request is
	// open.
	dueAt time.Time
	// bytes is the estimated memory use of this record.
	bytes int64
	// changed is closed at the next change. It is nil while no reader waits.
	changed chan struct{}
	// fullyRead is the record's element in Buffer.fullyRead, or nil.
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

// notify wakes the waiting readers by closing the channel that they wait on.
func (r *record) notify() {
	if r.changed == nil {
		return
	}
	close(r.changed)
	r.changed = nil
}

// changeChannel returns a channel that is closed at the next change.
func (r *record) changeChannel() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// deadlineHeap is a heap of the records that are not open, ordered by the time of
// their next eviction step. It implements heap.Interface.
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
