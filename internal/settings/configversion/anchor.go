package configversion

import (
	"iter"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// Anchor returns a state from which the fold can continue over the retained records
// without a gap. It returns false when the records contain none. The argument first is
// the offset of the first record. If no record has expired, the state is the zero value.
//
// A fold cannot start from a proposal: whether the proposal is accepted depends on
// earlier records, which may have expired. A fold can start from a snapshot, but at the
// end of the prefix that the snapshot covers and not at the snapshot's own offset:
// records between the two may have changed the version. All usable snapshots lead to the same final state; the latest one leaves
// the fewest records to fold. If there is no usable snapshot, the fold starts at the
// offset of the first usable restart, which replaces whatever was in force before.
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

// lastSnapshot returns the state of the last usable snapshot among the records. The
// argument first is the offset of the first record.
func lastSnapshot(records []journal.Record, first uint64) (State, bool) {
	return findSnapshot(slices.Backward(records), first)
}

// firstSnapshot returns the state of the first usable snapshot among the records. The
// argument first is the offset of the first record.
func firstSnapshot(records []journal.Record, first uint64) (State, bool) {
	return findSnapshot(slices.All(records), first)
}

// findSnapshot returns the state of the first usable snapshot in iteration order.
func findSnapshot(records iter.Seq2[int, journal.Record], first uint64) (State, bool) {
	for _, record := range records {
		if snapshot, ok := usableSnapshot(record, first); ok {
			return snapshot, true
		}
	}
	return State{}, false
}

// usableSnapshot returns the state of a snapshot. It returns false unless the record
// is a valid snapshot and all records after the prefix that it covers are retained.
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

// usableRestart returns the state after a restart. It returns false unless the record
// is a valid restart and all records between its prefix and itself are retained.
func usableRestart(record journal.Record, first uint64) (State, bool) {
	entry, err := Decode(record.Data)
	if err != nil {
		return State{}, false
	}
	restart, ok := entry.(Restart)
	if !ok || !usable(restart.Through, first, record) {
		return State{}, false
	}
	configuration, err := newConfiguration(restart.Version, restart.ID, restart.Author, restart.Document)
	return State{Configuration: configuration, Through: record.Offset, AnchoredAt: record.AppendedAt}, err == nil
}

// usable reports whether all records after the prefix that ends at through are
// retained, and whether the prefix ends before the record itself.
func usable(through, first uint64, record journal.Record) bool {
	return through+1 >= first && through < record.Offset
}
