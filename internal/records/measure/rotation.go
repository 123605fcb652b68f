package measure

import (
	"context"
	"time"
)

// Run rotates the windows at their deadlines until ctx ends.
func (m *Measure) Run(ctx context.Context) error {
	m.begin(time.Now())
	for {
		timer := time.NewTimer(time.Until(m.WindowEndsAt()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			m.Rotate(time.Now())
		}
	}
}

// Rotate starts a new window when the current one has ended at now. After a
// pause of two windows or more, both are emptied.
func (m *Measure) Rotate(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windowEndsAt.IsZero() || now.Before(m.windowEndsAt) {
		return
	}
	m.rotateSeries()
	if !now.Before(m.windowEndsAt.Add(WindowLength)) {
		m.rotateSeries()
	}
	m.windowEndsAt = now.Add(WindowLength)
}

// begin sets the deadline of the first window.
func (m *Measure) begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.windowEndsAt = now.Add(WindowLength)
}

func (m *Measure) rotateSeries() {
	for _, s := range m.series {
		s.rotate()
	}
	m.movePause.rotate()
}
