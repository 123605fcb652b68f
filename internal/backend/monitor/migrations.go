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
	// adviceMillis is the wait for the advice of entry hosts, and for notices
	// of other engines to reach them.
	adviceMillis = 60
	// lastMigrationMillis is the time before the engine's end in which no move
	// begins.
	lastMigrationMillis = 20
	// replanMillis is the pause before the runs are looked at again when none
	// can move.
	replanMillis = 40
	// maxAttempts bounds the moves that are tried for one run.
	maxAttempts = 3
)

// Outcomes of moves in the metrics.
const (
	// migrationDone says that the run can go on at its destination.
	migrationDone = "Done"
	// migrationNeedless says that the run had ended.
	migrationNeedless = "Needless"
	// migrationFailed says that the copy failed.
	migrationFailed = "Failed"
	// migrationStayed says that the run stayed until the engine's end.
	migrationStayed = "Stayed"
)

// takeAdvice takes over the advice of one entry host.
func (m *Monitor) takeAdvice(message *sighting.Advice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.take(message, boottime.Now())
}

// migrateAll moves runs away, one after the other, until the engine ends.
func (m *Monitor) migrateAll(ctx context.Context, leavesAt boottime.Instant) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(leavesAt.MillisSince(boottime.Now()))*time.Millisecond))
	defer stop()
	defer m.publishFinal()
	boottime.Pause(ctx, adviceMillis)
	tries := make(map[string]int)
	for ctx.Err() == nil {
		left := leavesAt.MillisSince(boottime.Now())
		if left < lastMigrationMillis {
			return
		}
		step, ok := m.nextStep(tries, left)
		if !ok {
			boottime.Pause(ctx, replanMillis)
			continue
		}
		tries[step.Run.RequestID]++
		if m.migrate(ctx, step, left) {
			tries[step.Run.RequestID] = maxAttempts
		}
	}
}

// nextStep returns the move that is due, by the engine's newest report.
func (m *Monitor) nextStep(tries map[string]int, left int64) (migration.Step, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	step, ok := migration.Next(m.migratable(tries), m.advice.destinations(), left)
	if ok {
		m.advice.assign(step, now)
	}
	return step, ok
}

// migratable returns the runs that may still be moved. A run can be copied only
// after its first event. The caller holds the mutex.
func (m *Monitor) migratable(tries map[string]int) []migration.Run {
	var runs []migration.Run
	for _, run := range m.latest.Runs {
		if tries[run.RequestID] >= maxAttempts || run.Events == 0 {
			continue
		}
		runs = append(runs, m.advice.run(run))
	}
	return runs
}

// migrate copies a run, then stops it and copies what is new, and tells the entry
// hosts where it can go on. It reports whether the run needs no further move.
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
	m.Log.Info("run moved", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining, "SameZone", step.Destination.SameZone,
		"LeftMillis", left, "Ahead", ahead, "AheadMillis", aheadMillis,
		"Millis", boottime.Now().MillisSince(started), "Moved", reply.Done)
	return reply.Done || reply.Status == http.StatusNotFound
}

// countMigration counts a run that was stopped for a move.
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

// release frees the copy of a run that has ended meanwhile.
func (m *Monitor) release(ctx context.Context, step migration.Step, handle string) {
	if handle == "" {
		return
	}
	err := m.Engines.Release(ctx, platform.Handle{Address: m.EngineAddress, ID: handle})
	if err != nil {
		m.Log.Warn("copy not released", "Request", step.Run.RequestID, "Destination", step.Destination.Address, "Error", err)
	}
}

// copyAndPublish copies a run and tells the entry hosts.
func (m *Monitor) copyAndPublish(ctx context.Context, step migration.Step, stop bool) platform.Copy {
	reply, err := m.Engines.Copy(ctx, m.EngineAddress, step.Run.RequestID, step.Destination.Address, stop)
	if err != nil || !reply.Done {
		m.Log.Warn("run not copied", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if reply.Status == http.StatusServiceUnavailable {
		m.markRefused(step.Destination.Address)
	}
	if reply.Handle != "" {
		m.publishMove(moveOf(step, reply, stop))
	}
	return reply
}

// publishMove tells the entry hosts of a move and keeps it.
func (m *Monitor) publishMove(move *sighting.Move) {
	m.mu.Lock()
	if m.migrations == nil {
		m.migrations = make(map[string]*sighting.Move)
	}
	m.migrations[move.GetRequestId()] = move
	m.mu.Unlock()
	m.publish(&sighting.Sighting{Move: move})
}

// publishFinal tells the entry hosts that the runs that are left are not moved
// any more, so that none of their callers waits for it.
func (m *Monitor) publishFinal() {
	for _, move := range m.unmigrated() {
		m.Metrics.CountMigration(migrationStayed)
		m.Log.Info("run stays", "Request", move.GetRequestId(), "Copied", move.GetDestination() != "")
		m.publish(&sighting.Sighting{Move: move})
	}
}

// unmigrated returns the last messages about the runs that were not stopped for a
// move.
func (m *Monitor) unmigrated() []*sighting.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sighting.Move
	for _, run := range m.latest.Runs {
		known := m.migrations[run.RequestID]
		if known.GetStopped() {
			continue
		}
		all = append(all, &sighting.Move{
			RequestId:   run.RequestID,
			Handle:      known.GetHandle(),
			Destination: known.GetDestination(),
			Final:       true,
		})
	}
	return all
}

// markRefused gives a destination no further run until there is newer advice.
func (m *Monitor) markRefused(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.markRefused(address, boottime.Now())
}

func moveOf(step migration.Step, reply platform.Copy, stop bool) *sighting.Move {
	move := &sighting.Move{RequestId: step.Run.RequestID, Stopped: stop, Handle: reply.Handle}
	if reply.Done {
		move.Destination = step.Destination.Address
	}
	return move
}
