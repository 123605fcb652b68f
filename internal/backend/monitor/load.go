package monitor

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// lockedLoad takes the mutex and calls load.
func (m *Monitor) lockedLoad(report platform.EngineReport) *sighting.Sighting {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load(report)
}

// load returns the message with the engine's load. The caller holds the mutex.
func (m *Monitor) load(report platform.EngineReport) *sighting.Sighting {
	now := boottime.Now()
	eventMicros, eventAgeMillis := m.eventTime(now)
	forecast := m.forecasts.at(report, now)
	return &sighting.Sighting{Load: &sighting.Load{
		Running:    uint32(report.Running),
		Queued:     uint32(report.Queued),
		UsedTokens: uint32(report.UsedTokens),
		Starting:   uint32(starting(report)),

		ExpectedTokens: uint32(forecast.expected()),
		NearTokens:     uint32(forecast.near()),
		UnreadTokens:   uint32(forecast.unreadTokens),
		EventMicros:    eventMicros,
		EventAgeMillis: eventAgeMillis,
		LongRuns:       uint32(forecast.longRuns()),

		ReportAgeMillis: m.reportAgeMillis(now),
	}}
}

// starting returns the number of requests whose answer has no event yet.
func starting(report platform.EngineReport) int {
	count := report.Queued
	for _, run := range report.Runs {
		if run.Events == 0 {
			count++
		}
	}
	return count
}

// shutdownNotice returns the message that the engine will shut down. The argument
// wantsAdvice says that the receiver is asked for advice.
func shutdownNotice(leavesAt, now boottime.Instant, wantsAdvice bool) *sighting.Sighting {
	left := max(leavesAt.MillisSince(now), 0)
	return &sighting.Sighting{Notice: &sighting.Notice{LeavesInMillis: uint32(left), WantsAdvice: wantsAdvice}}
}

// resetPlacements resets the count of arriving requests and reports whether there
// were any. In that case the load is reported again, as the engine's new report
// replaces the estimate that counted them.
func (m *Monitor) resetPlacements() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	had := m.placed > 0
	m.placed = 0
	return had
}

// addPlacement stores the forecast of a request that an entry host has placed, and
// reports a load that counts the request before the engine's own report does.
func (m *Monitor) addPlacement(p *sighting.Placement) {
	m.mu.Lock()
	m.placed++
	m.forecasts.add(p, boottime.Now())
	report := m.latest
	report.Queued += m.placed
	load := m.load(report)
	m.mu.Unlock()
	m.publish(load)
}

// reportAgeMillis returns the time since the engine's newest report, and at least one; zero before
// the first report. The caller holds the mutex.
func (m *Monitor) reportAgeMillis(now boottime.Instant) uint32 {
	if m.reportedAt == 0 {
		return 0
	}
	return uint32(min(max(now.MillisSince(m.reportedAt), 1), math.MaxUint32))
}
