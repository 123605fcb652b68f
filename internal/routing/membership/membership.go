// Package membership holds a process's view of the backend servers and entry
// hosts. It merges the platform's host list, which lags, with the loads in
// replies, refusals and failed dials.
//
// A Table holds one Member for each host; readers take a Snapshot of it. Each start
// of a host's process has its own incarnation, a random number. Replies carry it, so
// that the table can ignore a late reply of a process that was replaced.
package membership

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of updates of a Table.
var (
	// ErrEmptyList means that a host list names no valid host and was ignored.
	ErrEmptyList = errors.New("host list names no valid host")
	// ErrUnknownHost means that the table holds no host with that name.
	ErrUnknownHost = errors.New("unknown host")
	// ErrStale means that a reply is not from the latest incarnation.
	ErrStale = errors.New("reply is not from the latest incarnation")
)

// Table holds the members known to a process. The zero value is ready for
// use. It is safe for concurrent use; readers take a Snapshot.
type Table struct {
	// snapshot is nil if members have changed since the last one was built. It
	// is written only while mu is held.
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// members holds the members in order of name. Each value is immutable.
	members []*Member
	// index is the index of members. It is replaced as a whole when the
	// membership changes.
	index *index
	// retired holds the members dropped recently, by name, so that their
	// incarnations are restored when a host list names them again.
	retired map[string]retiredMember
}

// find returns the position of a member. The caller holds mu.
func (t *Table) find(name string) (int, error) {
	if t.index != nil {
		if i, ok := t.index.byName[name]; ok {
			return i, nil
		}
	}
	return 0, errors.Wrapf(ErrUnknownHost, "host %s", name)
}

// replace sets the member at a position. The caller holds mu.
func (t *Table) replace(i int, m Member) {
	t.members[i] = &m
	t.snapshot.Store(nil)
}
