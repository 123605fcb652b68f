package explanation

import "sync"

// DefaultCapacity is the count of records that a process keeps.
const DefaultCapacity = 16384

// Ring holds the latest records of a process. It is safe for concurrent use.
type Ring struct {
	// Capacity is the count of records held. Zero means DefaultCapacity. It is
	// set before the first Add.
	Capacity int

	mu sync.RWMutex
	// slots hold record number n at index n modulo capacity; grows to Capacity.
	slots []slot
	// added counts all records ever added; numbers start at 1.
	added uint64
	// latest maps a request ID to the number of its latest record.
	latest map[string]uint64
}

// slot chains the records of one request from the latest to the oldest.
type slot struct {
	record Record
	// previous is the number of the request's record before this one, or zero.
	previous uint64
}

// Add records a decision and drops the oldest one when the ring is full.
func (r *Ring) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil {
		r.latest = make(map[string]uint64)
	}
	r.added++
	next := slot{record: record, previous: r.latest[record.RequestID]}
	r.store(next)
	r.latest[record.RequestID] = r.added
}

// store writes the slot of record number r.added.
func (r *Ring) store(next slot) {
	capacity := r.capacity()
	if len(r.slots) < capacity {
		r.slots = append(r.slots, next)
		return
	}
	index := (r.added - 1) % uint64(capacity)
	dropped := r.slots[index].record.RequestID
	if r.latest[dropped] == r.added-uint64(capacity) {
		delete(r.latest, dropped)
	}
	r.slots[index] = next
}

func (r *Ring) capacity() int {
	if r.Capacity <= 0 {
		return DefaultCapacity
	}
	return r.Capacity
}
