// Package monitor is the process beside an engine: it follows the engine's
// state, reports it to the entry hosts that watch, and moves running
// generations away when the engine ends.
package monitor

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// pollMillis is the pause between questions for the engine's state.
	pollMillis = 40
	// queryTimeoutMillis bounds one question.
	queryTimeoutMillis = 500
	// reportMillis is the pause between reports of a load that changes.
	reportMillis = 120
	// idleReportMillis is the pause between reports of a load that stays.
	idleReportMillis = 1000
	// outboxLength bounds the reports that wait for a slow entry host.
	outboxLength = 64
)

// Monitor watches one engine. Its exported fields are set before Run.
type Monitor struct {
	// EngineAddress is host and port of the engine.
	EngineAddress string
	Engines       *platform.Engines
	// KeepRuns leaves running generations on an engine that ends.
	KeepRuns bool
	Metrics  *metrics.Registry
	Log      *slog.Logger

	sighting.DRPCLookoutUnimplementedServer

	mu       sync.Mutex
	watchers map[*watcher]struct{}
	latest   platform.EngineReport
	// reportedAt is when latest came; zero before the first report.
	reportedAt boottime.Instant
	// engineID is the identity of the engine; empty while it is not known.
	engineID string
	// leavesAt is the moment at which the engine ends; zero while it stays.
	leavesAt boottime.Instant
	advice   advice
	// migrations holds the latest message about each run that was copied since the
	// notice.
	migrations map[string]*sighting.Move
	// placed counts the requests on their way here since the latest report.
	placed    int
	forecasts forecasts
}

// watcher is an entry host that watches.
type watcher struct {
	// outbox holds the reports that are still to be sent.
	outbox chan *sighting.Sighting
}

// Run follows the engine until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		m.follow(ctx, group)
		return nil
	})
	return group.Wait()
}

// follow asks the engine for its state over and over.
func (m *Monitor) follow(ctx context.Context, group *errgroup.Group) {
	ticker := time.NewTicker(pollMillis * time.Millisecond)
	defer ticker.Stop()
	var reported platform.EngineReport
	var reportedAt boottime.Instant
	lost := false
	for ctx.Err() == nil {
		report, err := m.queryReport(ctx)
		now := boottime.Now()
		switch {
		case err != nil && !lost:
			m.Log.Warn("engine lost", "Engine", m.EngineAddress, "Error", err)
			lost = true
			m.setIdentity("")
		case err == nil && lost:
			m.Log.Info("engine regained", "Engine", m.EngineAddress)
			lost = false
		}
		if err == nil {
			m.identify(ctx)
			m.applyReport(ctx, group, report, now)
			if m.resetPlacements() || due(reported, report, now.MillisSince(reportedAt)) {
				m.publish(m.lockedLoad(report))
				reported, reportedAt = report, now
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// due reports whether a load should be sent to the entry hosts.
func due(reported, report platform.EngineReport, sinceMillis int64) bool {
	changed := reported.Running != report.Running || reported.Queued != report.Queued ||
		reported.UsedTokens != report.UsedTokens || starting(reported) != starting(report)
	if changed {
		return sinceMillis >= reportMillis
	}
	return sinceMillis >= idleReportMillis
}

func (m *Monitor) queryReport(ctx context.Context) (platform.EngineReport, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(queryTimeoutMillis*time.Millisecond))
	defer stop()
	return m.Engines.Report(ctx, m.EngineAddress)
}

// identify asks the engine for its identity once after each start.
func (m *Monitor) identify(ctx context.Context) {
	m.mu.Lock()
	known := m.engineID != ""
	m.mu.Unlock()
	if known {
		return
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(queryTimeoutMillis*time.Millisecond))
	defer stop()
	id, err := m.Engines.Identity(ctx, m.EngineAddress)
	if err != nil {
		m.Log.Warn("identity of engine not known", "Engine", m.EngineAddress, "Error", err)
		return
	}
	m.Log.Info("engine identified", "Engine", m.EngineAddress, "Server", id)
	m.setIdentity(id)
}

func (m *Monitor) setIdentity(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engineID = id
}

// applyReport takes over a report. The first one that says that the engine leaves
// starts the moves.
func (m *Monitor) applyReport(ctx context.Context, group *errgroup.Group, report platform.EngineReport, now boottime.Instant) {
	m.mu.Lock()
	restarted := report.BornUnixMillis != m.latest.BornUnixMillis
	m.latest = report
	m.reportedAt = now
	m.forecasts.prune(report, now)
	if restarted {
		m.engineID = ""
	}
	if restarted || !report.Leaving {
		m.leavesAt = 0
	}
	noticed := report.Leaving && m.leavesAt == 0
	if noticed {
		m.leavesAt = now.AddMillis(millisToShutdown(report))
		m.advice = advice{}
		m.migrations = nil
	}
	leavesAt := m.leavesAt
	m.mu.Unlock()
	if !noticed {
		return
	}
	m.Log.Info("engine leaves", "Engine", m.EngineAddress, "InMillis", leavesAt.MillisSince(now), "Runs", len(report.Runs))
	m.publish(shutdownNotice(leavesAt, now))
	if m.KeepRuns {
		m.publishFinal()
		return
	}
	group.Go(func() error {
		m.migrateAll(ctx, leavesAt)
		return nil
	})
}

// millisToShutdown returns the time until an engine ends that leaves.
func millisToShutdown(report platform.EngineReport) int64 {
	const assumedMillis = 1500
	if report.LeavesInMillis < 0 {
		return assumedMillis
	}
	return report.LeavesInMillis
}
