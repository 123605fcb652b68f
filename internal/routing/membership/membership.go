// Package membership merges what a process knows of backend servers and entry
// hosts: the platform's lagging list, the loads on replies, refusals and failed
// dials.
package membership

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of commands.
var (
	// ErrEmptyList means that a list named no valid host. It is ignored.
	ErrEmptyList = errors.New("list names no host")
	// ErrUnknownHost means that no list has named the host.
	ErrUnknownHost = errors.New("unknown host")
	// ErrStale means that an answer is from a former incarnation.
	ErrStale = errors.New("answer is from a former incarnation")
)

// Table holds the members known to a process. The zero value is ready for
// use. It is safe for concurrent use; readers take a Snapshot.
type Table struct {
	// snapshot is nil when members changed since the last one was built. It is
	// written under mu only.
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// members in the order of index; each value is immutable.
	members []*Member
	// index of members; replaced as a whole when the membership changes.
	index *index
	// retired holds the members dropped lately, so that a list that names one
	// again restores its incarnations.
	retired map[string]retiredMember
}

// find returns the place of a member. The caller holds mu.
func (t *Table) find(name string) (int, error) {
	if t.index != nil {
		if i, ok := t.index.byName[name]; ok {
			return i, nil
		}
	}
	return 0, errors.Wrapf(ErrUnknownHost, "host %s", name)
}

// replace sets a member. The caller holds mu.
func (t *Table) replace(i int, m Member) {
	t.members[i] = &m
	t.snapshot.Store(nil)
}
