package explanation

import "sync"

// DefaultCapacity is the default of Ring.Capacity.
const DefaultCapacity = 16384

// Ring holds the latest records of a process. It is safe for concurrent use.
type Ring struct {
	// Capacity is the maximum number of records held. Zero means DefaultCapacity.
	// It is set before the first Add.
	Capacity int

	mu sync.RWMutex
	// slots holds record number n at index (n-1) modulo the capacity. It grows up
	// to the capacity.
	slots []slot
	// added is the number of records ever added. Record numbers start at 1.
	added uint64
	// latest maps a request ID to the number of its latest record.
	latest map[string]uint64
}

// slot holds a record. The slots of one request form a chain from the latest to
// the oldest record.
type slot struct {
	record Record
	// previous is the number of the same request's previous record, or zero.
	previous uint64
}

// Add adds a record and drops the oldest one if the ring is full.
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

// store stores the slot of record number r.added. It removes the index entry of a
// request whose last record it overwrites.
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
