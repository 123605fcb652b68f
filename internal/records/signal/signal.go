// Package signal wakes a goroutine when there is work for it.
package signal

import "sync"

// Signal says that there is work. Calls of Set before the work begins count as one. The
// zero value is ready to use. It is safe for concurrent use.
type Signal struct {
	once sync.Once
	// set holds a value when there is work.
	set chan struct{}
}

// Set says that there is work. It does not block.
func (s *Signal) Set() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// C returns the channel that yields a value when there is work.
func (s *Signal) C() <-chan struct{} {
	return s.channel()
}

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.set = make(chan struct{}, 1) })
	return s.set
}
