// Package lookout is the process beside an engine: it follows the engine's
// state, reports it to the entry hosts that watch, and moves running
// generations away when the engine ends.
package lookout

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/measure"
	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// pollMillis is the pause between questions for the engine's state.
	pollMillis = 40
	// askMillis bounds one question.
	askMillis = 500
	// reportMillis is the pause between reports of a load that changes.
	reportMillis = 120
	// idleReportMillis is the pause between reports of a load that stays.
	idleReportMillis = 1000
	// outboxLength bounds the reports that wait for a slow entry host.
	outboxLength = 64
)

// Lookout watches one engine. Its exported fields are set before Run.
type Lookout struct {
	// EngineAddress is host and port of the engine.
	EngineAddress string
	Engines       *platform.Engines
	// KeepRuns leaves running generations on an engine that ends.
	KeepRuns bool
	Measure  *measure.Measure
	Log      *slog.Logger

	sighting.DRPCLookoutUnimplementedServer

	mu       sync.Mutex
	watchers map[*watcher]struct{}
	latest   platform.EngineReport
	// reportedAt is when latest came; zero before the first report.
	reportedAt moment.Moment
	// engineID is the identity of the engine; empty while it is not known.
	engineID string
	// leavesAt is the moment at which the engine ends; zero while it stays.
	leavesAt moment.Moment
	advice   advice
	// moves holds the latest message about each run that was copied since the
	// notice.
	moves map[string]*sighting.Move
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
func (l *Lookout) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		l.follow(ctx, group)
		return nil
	})
	return group.Wait()
}

// follow asks the engine for its state over and over.
func (l *Lookout) follow(ctx context.Context, group *errgroup.Group) {
	ticker := time.NewTicker(pollMillis * time.Millisecond)
	defer ticker.Stop()
	var reported platform.EngineReport
	var reportedAt moment.Moment
	lost := false
	for ctx.Err() == nil {
		report, err := l.ask(ctx)
		now := moment.Now()
		switch {
		case err != nil && !lost:
			l.Log.Warn("engine lost", "Engine", l.EngineAddress, "Error", err)
			lost = true
			l.setIdentity("")
		case err == nil && lost:
			l.Log.Info("engine regained", "Engine", l.EngineAddress)
			lost = false
		}
		if err == nil {
			l.identify(ctx)
			l.learn(ctx, group, report, now)
			if l.takePlacements() || due(reported, report, now.MillisSince(reportedAt)) {
				l.publish(l.lockedLoad(report))
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

func (l *Lookout) ask(ctx context.Context) (platform.EngineReport, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(askMillis*time.Millisecond))
	defer stop()
	return l.Engines.Report(ctx, l.EngineAddress)
}

// identify asks the engine for its identity once after each start.
func (l *Lookout) identify(ctx context.Context) {
	l.mu.Lock()
	known := l.engineID != ""
	l.mu.Unlock()
	if known {
		return
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(askMillis*time.Millisecond))
	defer stop()
	id, err := l.Engines.Identity(ctx, l.EngineAddress)
	if err != nil {
		l.Log.Warn("identity of engine not known", "Engine", l.EngineAddress, "Error", err)
		return
	}
	l.Log.Info("engine identified", "Engine", l.EngineAddress, "Server", id)
	l.setIdentity(id)
}

func (l *Lookout) setIdentity(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engineID = id
}

// learn takes over a report. The first one that says that the engine leaves
// starts the moves.
func (l *Lookout) learn(ctx context.Context, group *errgroup.Group, report platform.EngineReport, now moment.Moment) {
	l.mu.Lock()
	restarted := report.BornUnixMillis != l.latest.BornUnixMillis
	l.latest = report
	l.reportedAt = now
	l.forecasts.prune(report, now)
	if restarted {
		l.engineID = ""
	}
	if restarted || !report.Leaving {
		l.leavesAt = 0
	}
	noticed := report.Leaving && l.leavesAt == 0
	if noticed {
		l.leavesAt = now.AddMillis(leaveMillis(report))
		l.advice = advice{}
		l.moves = nil
	}
	leavesAt := l.leavesAt
	l.mu.Unlock()
	if !noticed {
		return
	}
	l.Log.Info("engine leaves", "Engine", l.EngineAddress, "InMillis", leavesAt.MillisSince(now), "Runs", len(report.Runs))
	l.publish(noticeSighting(leavesAt, now))
	if l.KeepRuns {
		l.publishFinal()
		return
	}
	group.Go(func() error {
		l.moveAll(ctx, leavesAt)
		return nil
	})
}

// leaveMillis returns the time until an engine ends that leaves.
func leaveMillis(report platform.EngineReport) int64 {
	const assumedMillis = 1500
	if report.LeavesInMillis < 0 {
		return assumedMillis
	}
	return report.LeavesInMillis
}
