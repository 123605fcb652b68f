package claim

import "time"

// Lookup returns the current binding of a key. It does not find a key that is older
// than the key window at the newest append time.
func (s *State) Lookup(key string) (Binding, bool) {
	b, ok := s.bindings[key]
	if !ok {
		return Binding{}, false
	}
	if CheckKey(key, s.latest, OldestKeyTime(s.latest, s.keyWindowSeconds)) != nil {
		return Binding{}, false
	}
	return b, true
}

// Lease returns the lease in force and the time at which the log appended its
// record. The time is zero if no lease record was applied.
func (s *State) Lease() (Lease, time.Time) { return s.lease, s.leasedAt }

// Next returns the lowest offset that has not been applied.
func (s *State) Next() uint64 { return s.next }

// Latest returns the newest append time of the records applied.
func (s *State) Latest() time.Time { return s.latest }

// Len returns the number of bound keys in the state.
func (s *State) Len() int { return len(s.bindings) }
