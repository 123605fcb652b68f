package claim

import (
	"math"
	"time"
)

// Binding is the request that a key is bound to and the only process that may run
// it.
type Binding struct {
	// Key is the key identity.
	Key string
	// RequestID identifies the request.
	RequestID string
	// Backend is the name of the backend server that may run the request.
	Backend string
	// Incarnation is the only incarnation of that backend server that may run the
	// request.
	Incarnation uint64
	// Offset is the offset of the record that made the binding. Together with
	// the key it identifies the binding.
	Offset uint64
	// Partition is the partition of the key.
	Partition uint32
}

// State is the result of applying the records of one partition's stream in order.
// It is not safe for concurrent use.
type State struct {
	partition        uint32
	keyWindowSeconds int
	// next is the lowest offset that has not been applied.
	next uint64
	// latest is the newest append time applied.
	latest time.Time
	// lease is the lease in force.
	lease Lease
	// leasedAt is when the log appended the lease record in force. It is zero
	// before the first one.
	leasedAt time.Time
	// bindings holds the current binding of each bound key.
	bindings map[string]Binding
	// keysByMinute lists the bound keys by the minute of their creation time.
	keysByMinute map[int64][]string
	// firstMinute is the first minute whose keys have not been pruned. It is
	// math.MaxInt64 before the first key was bound.
	firstMinute int64
}

// NewState returns an empty state to which records are applied from the given
// offset on.
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

// Apply applies the record that the log appended at the given offset and time.
// Records must be applied in the order of their offsets. One that was applied
// before has no effect.
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
	count := 0
	for _, c := range r.Claims {
		if _, bound := s.bindings[c.Key]; bound {
			continue
		}
		if s.bind(offset, appendedAt, c) {
			count++
		}
	}
	for _, c := range r.Rebinds {
		old, ok := s.bindings[c.Key]
		if !ok || old.Offset != c.Refused {
			continue
		}
		if s.bind(offset, appendedAt, c.Claim) {
			count++
		}
	}
	return Accepted{Bound: count}
}

// rejectReason returns why a batch of the given epoch is rejected, or zero if it
// is accepted. It uses only the order and the append times of the log.
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

// bind binds a key, unless the key had expired or was from the future when the log
// appended the record. It reports whether the key was bound.
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

// index registers a bound key for pruning.
func (s *State) index(key string) {
	created, err := TimeOf(key)
	if err != nil {
		return
	}
	m := minuteOf(created)
	s.keysByMinute[m] = append(s.keysByMinute[m], key)
	s.firstMinute = min(s.firstMinute, m)
}

// prune removes the bindings of expired keys, which no later record can claim. It
// keeps them for ClockMarginSeconds longer, since append times may step back.
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
