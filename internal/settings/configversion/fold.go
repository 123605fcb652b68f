package configversion

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// State is the result of folding a prefix of the stream. It is immutable; the zero
// value is the state before the first record.
type State struct {
	// Configuration is in force after the prefix.
	Configuration Configuration
	// Through is the offset of the last record of the prefix.
	Through uint64
	// AnchoredAt is when the latest snapshot in the prefix was appended, by the
	// log's clock. It is zero when the prefix contains none. A restart counts as a
	// snapshot.
	AnchoredAt time.Time
}

// WithThrough returns the state with a longer prefix and the same configuration.
func (s State) WithThrough(through uint64) State {
	s.Through = through
	return s
}

// WithAnchoredAt returns the state with a snapshot that was appended at the given
// time.
func (s State) WithAnchoredAt(at time.Time) State {
	s.AnchoredAt = at
	return s
}

// WithConfiguration returns the state with another configuration in force.
func (s State) WithConfiguration(configuration Configuration) State {
	s.Configuration = configuration
	return s
}

// Snapshot returns the snapshot entry of the state.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		ID:       s.Configuration.ID,
		Author:   s.Configuration.Author,
		Version:  s.Configuration.Version,
		Document: s.Configuration.text,
		Through:  s.Through,

		AnchoredAt: s.AnchoredAt,
	}
}

// StateOf returns the state that a snapshot contains. It fails when the document is
// invalid.
func StateOf(snapshot Snapshot) (State, error) {
	configuration, err := newConfiguration(snapshot.Version, snapshot.ID, snapshot.Author, snapshot.Document)
	if err != nil {
		return State{}, errors.Wrap(err, "parse the document of a snapshot")
	}
	return State{Configuration: configuration, Through: snapshot.Through, AnchoredAt: snapshot.AnchoredAt}, nil
}

// Apply folds the next record of the stream into the state. A record that the state
// already covers changes nothing. Apply panics when the record's offset leaves a gap.
// The result depends on the arguments alone.
func (s State) Apply(record journal.Record) (State, Verdict) {
	if record.Offset <= s.Through {
		return s, Repeated{}
	}
	if record.Offset != s.Through+1 {
		panic(errors.AssertionFailedf("record %d does not follow record %d", record.Offset, s.Through))
	}
	entry, err := Decode(record.Data)
	if errors.Is(err, ErrNewerFormat) {
		return s, Undecided{Reason: err}
	}
	next := s.WithThrough(record.Offset)
	if err != nil {
		return next, Void{Reason: err}
	}
	switch e := entry.(type) {
	case Proposal:
		return next.applyProposal(e)
	case Snapshot:
		return next.applySnapshot(e, record.AppendedAt)
	case Restart:
		return next.applyRestart(e, record.AppendedAt)
	default:
		panic(errors.AssertionFailedf("unknown kind of entry: %T", e))
	}
}

// applyProposal returns the state after a proposal, and the verdict on it.
func (s State) applyProposal(p Proposal) (State, Verdict) {
	if p.ID == s.Configuration.ID {
		return s, Repeated{}
	}
	if p.Replaces != s.Configuration.Version {
		return s, s.conflict(p.Replaces)
	}
	if p.Version != p.Replaces+1 {
		return s, Void{Reason: errors.Newf("version %d cannot replace %d", p.Version, p.Replaces)}
	}
	configuration, err := newConfiguration(p.Version, p.ID, p.Author, p.Document)
	if err != nil {
		return s, Void{Reason: err}
	}
	return s.WithConfiguration(configuration), Accepted{Version: configuration.Version}
}

// applySnapshot returns the state after a snapshot, and the verdict on it. It changes
// only AnchoredAt, because a snapshot repeats what the fold has already decided.
func (s State) applySnapshot(snapshot Snapshot, appendedAt time.Time) (State, Verdict) {
	if snapshot.Through >= s.Through || snapshot.Version > s.Configuration.Version {
		return s, Void{Reason: errors.New("snapshot covers records or versions after its own offset")}
	}
	if snapshot.ID != s.Configuration.ID {
		return s, Repeated{}
	}
	return s.WithAnchoredAt(appendedAt), Repeated{}
}

// applyRestart returns the state after a restart, and the verdict on it. Readers that
// have folded the expired records before accept the restart too, so that all readers
// end with the same version.
func (s State) applyRestart(r Restart, appendedAt time.Time) (State, Verdict) {
	if r.Through >= s.Through {
		return s, Void{Reason: errors.New("restart covers records after its own offset")}
	}
	if r.ID == s.Configuration.ID {
		return s.WithAnchoredAt(appendedAt), Repeated{}
	}
	if r.Version <= s.Configuration.Version {
		return s, s.conflict(r.Version - 1)
	}
	configuration, err := newConfiguration(r.Version, r.ID, r.Author, r.Document)
	if err != nil {
		return s, Void{Reason: err}
	}
	return s.WithConfiguration(configuration).WithAnchoredAt(appendedAt), Accepted{Version: configuration.Version}
}

// conflict returns the verdict on a record that replaces another version than the one
// in force.
func (s State) conflict(replaces uint64) Conflicting {
	return Conflicting{
		Replaces: replaces,
		InForce:  s.Configuration.Version,
		Winner:   s.Configuration.ID,
		Author:   s.Configuration.Author,
	}
}
