package metrics

import (
	"sync/atomic"
	"time"
)

// Series holds the metrics of one client account and class. It is safe for
// concurrent use.
type Series struct {
	stall         timer
	firstToken    timer
	betweenTokens timer
	preemptions   atomic.Int64
}

// Stall records the time for which a generation made no progress.
func (s *Series) Stall(d time.Duration) {
	s.stall.record(d)
}

// FirstToken records the time from the arrival of a request to its first token.
func (s *Series) FirstToken(d time.Duration) {
	s.firstToken.record(d)
}

// BetweenTokens records the time between two consecutive tokens.
func (s *Series) BetweenTokens(d time.Duration) {
	s.betweenTokens.record(d)
}

// Preempted counts a preemption.
func (s *Series) Preempted() {
	s.preemptions.Add(1)
}

func (s *Series) timers() []*timer {
	return []*timer{&s.stall, &s.firstToken, &s.betweenTokens}
}

func (s *Series) rotate() {
	for _, t := range s.timers() {
		t.rotate()
	}
}
