package runmigration

import (
	"context"
	"net/http"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

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
	// unclaimed holds the copied runs that the engine did not have any more when it was to stop them.
	unclaimed []copiedRun
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

// stopCopied stops the runs that were copied and copies what is new. The engine may have no such run any
// more: it has ended, or the monitor, which this host does not hear, has stopped it.
func (e *evacuation) stopCopied(ctx context.Context) {
	for _, run := range e.copied {
		if !e.goesOn(ctx, lastMigrationMillis) {
			return
		}
		if e.copy(ctx, run.step, true).Status == http.StatusNotFound {
			e.unclaimed = append(e.unclaimed, run)
		}
	}
}

// releaseUnclaimed frees the copies of runs that have ended, as they take memory at their destinations. While
// the stream of a run is open, it may still go on at the copy. What is left at the shutdown lapses there.
func (e *evacuation) releaseUnclaimed(ctx context.Context) {
	for {
		e.unclaimed = slices.DeleteFunc(e.unclaimed, func(run copiedRun) bool {
			if e.migrator.Migrations.IsOpen(run.step.Run.RequestID) {
				return false
			}
			e.release(ctx, run)
			return true
		})
		if len(e.unclaimed) == 0 || ctx.Err() != nil || e.left() <= lastMigrationMillis {
			return
		}
		boottime.Pause(ctx, replanMillis)
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
func newRun(run relay.StreamRun) migration.Run {
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
	order := uint64(0)
	if stop {
		order = e.migrator.Migrations.OrderStop(step.Run.RequestID, e.server.Address)
	}
	reply, err := e.migrator.Engines.Copy(ctx, e.server.Address, step.Run.RequestID, step.Destination.Address, stop)
	e.migrator.Log.Info("run copied", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Stop", stop, "Done", reply.Done, "Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining,
		"SameZone", step.Destination.SameZone, "LongPauses", step.Destination.LongPauses, "LatePercent", step.Destination.LatePercent, "LeftMillis", e.left(), "Millis", boottime.Now().MillisSince(startedAt))
	if err != nil || !reply.Done {
		e.migrator.Log.Warn("copy of run failed", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if stop && reply.NotActed {
		e.migrator.Migrations.WithdrawStop(step.Run.RequestID, e.server.Address, order)
	}
	if reply.Handle == "" {
		return reply
	}
	announced := relay.Migration{
		RequestID: step.Run.RequestID,
		Stopped:   stop,
		StopOrder: order,
		Own:       true,
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
		e.migrator.Migrations.AnnounceFinal(run.RequestID, e.server.Address)
	}
}
