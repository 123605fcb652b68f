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
	Log           *slog.Logger

	sighting.DRPCLookoutUnimplementedServer

	mu       sync.Mutex
	watchers map[*watcher]struct{}
	latest   platform.EngineReport
	// engineID is the identity of the engine; empty while it is not known.
	engineID string
	// leavesAt is the moment at which the engine ends; zero while it stays.
	leavesAt moment.Moment
	advice   advice
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
	}
	leavesAt := l.leavesAt
	l.mu.Unlock()
	if !noticed {
		return
	}
	l.Log.Info("engine leaves", "Engine", l.EngineAddress, "InMillis", leavesAt.MillisSince(now), "Runs", len(report.Runs))
	l.publish(noticeSighting(leavesAt, now))
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

// lockedLoad is load for callers that do not hold the lock.
func (l *Lookout) lockedLoad(report platform.EngineReport) *sighting.Sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(report)
}

// load returns the load of the engine. The lock is held.
func (l *Lookout) load(report platform.EngineReport) *sighting.Sighting {
	return &sighting.Sighting{Load: &sighting.Load{
		Running:     uint32(report.Running),
		Queued:      uint32(report.Queued),
		UsedTokens:  uint32(report.UsedTokens),
		TotalTokens: uint32(report.TotalTokens),
		Starting:    uint32(starting(report)),

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

// publish puts a report into every outbox. An entry host that takes none loses
// its stream and watches anew.
func (l *Lookout) publish(s *sighting.Sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.EngineBornUnixMillis = l.latest.BornUnixMillis
	s.EngineId = l.engineID
	if s.GetLoad() != nil {
		s.Load.Watchers = uint32(len(l.watchers))
	}
	for w := range l.watchers {
		select {
		case w.outbox <- s:
		default:
			delete(l.watchers, w)
			close(w.outbox)
		}
	}
}

// Watch serves one entry host until either side ends the stream.
func (l *Lookout) Watch(stream sighting.DRPCLookout_WatchStream) error {
	w := l.enter()
	defer l.leave(w)
	group, ctx := errgroup.WithContext(stream.Context())
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				l.leave(w)
				return err
			}
			if message.GetPlacement() != nil {
				l.place(message.GetPlacement())
				continue
			}
			l.takeAdvice(message)
		}
	})
	group.Go(func() error {
		for {
			select {
			case s, open := <-w.outbox:
				if !open {
					return stream.Close()
				}
				if err := stream.Send(s); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return group.Wait()
}

// enter adds a watcher and gives it the newest report.
func (l *Lookout) enter() *watcher {
	w := &watcher{outbox: make(chan *sighting.Sighting, outboxLength)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watchers == nil {
		l.watchers = make(map[*watcher]struct{})
	}
	l.watchers[w] = struct{}{}
	w.outbox <- l.load(l.latest)
	if l.leavesAt != 0 {
		w.outbox <- noticeSighting(l.leavesAt, moment.Now())
	}
	return w
}

// leave removes a watcher.
func (l *Lookout) leave(w *watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, watching := l.watchers[w]; watching {
		delete(l.watchers, w)
		close(w.outbox)
	}
}
