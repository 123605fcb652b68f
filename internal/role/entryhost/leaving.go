package entryhost

import "sync/atomic"

// leavingFlag is set when the process stops admitting new work. It is never cleared.
type leavingFlag struct {
	value atomic.Bool
}

func (f *leavingFlag) set() { f.value.Store(true) }

func (f *leavingFlag) isSet() bool { return f.value.Load() }
