package backendhost

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
)

// engineMetrics records the metrics of the engine owner.
type engineMetrics struct {
	registry *metrics.Registry
}

// Stalled records a period in which a generation made no progress.
func (m engineMetrics) Stalled(account, class string, since, until time.Time) {
	m.registry.Series(account, class).Stall(until.Sub(since))
}

// Preempted counts a preemption.
func (m engineMetrics) Preempted(account, class string) {
	m.registry.Series(account, class).Preempted()
}
