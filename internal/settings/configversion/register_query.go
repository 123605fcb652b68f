package configversion

// State returns the configuration in force, with the prefix of the stream from which
// it follows.
func (r *Register) State() State {
	state := r.state.Load()
	if state == nil {
		return State{}
	}
	return *state
}

// Current returns the configuration in force, or false when there is none.
func (r *Register) Current() (Configuration, bool) {
	current := r.State().Configuration
	return current, current.Version > 0
}

// Version returns the version in force, or zero when there is none.
func (r *Register) Version() uint64 {
	return r.State().Configuration.Version
}

// Changed returns a channel that is closed at the next change of the configuration.
// Call it before reading the configuration, so that no change is missed.
func (r *Register) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}
