package edition

import "github.com/fulmarvalve/fulmarvalve/internal/platform/journal"

// Anchor returns the latest state that the retained records state, from which
// the fold can go on without a gap. It reports false when there is none.
//
// A proposal alone cannot start a fold, because the one that it lost to may
// have expired. A snapshot can, but only from the prefix that it states, and
// not from its own place: records between the two may have changed the version.
func Anchor(records []journal.Record, first uint64) (State, bool) {
	if first <= 1 {
		return State{}, true
	}
	var best State
	found := false
	for _, record := range records {
		state, ok := statedBy(record)
		if !ok || state.Through+1 < first {
			continue
		}
		if !found || later(state, best) {
			best = state
			found = true
		}
	}
	return best, found
}

// later reports whether a covers a longer prefix than b, or a newer version at
// the same prefix.
func later(a, b State) bool {
	if a.Through != b.Through {
		return a.Through > b.Through
	}
	return a.Edition.Version > b.Edition.Version
}

// statedBy returns the state that a record states, if it is a valid snapshot.
func statedBy(record journal.Record) (State, bool) {
	entry, err := Decode(record.Data)
	if err != nil {
		return State{}, false
	}
	snapshot, ok := entry.(Snapshot)
	if !ok || snapshot.Through >= record.Offset {
		return State{}, false
	}
	state, err := StateOf(snapshot)
	return state.WithAnchoredAt(record.AppendedAt), err == nil
}
