package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// lockedLoad is load for callers that do not hold the lock.
func (m *Monitor) lockedLoad(report platform.EngineReport) *sighting.Sighting {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load(report)
}

// load returns the load of the engine. The lock is held.
func (m *Monitor) load(report platform.EngineReport) *sighting.Sighting {
	return &sighting.Sighting{Load: &sighting.Load{
		Running:    uint32(report.Running),
		Queued:     uint32(report.Queued),
		UsedTokens: uint32(report.UsedTokens),
		Starting:   uint32(starting(report)),

		ExpectedTokens: uint32(m.forecasts.expected(report, boottime.Now())),
	}}
}

// starting counts the requests that have made no event yet.
func starting(report platform.EngineReport) int {
	count := report.Queued
	for _, run := range report.Runs {
		if run.Events == 0 {
			count++
		}
	}
	return count
}

func shutdownNotice(leavesAt, now boottime.Instant) *sighting.Sighting {
	left := max(leavesAt.MillisSince(now), 0)
	return &sighting.Sighting{Notice: &sighting.Notice{LeavesInMillis: uint32(left)}}
}

// resetPlacements forgets the requests on their way and reports whether there
// were any, so that their estimate is replaced by what the engine says.
func (m *Monitor) resetPlacements() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	had := m.placed > 0
	m.placed = 0
	return had
}

// addPlacement tells the entry hosts of a request on its way before the engine shows
// it.
func (m *Monitor) addPlacement(p *sighting.Placement) {
	m.mu.Lock()
	m.placed++
	m.forecasts.add(p.GetRequestId(), int(p.GetTokens()), boottime.Now())
	report := m.latest
	report.Queued += m.placed
	load := m.load(report)
	m.mu.Unlock()
	m.publish(load)
}
