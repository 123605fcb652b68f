package lookout

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// lockedLoad is load for callers that do not hold the lock.
func (l *Lookout) lockedLoad(report platform.EngineReport) *sighting.Sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(report)
}

// load returns the load of the engine. The lock is held.
func (l *Lookout) load(report platform.EngineReport) *sighting.Sighting {
	return &sighting.Sighting{Load: &sighting.Load{
		Running:    uint32(report.Running),
		Queued:     uint32(report.Queued),
		UsedTokens: uint32(report.UsedTokens),
		Starting:   uint32(starting(report)),

		ExpectedTokens: uint32(l.forecasts.expected(report, moment.Now())),
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

func noticeSighting(leavesAt, now moment.Moment) *sighting.Sighting {
	left := max(leavesAt.MillisSince(now), 0)
	return &sighting.Sighting{Notice: &sighting.Notice{LeavesInMillis: uint32(left)}}
}

// takePlacements forgets the requests on their way and reports whether there
// were any, so that their estimate is replaced by what the engine says.
func (l *Lookout) takePlacements() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	had := l.placed > 0
	l.placed = 0
	return had
}

// place tells the entry hosts of a request on its way before the engine shows
// it.
func (l *Lookout) place(p *sighting.Placement) {
	l.mu.Lock()
	l.placed++
	l.forecasts.add(p.GetRequestId(), int(p.GetTokens()), moment.Now())
	report := l.latest
	report.Queued += l.placed
	load := l.load(report)
	l.mu.Unlock()
	l.publish(load)
}
