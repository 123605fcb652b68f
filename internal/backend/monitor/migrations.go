package monitor

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// adviceMillis is the wait for the advice of entry hosts. Meanwhile the
	// shutdown notices of other engines reach the hosts, too.
	adviceMillis = 60
	// lastMigrationMillis is the time before the shutdown in which no migration is
	// started.
	lastMigrationMillis = 20
	// replanMillis is the pause before the runs are considered again when none can
	// be migrated.
	replanMillis = 40
	// maxAttempts bounds the attempts to migrate one run.
	maxAttempts = 3
)

// Results of migrations in the metrics.
const (
	// migrationDone says that the run can continue at its destination.
	migrationDone = "Done"
	// migrationNeedless says that the run ended before it could be stopped.
	migrationNeedless = "Needless"
	// migrationFailed says that the copy failed.
	migrationFailed = "Failed"
	// migrationStayed says that the run stayed on the engine until the shutdown.
	migrationStayed = "Stayed"
)

// storeAdvice stores the advice of one entry host.
func (m *Monitor) storeAdvice(message *sighting.Advice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.store(message, boottime.Now())
}

// migrateAll migrates the engine's runs one after the other until the engine shuts
// down.
func (m *Monitor) migrateAll(ctx context.Context, leavesAt boottime.Instant) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(leavesAt.MillisSince(boottime.Now()))*time.Millisecond))
	defer stop()
	// While there is time, the entry hosts migrate the runs that this process leaves to them.
	defer func() { m.publishFinal(leavesAt.MillisSince(boottime.Now()) > lastMigrationMillis) }()
	boottime.Pause(ctx, adviceMillis)
	attempts := make(map[string]int)
	for ctx.Err() == nil {
		left := leavesAt.MillisSince(boottime.Now())
		if left < lastMigrationMillis {
			return
		}
		step, ok := m.nextStep(attempts, left)
		if !ok {
			boottime.Pause(ctx, replanMillis)
			continue
		}
		if !m.completesBeforeStop(step) {
			return
		}
		if !m.reserve(ctx, step) {
			continue
		}
		m.assign(step)
		attempts[step.Run.RequestID]++
		m.addCopy(1)
		if m.migrate(ctx, step, left) {
			attempts[step.Run.RequestID] = maxAttempts
		}
		m.addCopy(-1)
	}
}

// nextStep returns the next migration by the engine's newest report, or false when
// there is none now.
func (m *Monitor) nextStep(attempts map[string]int, left int64) (migration.Step, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs, destinations := m.migratable(attempts), m.advice.destinations(boottime.Now())
	step, ok := migration.Next(runs, destinations, left)
	if !ok {
		m.recordObstacles(runs, destinations, left)
	}
	return step, ok
}

// assign records that a run was assigned to its destination.
func (m *Monitor) assign(step migration.Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.assign(step, boottime.Now())
}

// recordObstacles stores why none of the runs can be migrated now. The caller holds
// the mutex.
func (m *Monitor) recordObstacles(runs []migration.Run, destinations []migration.Destination, left int64) {
	for _, run := range runs {
		if obstacle := migration.ObstacleOf(run, destinations, left); obstacle != migration.NoTime {
			m.obstacles[run.RequestID] = obstacle
		}
	}
}

// migratable returns the runs that may still be migrated. A run can be copied only
// after its first event, and not while its stream is about to go on after a stop. The caller holds the mutex.
func (m *Monitor) migratable(attempts map[string]int) []migration.Run {
	var runs []migration.Run
	for _, run := range m.latest.Runs {
		if attempts[run.RequestID] >= maxAttempts || run.Events == 0 || m.stopOrders.Rests(run.RequestID) {
			continue
		}
		runs = append(runs, m.forecasts.migratable(run))
	}
	return runs
}

// migrate copies a run while it runs, if there is time for that, then stops it,
// copies the rest and notifies the entry hosts. It reports whether the run needs no
// further attempt, because it was migrated or has ended.
func (m *Monitor) migrate(ctx context.Context, step migration.Step, left int64) bool {
	started := boottime.Now()
	ahead := step.CanPreCopy(left)
	copied := ""
	if ahead {
		reply := m.copyAndPublish(ctx, step, false)
		if !reply.Done {
			return reply.Status == http.StatusNotFound
		}
		copied = reply.Handle
	}
	stoppedAt := boottime.Now()
	aheadMillis := stoppedAt.MillisSince(started)
	reply := m.copyAndPublish(ctx, step, true)
	m.countMigration(reply, stoppedAt)
	if reply.Status == http.StatusNotFound {
		m.release(ctx, step, copied)
	}
	m.Log.Info("run migration ended", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining, "SameZone", step.Destination.SameZone,
		"LongPauses", step.Destination.LongPauses, "LatePercent", step.Destination.LatePercent, "LastResort", step.LastResort,
		"LeftMillis", left, "Ahead", ahead, "AheadMillis", aheadMillis,
		"Millis", boottime.Now().MillisSince(started), "Moved", reply.Done)
	return reply.Done || reply.Status == http.StatusNotFound
}

// countMigration counts a migration for which the run was stopped.
func (m *Monitor) countMigration(reply platform.Copy, stoppedAt boottime.Instant) {
	switch {
	case reply.Done:
		m.Metrics.CountMigration(migrationDone)
		m.Metrics.RecordMigrationPause(time.Duration(boottime.Now().MillisSince(stoppedAt)) * time.Millisecond)
	case reply.Status == http.StatusNotFound:
		m.Metrics.CountMigration(migrationNeedless)
	default:
		m.Metrics.CountMigration(migrationFailed)
	}
}

// release frees the copy of a run that ended while it was copied.
func (m *Monitor) release(ctx context.Context, step migration.Step, handle string) {
	if handle == "" {
		return
	}
	err := m.Engines.Release(ctx, platform.Handle{Address: m.EngineAddress, ID: handle})
	if err != nil {
		m.Log.Warn("release of run copy failed", "Request", step.Run.RequestID, "Destination", step.Destination.Address, "Error", err)
	}
}

// copyAndPublish copies a run and reports the result to the entry hosts.
func (m *Monitor) copyAndPublish(ctx context.Context, step migration.Step, stop bool) platform.Copy {
	order := uint64(0)
	if stop {
		order = m.orderStop(step.Run.RequestID)
	}
	reply, err := m.Engines.Copy(ctx, m.EngineAddress, step.Run.RequestID, step.Destination.Address, stop)
	if err != nil || !reply.Done {
		m.Log.Warn("copy of run failed", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if reply.Status == http.StatusServiceUnavailable {
		m.markRefused(step.Destination.Address)
	}
	if reply.Handle != "" {
		m.publishMove(moveOf(step, reply, order))
	}
	if stop && reply.NotActed {
		m.noteNotStopped(step.Run.RequestID, order, reply.Status == http.StatusNotFound)
	}
	return reply
}

// publishMove reports a migration to the entry hosts and stores it.
func (m *Monitor) publishMove(move *sighting.Move) {
	m.mu.Lock()
	current := !move.GetStopped() || m.noteStop(move)
	if current {
		if m.migrations == nil {
			m.migrations = make(map[string]*sighting.Move)
		}
		m.migrations[move.GetRequestId()] = move
	}
	m.mu.Unlock()
	if current {
		m.publish(&sighting.Sighting{Move: move})
	}
}

// publishFinal reports to the entry hosts that the remaining runs will not be
// migrated, so that the streams of these runs do not wait for a migration. The argument
// handedOver says that the entry hosts may still migrate those that the engine was not ordered to
// stop.
func (m *Monitor) publishFinal(handedOver bool) {
	for _, stay := range m.unmigrated() {
		if handedOver && !stay.move.GetStopped() {
			continue
		}
		m.Metrics.CountMigration(migrationStayed)
		m.Log.Info("run not migrated", "Request", stay.move.GetRequestId(), "Copied", stay.move.GetDestination() != "",
			"Obstacle", stay.obstacle.String(), "Tokens", stay.run.Tokens, "Remaining", stay.run.Remaining, "Events", stay.events)
		m.publish(&sighting.Sighting{Move: stay.move})
	}
	for _, move := range m.unansweredStops() {
		m.publish(&sighting.Sighting{Move: move})
	}
}

// stay is a run that is not known to be stopped for a migration.
type stay struct {
	move *sighting.Move
	run  migration.Run
	// events is the number of events that the run has generated.
	events int
	// obstacle is the newest reason other than time why it was not migrated, or
	// NoTime when there was none.
	obstacle migration.Obstacle
}

// unmigrated returns the runs that are not known to be stopped for a migration. Their final
// messages name the copies that were made while the runs continued, if any.
func (m *Monitor) unmigrated() []stay {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []stay
	for _, run := range m.latest.Runs {
		if m.stopOrders.Rests(run.RequestID) {
			continue
		}
		move := m.finalMove(run.RequestID)
		obstacle, ok := m.obstacles[run.RequestID]
		if !ok {
			obstacle = migration.NoTime
		}
		all = append(all, stay{move: move, run: m.forecasts.migratable(run), events: run.Events, obstacle: obstacle})
	}
	return all
}

// markRefused records that a destination refused a copy, so that it gets no further
// run until there is newer advice.
func (m *Monitor) markRefused(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.markRefused(address, boottime.Now())
}

// moveOf returns the message about a run that was copied. The order is the number of that to stop it;
// zero if it was not stopped.
func moveOf(step migration.Step, reply platform.Copy, order uint64) *sighting.Move {
	move := &sighting.Move{RequestId: step.Run.RequestID, Stopped: order != 0, StopOrder: order, Handle: reply.Handle}
	if reply.Done {
		move.Destination = step.Destination.Address
	}
	return move
}
