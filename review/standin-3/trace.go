package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// trace writes what was sent, answered and run, with the time since the start in milliseconds.
type trace struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newTrace(path string) (*trace, error) {
	file, err := os.Create(path)
	return &trace{file: file, started: time.Now()}, err
}

func (t *trace) printf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.file, "%7d ms  %s\n", time.Since(t.started).Milliseconds(), fmt.Sprintf(format, args...))
}

// sequence numbers things that need distinct names.
type sequence struct {
	mu   sync.Mutex
	last int
}

func (s *sequence) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last
}
