// Package runmigration migrates the running generations (runs) of an entry host away from
// engines that are about to shut down and have no monitor, or none that the host reaches. A
// monitor migrates all runs of its engine with better knowledge; where there is one, this
// package leaves the runs to it. Should both act, the engine's answers decide: it stops a run
// once.
package runmigration

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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
	e.copyAhead(ctx)
	e.stopCopied(ctx)
	e.migrateRest(ctx)
	e.announceFinal()
	e.releaseUnclaimed(ctx)
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
