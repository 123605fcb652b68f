package configversion

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrDiverged means that two states contradict each other about a version. The fold
// rules this out.
var ErrDiverged = errors.New("another proposal holds the same version")

// Register holds the configuration in force in this process. Its version never
// decreases. The zero value is an empty register.
type Register struct {
	// state is nil until the first state is stored. Its version never decreases.
	state atomic.Pointer[State]

	// mu serialises writers.
	mu sync.Mutex
	// changed is closed at the next change of the configuration. It is nil while
	// nobody waits for one.
	changed chan struct{}
}

// Offer puts the state in force when its version is newer. A state of the same
// version only extends the prefix of the stream that has been folded. Offer reports
// whether the configuration changed.
func (r *Register) Offer(offered State) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.State()
	if offered.Configuration.Version < current.Configuration.Version {
		return false, nil
	}
	if offered.Configuration.Version == current.Configuration.Version {
		return false, r.extendPrefix(current, offered)
	}
	r.state.Store(&offered)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return true, nil
}

// extendPrefix stores the offered state when it has the same configuration and covers
// a longer prefix of the stream.
func (r *Register) extendPrefix(current, offered State) error {
	if offered.Configuration.ID != current.Configuration.ID {
		return errors.Wrapf(ErrDiverged, "version %d: %s is in force, %s was offered",
			current.Configuration.Version, current.Configuration.ID, offered.Configuration.ID)
	}
	if offered.Through > current.Through {
		r.state.Store(&offered)
	}
	return nil
}
