package logging

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// sparsePerSecond bounds the lines that a Sparse lets pass in a second, after a first sparseBurst of them.
const (
	sparsePerSecond = 5
	sparseBurst     = 50
)

// Sparse bounds log lines of one kind that a crowd of callers may cause. Its zero value is ready for use. It is
// safe for concurrent use.
type Sparse struct {
	once    sync.Once
	limiter *rate.Limiter
	// omitted is the number of lines that were left out since the last one that passed.
	omitted atomic.Int64
}

// Allow reports whether a line may be written, and how many were left out before it.
func (s *Sparse) Allow() (omitted int64, allowed bool) {
	s.once.Do(func() { s.limiter = rate.NewLimiter(sparsePerSecond, sparseBurst) })
	if !s.limiter.Allow() {
		s.omitted.Add(1)
		return 0, false
	}
	return s.omitted.Swap(0), true
}
