package metrics

import (
	"context"
	"time"
)

// Run rotates the windows when they end, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	r.begin(time.Now())
	for {
		timer := time.NewTimer(time.Until(r.WindowEndsAt()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			r.Rotate(time.Now())
		}
	}
}

// Rotate starts a new window if the current one has ended at now. If the current
// one ended a whole window length ago or more, both windows are cleared.
func (r *Registry) Rotate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.windowEndsAt.IsZero() || now.Before(r.windowEndsAt) {
		return
	}
	r.rotateSeries()
	if !now.Before(r.windowEndsAt.Add(WindowLength)) {
		r.rotateSeries()
	}
	r.windowEndsAt = now.Add(WindowLength)
}

// begin starts the first window.
func (r *Registry) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windowEndsAt = now.Add(WindowLength)
}

func (r *Registry) rotateSeries() {
	for _, s := range r.series {
		s.rotate()
	}
	r.migrationPause.rotate()
	r.hedges.rotate()
}
