package storewatcher

import (
	"context"
	"sync"
)

// interrupt ends a read of the store that may wait for long. After an outage its connection may
// be dead, which would show only at the end of the wait. It is safe for concurrent use. The zero
// value is ready to use.
type interrupt struct {
	mu sync.Mutex
	// stop ends the current read; nil when there is none.
	stop context.CancelFunc
}

// set stores the function that ends the current read, or nil after its end.
func (i *interrupt) set(stop context.CancelFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stop = stop
}

// fire ends the current read.
func (i *interrupt) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stop != nil {
		i.stop()
	}
}
