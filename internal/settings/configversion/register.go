package configversion

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrDiverged says that two proposals hold the same version, which the fold
// rules out.
var ErrDiverged = errors.New("another proposal holds the same version")

// Register holds the configuration in force in this process. It never goes back to
// an earlier version. The zero value is ready and empty.
type Register struct {
	// state is nil until the first configuration or position is known. Its version
	// never goes down.
	state atomic.Pointer[State]

	// mu serialises writers.
	mu sync.Mutex
	// changed is closed at the next change of the configuration.
	changed chan struct{}
}

// Offer puts the state in force when it has a newer version. A state of the
// same version only lengthens the prefix that is known. It reports whether the
// configuration changed.
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

// extendPrefix takes over a longer prefix of the same version.
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
