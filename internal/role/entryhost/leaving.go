package entryhost

import "sync/atomic"

// leavingFlag tells whether the process accepts no new work. It is never
// cleared.
type leavingFlag struct {
	value atomic.Bool
}

func (f *leavingFlag) set() { f.value.Store(true) }

func (f *leavingFlag) isSet() bool { return f.value.Load() }
