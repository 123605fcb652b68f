package configversion

import (
	"iter"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// Anchor returns a state that the retained records state, from which the fold
// can go on without a gap. It reports false when there is none.
//
// A proposal alone cannot start a fold, because the one that it lost to may
// have expired. A snapshot can, but only from the prefix that it states, and
// not from its own place: records between the two may have changed the version.
// All usable snapshots lead to the same end, and the latest has the fewest
// records after it. Without one, the first usable restart counts, from its own
// place: it replaces whatever was in force there.
func Anchor(records []journal.Record, first uint64) (State, bool) {
	if first <= 1 {
		return State{}, true
	}
	if snapshot, ok := lastSnapshot(records, first); ok {
		return snapshot, true
	}
	for _, record := range records {
		if restart, ok := usableRestart(record, first); ok {
			return restart, true
		}
	}
	return State{}, false
}

// lastSnapshot returns the state of the last usable snapshot of the records, of
// which first is the offset of the first one.
func lastSnapshot(records []journal.Record, first uint64) (State, bool) {
	return findSnapshot(slices.Backward(records), first)
}

// firstSnapshot returns the state of the first usable snapshot of the records.
func firstSnapshot(records []journal.Record, first uint64) (State, bool) {
	return findSnapshot(slices.All(records), first)
}

func findSnapshot(records iter.Seq2[int, journal.Record], first uint64) (State, bool) {
	for _, record := range records {
		if snapshot, ok := usableSnapshot(record, first); ok {
			return snapshot, true
		}
	}
	return State{}, false
}

// usableSnapshot returns the state of a valid snapshot after which no record is
// missing.
func usableSnapshot(record journal.Record, first uint64) (State, bool) {
	entry, err := Decode(record.Data)
	if err != nil {
		return State{}, false
	}
	snapshot, ok := entry.(Snapshot)
	if !ok || !usable(snapshot.Through, first, record) {
		return State{}, false
	}
	state, err := StateOf(snapshot)
	return state.WithAnchoredAt(record.AppendedAt), err == nil
}

// usableRestart returns the state after a valid restart, when no record between
// it and the prefix that it saw is missing.
func usableRestart(record journal.Record, first uint64) (State, bool) {
	entry, err := Decode(record.Data)
	if err != nil {
		return State{}, false
	}
	restart, ok := entry.(Restart)
	if !ok || !usable(restart.Through, first, record) {
		return State{}, false
	}
	e, err := newConfiguration(restart.Version, restart.ID, restart.Author, restart.Document)
	return State{Configuration: e, Through: record.Offset, AnchoredAt: record.AppendedAt}, err == nil
}

// usable reports whether all records after the prefix are retained, and the
// prefix ends before the record itself.
func usable(through, first uint64, record journal.Record) bool {
	return through+1 >= first && through < record.Offset
}
