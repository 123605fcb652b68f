package configversion

// State returns the configuration in force and the prefix of the stream that it was
// decided by.
func (r *Register) State() State {
	state := r.state.Load()
	if state == nil {
		return State{}
	}
	return *state
}

// Current returns the configuration in force. It reports false when there is none.
func (r *Register) Current() (Configuration, bool) {
	e := r.State().Configuration
	return e, e.Version > 0
}

// Version returns the version in force, or zero when there is none.
func (r *Register) Version() uint64 {
	return r.State().Configuration.Version
}

// Changed returns a channel that is closed at the next change of the configuration.
// Ask for it before reading the configuration, so that no change is missed.
func (r *Register) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}
