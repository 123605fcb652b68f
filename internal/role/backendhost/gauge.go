package backendhost

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
)

// gauge measures the engine's work for the engine owner.
type gauge struct {
	measure *metrics.Registry
}

// Stalled records a time without progress.
func (g gauge) Stalled(account, class string, since, until time.Time) {
	g.measure.Series(account, class).Stall(until.Sub(since))
}

// Preempted counts a preemption.
func (g gauge) Preempted(account, class string) {
	g.measure.Series(account, class).Preempted()
}
