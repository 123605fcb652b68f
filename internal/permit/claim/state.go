package claim

import (
	"math"
	"time"
)

// Binding is the request that a key is bound to, and the only process that may
// run it.
type Binding struct {
	// Key is the key's identity.
	Key string
	// RequestID names the request.
	RequestID string
	// Backend is the name of the backend server that may run the request.
	Backend string
	// Incarnation is the only one of that backend server that may run it.
	Incarnation uint64
	// Offset is that of the record that made the binding. With the key it
	// names the binding.
	Offset uint64
	// Partition is the key's.
	Partition uint32
}

// State is the fold of one partition's stream. It is used by one goroutine at
// a time.
type State struct {
	partition        uint32
	keyWindowSeconds int
	// next is the lowest offset that has not been folded.
	next uint64
	// latest is the newest append time folded.
	latest time.Time
	lease  Lease
	// leasedAt is when the log took the lease record in force; zero before
	// the first one.
	leasedAt time.Time
	// bindings holds at most one binding of each key.
	bindings map[string]Binding
	// keysByMinute lists the bound keys by the minute of their time.
	keysByMinute map[int64][]string
	// firstMinute is the first minute whose keys are still kept.
	firstMinute int64
}

// NewState returns a state that is to be folded from the offset from on.
func NewState(partition uint32, keyWindowSeconds int, from uint64) *State {
	return &State{
		partition:        partition,
		keyWindowSeconds: keyWindowSeconds,
		next:             from,
		bindings:         make(map[string]Binding),
		keysByMinute:     make(map[int64][]string),
		firstMinute:      math.MaxInt64,
	}
}

// Apply folds the record that the log took at the given offset and time.
// Offsets must be applied in order; one that was folded before has no effect.
func (s *State) Apply(offset uint64, appendedAt time.Time, r Record) Verdict {
	if offset < s.next {
		return Duplicate{}
	}
	s.next = offset + 1
	if appendedAt.After(s.latest) {
		s.latest = appendedAt
		s.prune()
	}
	switch r := r.(type) {
	case Lease:
		return s.applyLease(appendedAt, r)
	case Batch:
		return s.applyBatch(offset, appendedAt, r)
	default:
		return Ignored{}
	}
}

func (s *State) applyLease(appendedAt time.Time, r Lease) Verdict {
	if r.Epoch == "" {
		return Ignored{}
	}
	s.lease = r
	s.leasedAt = appendedAt
	return Leased{Lease: r}
}

func (s *State) applyBatch(offset uint64, appendedAt time.Time, r Batch) Verdict {
	if reason := s.rejectReason(appendedAt, r.Epoch); reason != 0 {
		return Rejected{Reason: reason}
	}
	bound := 0
	for _, c := range r.Claims {
		if _, spent := s.bindings[c.Key]; spent {
			continue
		}
		if s.bind(offset, appendedAt, c) {
			bound++
		}
	}
	for _, c := range r.Rebinds {
		old, ok := s.bindings[c.Key]
		if !ok || old.Offset != c.Refused {
			continue
		}
		if s.bind(offset, appendedAt, c.Claim) {
			bound++
		}
	}
	return Accepted{Bound: bound}
}

// rejectReason compares a batch with the lease in force, by log order and by the
// log's times alone. It returns zero when the batch counts.
func (s *State) rejectReason(appendedAt time.Time, epoch string) RejectReason {
	switch {
	case s.lease.Epoch == "":
		return NoLease
	case s.lease.Epoch != epoch:
		return OtherLease
	case appendedAt.After(s.leasedAt.Add(LeaseSeconds * time.Second)):
		return LeaseExpired
	default:
		return 0
	}
}

// bind binds a key unless its time was out of bounds when the log took the
// record.
func (s *State) bind(offset uint64, appendedAt time.Time, c Claim) bool {
	if CheckKey(c.Key, appendedAt, OldestKeyTime(appendedAt, s.keyWindowSeconds)) != nil {
		return false
	}
	if _, known := s.bindings[c.Key]; !known {
		s.index(c.Key)
	}
	s.bindings[c.Key] = Binding{
		Key:         c.Key,
		RequestID:   c.RequestID,
		Backend:     c.Backend,
		Incarnation: c.Incarnation,
		Offset:      offset,
		Partition:   s.partition,
	}
	return true
}

func (s *State) index(key string) {
	made, err := TimeOf(key)
	if err != nil {
		return
	}
	m := minuteOf(made)
	s.keysByMinute[m] = append(s.keysByMinute[m], key)
	s.firstMinute = min(s.firstMinute, m)
}

// prune drops the keys that no later record can claim any more.
func (s *State) prune() {
	if len(s.keysByMinute) == 0 {
		return
	}
	oldest := OldestKeyTime(s.latest, s.keyWindowSeconds).Add(-ClockMarginSeconds * time.Second)
	for ; s.firstMinute < minuteOf(oldest) && len(s.keysByMinute) > 0; s.firstMinute++ {
		for _, key := range s.keysByMinute[s.firstMinute] {
			delete(s.bindings, key)
		}
		delete(s.keysByMinute, s.firstMinute)
	}
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / 60
}
