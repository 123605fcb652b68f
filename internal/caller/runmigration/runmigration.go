// Package runmigration migrates the running generations (runs) of an entry host away from
// engines that are about to shut down and have no monitor, or none that the host reaches. A
// monitor migrates all runs of its engine with better knowledge; where there is one, this
// package leaves the runs to it. Should both act, the engine's answers decide: it stops a run
// once.
package runmigration

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverpause"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// assumedNoticeMillis is the time until the shutdown of an engine that does not say when
	// it shuts down.
	assumedNoticeMillis = 1200
	// queryMillis bounds the query of that time.
	queryMillis = 150
	// stopMillis is the time before the shutdown at which the runs are stopped.
	stopMillis = 500
	// lastMigrationMillis is the time before the shutdown in which no migration is started.
	lastMigrationMillis = 20
	// replanMillis is the pause before the runs are considered again when none can be
	// migrated.
	replanMillis = 100
	// recheckMillis is the pause before a monitor that migrates runs of this host is checked
	// again.
	recheckMillis = 200
	// maxAttempts bounds the attempts to migrate one run.
	maxAttempts = 2
)

// Migrator migrates the runs of one entry host. Its exported fields are set before Run.
type Migrator struct {
	StoreWatcher *storewatcher.Watcher
	LoadTable    *placement.LoadTable
	// Migrations holds the open streams, which learn of the migration of their runs.
	Migrations *relay.Migrations
	// Monitored reports whether the monitor of an engine can be reached.
	Monitored func(server string) bool
	Engines   *platform.Engines
	Log       *slog.Logger

	wake signal.Signal

	mu sync.Mutex
	// active holds the IDs of the engines whose runs are being migrated.
	active map[string]bool
}

// Wake says that an engine may be about to shut down. It does not block.
func (m *Migrator) Wake() {
	m.wake.Set()
}

// Run migrates runs until ctx ends.
func (m *Migrator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		m.follow(ctx, group)
		return nil
	})
	return group.Wait()
}

// follow starts the migration of the runs of each engine that needs one.
func (m *Migrator) follow(ctx context.Context, group *errgroup.Group) {
	for {
		unmonitored, monitored := m.leaving()
		for _, server := range unmonitored {
			group.Go(func() error {
				defer m.finish(server)
				m.migrateAll(ctx, server)
				return nil
			})
		}
		// again is nil while no monitor may fail that is migrating runs of this host.
		var again <-chan time.Time
		if monitored {
			again = time.After(recheckMillis * time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake.C():
		case <-again:
		}
	}
}

// leaving returns the engines that are about to shut down, run generations of this host and
// have no monitor, and marks them as active. Those that are active already are left out. It
// also reports whether there are others that have a monitor.
func (m *Migrator) leaving() (unmonitored []discovery.BackendServer, monitored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, server := range candidates(m.StoreWatcher.Servers().List, &m.LoadTable.Pauses, boottime.Now()) {
		if m.active[server.ID] || len(m.Migrations.RunsOn(server.Address)) == 0 {
			continue
		}
		if _, ok := m.StoreWatcher.EngineService(server.Service); !ok {
			continue // a stream of a plain service has no run to migrate
		}
		if m.Monitored(server.ID) {
			monitored = true
			continue
		}
		if m.active == nil {
			m.active = make(map[string]bool)
		}
		m.active[server.ID] = true
		unmonitored = append(unmonitored, server)
	}
	return unmonitored, monitored
}

// candidates returns the backend servers that are about to shut down: by their entries or
// their answers, or because their entries were removed while they serve what they have. A
// server that was removed is gone for good once another one has its address.
func candidates(list discovery.List, pauses *serverpause.Table, now boottime.Instant) []discovery.BackendServer {
	var all []discovery.BackendServer
	addresses := make(map[string]bool)
	for _, server := range list.All() {
		addresses[server.Address] = true
		if server.State == discovery.Draining || pauses.Status(server, now).Leaving {
			all = append(all, server)
		}
	}
	for _, server := range list.Gone() {
		if !addresses[server.Address] {
			all = append(all, server)
		}
	}
	return all
}

// finish marks an engine as no longer active.
func (m *Migrator) finish(server discovery.BackendServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, server.ID)
}

// migrateAll migrates this host's runs on an engine until the engine shuts down. Runs are
// first copied while they continue. Other hosts do the same over the same links, where copies
// queue, so the runs are stopped only at the end, when little is left to copy and no long
// copy delays that. The streams of the runs that stay are told not to wait for a migration.
func (m *Migrator) migrateAll(ctx context.Context, server discovery.BackendServer) {
	leavesAt := m.shutdownTime(ctx, server)
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(leavesAt.MillisSince(boottime.Now()))*time.Millisecond))
	defer stop()
	e := evacuation{
		migrator: m,
		server:   server,
		leavesAt: leavesAt,
		attempts: make(map[string]int),
		copied:   make(map[string]copiedRun),
		assigned: make(map[string]int),
	}
	defer e.announceFinal()
	e.copyAhead(ctx)
	e.stopCopied(ctx)
	e.migrateRest(ctx)
}

// shutdownTime returns the time at which the engine shuts down.
func (m *Migrator) shutdownTime(ctx context.Context, server discovery.BackendServer) boottime.Instant {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(queryMillis*time.Millisecond))
	defer stop()
	now := boottime.Now()
	report, err := m.Engines.Report(ctx, server.Address)
	if err != nil || report.LeavesInMillis < 0 {
		m.Log.Info("engine without a monitor is shutting down at an unknown time", "Server", server.ID, "Error", err)
		return now.AddMillis(assumedNoticeMillis)
	}
	m.Log.Info("engine without a monitor is shutting down", "Server", server.ID, "InMillis", report.LeavesInMillis)
	return now.AddMillis(report.LeavesInMillis)
}

// evacuation is the migration of this host's runs on one engine.
type evacuation struct {
	migrator *Migrator
	server   discovery.BackendServer
	// leavesAt is the time at which the engine shuts down.
	leavesAt boottime.Instant
	// attempts counts the attempts to migrate each run, by request ID.
	attempts map[string]int
	// copied holds the runs that were copied while they continued, by request ID.
	copied map[string]copiedRun
	// assigned counts the runs that were copied to each destination, by address.
	assigned map[string]int
}

// copiedRun is a run that was copied while it continued.
type copiedRun struct {
	step migration.Step
	// handle identifies the copy.
	handle string
}

// left returns the time until the engine shuts down.
func (e *evacuation) left() int64 {
	return e.leavesAt.MillisSince(boottime.Now())
}

// goesOn reports whether there is time for a migration that must begin earlier than
// beforeMillis before the shutdown, and still no monitor to leave it to.
func (e *evacuation) goesOn(ctx context.Context, beforeMillis int64) bool {
	return ctx.Err() == nil && e.left() > beforeMillis && !e.migrator.Monitored(e.server.ID)
}

// copyAhead copies runs while they continue.
func (e *evacuation) copyAhead(ctx context.Context) {
	for e.goesOn(ctx, stopMillis) {
		step, ok := e.nextStep(e.left() - stopMillis)
		if !ok {
			boottime.Pause(ctx, min(replanMillis, e.left()-stopMillis))
			continue
		}
		e.begin(step)
		if reply := e.copy(ctx, step, false); reply.Done {
			e.copied[step.Run.RequestID] = copiedRun{step: step, handle: reply.Handle}
		}
	}
}

// stopCopied stops the runs that were copied and copies what is new. The copies of runs that
// have ended meanwhile are released, as they take memory at their destinations.
func (e *evacuation) stopCopied(ctx context.Context) {
	for _, run := range e.copied {
		if !e.goesOn(ctx, lastMigrationMillis) {
			return
		}
		if e.copy(ctx, run.step, true).Status == http.StatusNotFound {
			e.release(ctx, run)
		}
	}
}

// release frees the copy of a run that has ended.
func (e *evacuation) release(ctx context.Context, run copiedRun) {
	handle := platform.Handle{Address: e.server.Address, ID: run.handle}
	if err := e.migrator.Engines.Release(ctx, handle); err != nil {
		e.migrator.Log.Warn("release of run copy failed", "Request", run.step.Run.RequestID,
			"Destination", run.step.Destination.Address, "Error", err)
	}
}

// migrateRest stops and copies runs that were not copied before.
func (e *evacuation) migrateRest(ctx context.Context) {
	for e.goesOn(ctx, lastMigrationMillis) {
		step, ok := e.nextStep(e.left())
		if !ok {
			return
		}
		e.begin(step)
		e.copy(ctx, step, true)
	}
}

// begin counts an attempt to migrate a run.
func (e *evacuation) begin(step migration.Step) {
	e.attempts[step.Run.RequestID]++
	e.assigned[step.Destination.Address]++
}

// nextStep returns the next run to copy within the given time and its destination, or false
// when there is none now.
func (e *evacuation) nextStep(withinMillis int64) (migration.Step, bool) {
	var runs []migration.Run
	for _, run := range e.migrator.Migrations.RunsOn(e.server.Address) {
		_, copied := e.copied[run.RequestID]
		if !copied && e.attempts[run.RequestID] < maxAttempts && run.Generation.ProducedTokens > 0 {
			runs = append(runs, newRun(run))
		}
	}
	return migration.Next(runs, e.destinations(), withinMillis)
}

// newRun returns a run for the decision whether to migrate it.
func newRun(run relay.Run) migration.Run {
	g := run.Generation
	return migration.Run{
		RequestID: run.RequestID,
		Tokens:    g.PromptTokens + g.ProducedTokens,
		Produced:  g.ProducedTokens,
		Remaining: g.Output.Remaining(g.ProducedTokens),
	}
}

// destinations returns the engines that runs can be migrated to.
func (e *evacuation) destinations() []migration.Destination {
	service, ok := e.migrator.StoreWatcher.EngineService(e.server.Service)
	if !ok {
		return nil
	}
	ready := e.migrator.StoreWatcher.Ready(e.server.Service, boottime.Now())
	var all []migration.Destination
	for _, capacity := range e.migrator.LoadTable.AssumedCapacity(ready, service) {
		if capacity.Server.ID == e.server.ID {
			continue
		}
		all = append(all, migration.Destination{
			Address:     capacity.Server.Address,
			FreeTokens:  capacity.FreeTokens,
			SpareTokens: capacity.SpareTokens,
			FreeSlots:   capacity.FreeSlots,
			SameZone:    capacity.Server.Zone == e.server.Zone,
			LongPauses:  capacity.LongPauses,
			LatePercent: capacity.LatePercent,
			Assigned:    e.assigned[capacity.Server.Address],

			CopyTokensPerSecond: service.Engine.CopyTokensPerSecond(),
		})
	}
	return all
}

// copy copies a run and announces the result to its stream.
func (e *evacuation) copy(ctx context.Context, step migration.Step, stop bool) platform.Copy {
	startedAt := boottime.Now()
	firstStop := stop && e.migrator.Migrations.OrderStop(step.Run.RequestID)
	reply, err := e.migrator.Engines.Copy(ctx, e.server.Address, step.Run.RequestID, step.Destination.Address, stop)
	e.migrator.Log.Info("run copied", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Stop", stop, "Done", reply.Done, "Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining,
		"SameZone", step.Destination.SameZone, "LongPauses", step.Destination.LongPauses, "LatePercent", step.Destination.LatePercent, "LeftMillis", e.left(), "Millis", boottime.Now().MillisSince(startedAt))
	if err != nil || !reply.Done {
		e.migrator.Log.Warn("copy of run failed", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if firstStop && reply.Status == http.StatusNotFound {
		e.migrator.Migrations.WithdrawStop(step.Run.RequestID)
	}
	if reply.Handle == "" {
		return reply
	}
	announced := relay.Migration{
		RequestID: step.Run.RequestID,
		Stopped:   stop,
		Source:    platform.Handle{Address: e.server.Address, ID: reply.Handle},
	}
	if reply.Done {
		announced.Destination = step.Destination.Address
	}
	e.migrator.Migrations.Announce(announced)
	return reply
}

// announceFinal tells the streams of the runs that stay that no migration follows.
func (e *evacuation) announceFinal() {
	if e.migrator.Monitored(e.server.ID) {
		return
	}
	for _, run := range e.migrator.Migrations.RunsOn(e.server.Address) {
		e.migrator.Log.Info("run not migrated", "Request", run.RequestID, "Server", e.server.ID)
		e.migrator.Migrations.AnnounceFinal(run.RequestID)
	}
}
