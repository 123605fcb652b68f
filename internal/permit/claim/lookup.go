package claim

import "time"

// Lookup returns the binding in force of a key. A key past the key window by
// the log's times is never found.
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

// Lease returns the lease in force and when the log took its record. The time
// is zero when no lease record was read.
func (s *State) Lease() (Lease, time.Time) { return s.lease, s.leasedAt }

// Next returns the lowest offset that has not been folded.
func (s *State) Next() uint64 { return s.next }

// Latest returns the newest time of the log that was folded.
func (s *State) Latest() time.Time { return s.latest }

// Len returns the number of bound keys held.
func (s *State) Len() int { return len(s.bindings) }
