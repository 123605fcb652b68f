package backendhost

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
)

// engineMetrics measures the engine's work for the engine owner.
type engineMetrics struct {
	registry *metrics.Registry
}

// Stalled records a time without progress.
func (g engineMetrics) Stalled(account, class string, since, until time.Time) {
	g.registry.Series(account, class).Stall(until.Sub(since))
}

// Preempted counts a preemption.
func (g engineMetrics) Preempted(account, class string) {
	g.registry.Series(account, class).Preempted()
}
