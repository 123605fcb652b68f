// Package monitor implements the monitor, the process beside an engine. It polls
// the engine's state, reports it to the entry hosts that watch, and migrates running
// generations (runs) to other engines when the engine is about to shut down. The
// entry hosts notify the monitor of the requests that they place at the engine. After
// a shutdown notice the monitor asks a few of them at a time for advice: the engines that
// the runs can be migrated to.
package monitor

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/enginespeed"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/pendingreservation"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/stoporder"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// pollMillis is the pause between queries of the engine's state.
	pollMillis = 40
	// queryTimeoutMillis bounds one query of the engine.
	queryTimeoutMillis = 500
	// reportMillis is the least pause between reports of a load that changes, with up to
	// reportWatchers watching entry hosts. With more of them the pause grows in proportion,
	// up to idleReportMillis: then neither the messages that a monitor sends nor, as large
	// deployments have as many engines as entry hosts, those that a host receives grow with
	// the deployment.
	reportMillis   = 120
	reportWatchers = 32
	// idleReportMillis is the pause between reports of a load that does not change.
	idleReportMillis = 1000
	// outboxLength bounds the messages that wait for a slow entry host.
	outboxLength = 64
)

// Monitor watches one engine. Its exported fields are set before Run.
type Monitor struct {
	// EngineAddress is host and port of the engine.
	EngineAddress string
	Engines       *platform.Engines
	// PeerPort is the port of the monitors of all engines.
	PeerPort int
	// KeepRuns says that running generations are not migrated when the engine
	// shuts down.
	KeepRuns bool
	Metrics  *metrics.Registry
	Log      *slog.Logger

	sighting.DRPCLookoutUnimplementedServer

	// mu guards the fields below.
	mu       sync.Mutex
	watchers map[*watcher]struct{}
	// openStreams is the number of streams of entry hosts. A stream whose watcher was removed counts until
	// it ends, so the number is never less than that of watchers.
	openStreams int
	// latest is the newest report of the engine.
	latest platform.EngineReport
	// reportedAt is the time of latest; zero before the first report.
	reportedAt boottime.Instant
	// engineID is the ID of the engine; empty while it is not known.
	engineID string
	// leavesAt is the time at which the engine will shut down; zero while no
	// shutdown is announced.
	leavesAt boottime.Instant
	// plannedStop is the state of a planned stop of this process.
	plannedStop plannedStop
	advice      advice
	// migrations holds the latest message about each run that was copied since the
	// shutdown notice, by request ID.
	migrations map[string]*sighting.Move
	// stops holds the latest message about each run that was stopped since the engine started, by
	// request ID.
	stops map[string]*sighting.Move
	// obstacles holds the newest reason other than a lack of time why a run could not
	// be migrated since the shutdown notice, by request ID.
	obstacles map[string]migration.Obstacle
	// stopOrders holds the orders to stop runs since the engine started, and lastOrder the number of the
	// newest one.
	stopOrders stoporder.Table
	lastOrder  uint64
	// endQuestions holds the questions of entry hosts that wait for the outcome of an order, by request ID.
	endQuestions map[string][]endQuestion
	// placed is the number of requests that entry hosts have placed since the
	// latest report.
	placed    int
	forecasts forecasts
	speed     enginespeed.Estimator
	// pending holds the requests that the engine had no memory for.
	pending    pendingreservation.Queue
	inbound    inbound
	rateLimits rateLimits
	// unresponsive holds what entry hosts state of unresponsive servers.
	unresponsive unresponsiveServers
}

// watcher is an entry host that watches the engine.
type watcher struct {
	// outbox holds the messages that are still to be sent.
	outbox chan *sighting.Sighting
}

// Run watches the engine until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		m.follow(ctx, group)
		return nil
	})
	group.Go(func() error {
		m.passOnRateLimits(ctx)
		return nil
	})
	group.Go(func() error {
		m.passOnUnresponsive(ctx)
		return nil
	})
	return group.Wait()
}

// follow polls the engine's state and reports it to the watching entry hosts.
func (m *Monitor) follow(ctx context.Context, group *errgroup.Group) {
	ticker := time.NewTicker(pollMillis * time.Millisecond)
	defer ticker.Stop()
	migrations, cancel := m.migrationContext(ctx)
	defer cancel()
	var reported platform.EngineReport
	var reportedAt boottime.Instant
	// placed says that requests were placed since the last report of a load.
	lost, placed := false, false
	for ctx.Err() == nil {
		queriedAt := boottime.Now()
		report, err := m.queryReport(ctx)
		now := boottime.Now()
		switch {
		case err != nil && !lost:
			m.Log.Warn("engine state not available", "Engine", m.EngineAddress, "Error", err)
			lost = true
			m.setIdentity("")
		case err == nil && lost:
			m.Log.Info("engine state available again", "Engine", m.EngineAddress)
			lost = false
		}
		if err == nil {
			m.identify(ctx)
			m.applyReport(migrations, group, report, queriedAt)
			placed = m.resetPlacements() || placed
			if due(reported, report, placed, now.MillisSince(reportedAt), m.watching()) {
				m.publish(m.lockedLoad(report))
				reported, reportedAt, placed = report, now, false
			}
		}
		m.noteQuery(queriedAt)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// watching returns the number of entry hosts that watch the engine.
func (m *Monitor) watching() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.watchers)
}

// due reports whether a load should be reported to the watching entry hosts, sinceMillis
// after the last report. A placement, which replaces an estimate that the hosts have
// received, is reported at once to a few hosts.
func due(reported, report platform.EngineReport, placed bool, sinceMillis int64, watchers int) bool {
	if placed && watchers <= reportWatchers {
		return true
	}
	changed := placed || reported.Running != report.Running || reported.Queued != report.Queued ||
		reported.UsedTokens != report.UsedTokens || starting(reported) != starting(report)
	if changed {
		pauseMillis := min(max(watchers, reportWatchers)*reportMillis/reportWatchers, idleReportMillis)
		return sinceMillis >= int64(pauseMillis)
	}
	return sinceMillis >= idleReportMillis
}

func (m *Monitor) queryReport(ctx context.Context) (platform.EngineReport, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(queryTimeoutMillis*time.Millisecond))
	defer stop()
	return m.Engines.Report(ctx, m.EngineAddress)
}

// identify queries the engine's ID while it is not known, that is after each start
// of the engine and after each outage.
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
		m.Log.Warn("engine identity query failed", "Engine", m.EngineAddress, "Error", err)
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

// applyReport stores a report of the engine, which was asked for at the given time. The first report that
// announces the shutdown starts the migration of the engine's runs.
func (m *Monitor) applyReport(ctx context.Context, group *errgroup.Group, report platform.EngineReport, askedAt boottime.Instant) {
	now := boottime.Now()
	m.mu.Lock()
	restarted := report.BornUnixMillis != m.latest.BornUnixMillis
	m.latest = report
	m.reportedAt = now
	m.forecasts.observe(report, now)
	m.observeSpeed(report, now)
	if restarted {
		m.engineID = ""
		m.stopOrders = stoporder.Table{}
		m.stops, m.migrations, m.endQuestions = nil, nil, nil
	}
	m.stopOrders.Observe(report.Leaving, requestIDs(report), askedAt)
	if restarted || !report.Leaving {
		m.leavesAt = 0
	}
	announced := report.Leaving && m.leavesAt == 0
	if announced || restarted {
		m.pending.Clear()
	}
	if announced {
		m.leavesAt = now.AddMillis(millisToShutdown(report))
		m.advice = advice{}
		m.migrations = nil
		m.obstacles = make(map[string]migration.Obstacle)
	}
	leavesAt := m.leavesAt
	eventMicros, _ := m.eventTime(now)
	m.mu.Unlock()
	m.Metrics.SetEventTime(int64(eventMicros))
	if !announced {
		return
	}
	m.Log.Info("engine is shutting down", "Engine", m.EngineAddress, "InMillis", leavesAt.MillisSince(now), "Runs", len(report.Runs))
	m.publish(shutdownNotice(leavesAt, now, false))
	if m.KeepRuns {
		m.publishFinal(false)
		return
	}
	m.addShutdown(1)
	group.Go(func() error {
		m.requestAdvice(ctx, leavesAt)
		return nil
	})
	group.Go(func() error {
		defer m.addShutdown(-1)
		m.migrateAll(ctx, leavesAt)
		return nil
	})
}

// millisToShutdown returns the time until a leaving engine shuts down.
func millisToShutdown(report platform.EngineReport) int64 {
	// assumedMillis is used when the engine does not report the time.
	const assumedMillis = 1500
	if report.LeavesInMillis < 0 {
		return assumedMillis
	}
	return report.LeavesInMillis
}
