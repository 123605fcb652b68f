package monitor

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/enginespeed"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// observeSpeed takes the runs of a report into the estimate of the engine's speed. The caller
// holds the mutex.
func (m *Monitor) observeSpeed(report platform.EngineReport, now boottime.Instant) {
	runs := make([]enginespeed.Run, 0, len(report.Runs))
	for _, run := range report.Runs {
		runs = append(runs, enginespeed.Run{ID: run.RequestID, Events: run.Events})
	}
	m.speed.Observe(enginespeed.Report{
		BornUnixMillis: report.BornUnixMillis,
		Runs:           runs,
		Prompts:        starting(report) > 0 || m.forecasts.at(report, now).unreadTokens > 0,
	}, now)
}

// eventTime returns the usual time between two events of a run in microseconds, and its age
// in milliseconds. Both are zero while it is not known. The caller holds the mutex.
func (m *Monitor) eventTime(now boottime.Instant) (micros, ageMillis uint32) {
	estimate, ok := m.speed.Estimate()
	if !ok {
		return 0, 0
	}
	age := min(max(now.MillisSince(estimate.At), 0), math.MaxUint32)
	return uint32(estimate.EventMicros), uint32(age)
}
