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
	// lastMoveMillis is the time before the engine's end in which no move
	// begins.
	lastMoveMillis = 20
	// replanMillis is the pause before the runs are looked at again when none
	// can move.
	replanMillis = 40
	// maxTries bounds the moves that are tried for one run.
	maxTries = 3
)

// Outcomes of moves in the metrics.
const (
	// moveDone says that the run can go on at its destination.
	moveDone = "Done"
	// moveNeedless says that the run had ended.
	moveNeedless = "Needless"
	// moveFailed says that the copy failed.
	moveFailed = "Failed"
	// moveStayed says that the run stayed until the engine's end.
	moveStayed = "Stayed"
)

// takeAdvice takes over the advice of one entry host.
func (m *Monitor) takeAdvice(message *sighting.Advice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.take(message, boottime.Now())
}

// moveAll moves runs away, one after the other, until the engine ends.
func (m *Monitor) moveAll(ctx context.Context, leavesAt boottime.Instant) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(leavesAt.MillisSince(boottime.Now()))*time.Millisecond))
	defer stop()
	defer m.publishFinal()
	boottime.Pause(ctx, adviceMillis)
	tries := make(map[string]int)
	for ctx.Err() == nil {
		left := leavesAt.MillisSince(boottime.Now())
		if left < lastMoveMillis {
			return
		}
		step, ok := m.next(tries, left)
		if !ok {
			boottime.Pause(ctx, replanMillis)
			continue
		}
		tries[step.Run.RequestID]++
		if m.move(ctx, step, left) {
			tries[step.Run.RequestID] = maxTries
		}
	}
}

// next returns the move that is due, by the engine's newest report.
func (m *Monitor) next(tries map[string]int, left int64) (migration.Step, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	step, ok := migration.Next(m.movable(tries), m.advice.destinations(), left)
	if ok {
		m.advice.assign(step, now)
	}
	return step, ok
}

// movable returns the runs that may still be moved. A run can be copied only
// after its first event. The caller holds the mutex.
func (m *Monitor) movable(tries map[string]int) []migration.Run {
	var runs []migration.Run
	for _, run := range m.latest.Runs {
		if tries[run.RequestID] >= maxTries || run.Events == 0 {
			continue
		}
		runs = append(runs, m.advice.run(run))
	}
	return runs
}

// move copies a run, then stops it and copies what is new, and tells the entry
// hosts where it can go on. It reports whether the run needs no further move.
func (m *Monitor) move(ctx context.Context, step migration.Step, left int64) bool {
	started := boottime.Now()
	ahead := step.CopiesAhead(left)
	copied := ""
	if ahead {
		reply := m.copyAndTell(ctx, step, false)
		if !reply.Done {
			return reply.Status == http.StatusNotFound
		}
		copied = reply.Handle
	}
	stoppedAt := boottime.Now()
	aheadMillis := stoppedAt.MillisSince(started)
	reply := m.copyAndTell(ctx, step, true)
	m.count(reply, stoppedAt)
	if reply.Status == http.StatusNotFound {
		m.release(ctx, step, copied)
	}
	m.Log.Info("run moved", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining, "SameZone", step.Destination.SameZone,
		"LeftMillis", left, "Ahead", ahead, "AheadMillis", aheadMillis,
		"Millis", boottime.Now().MillisSince(started), "Moved", reply.Done)
	return reply.Done || reply.Status == http.StatusNotFound
}

// count counts a run that was stopped for a move.
func (m *Monitor) count(reply platform.Copy, stoppedAt boottime.Instant) {
	switch {
	case reply.Done:
		m.Measure.CountMigration(moveDone)
		m.Measure.RecordMigrationPause(time.Duration(boottime.Now().MillisSince(stoppedAt)) * time.Millisecond)
	case reply.Status == http.StatusNotFound:
		m.Measure.CountMigration(moveNeedless)
	default:
		m.Measure.CountMigration(moveFailed)
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

// copyAndTell copies a run and tells the entry hosts.
func (m *Monitor) copyAndTell(ctx context.Context, step migration.Step, stop bool) platform.Copy {
	reply, err := m.Engines.Copy(ctx, m.EngineAddress, step.Run.RequestID, step.Destination.Address, stop)
	if err != nil || !reply.Done {
		m.Log.Warn("run not copied", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if reply.Status == http.StatusServiceUnavailable {
		m.close(step.Destination.Address)
	}
	if reply.Handle != "" {
		m.publishMove(moveOf(step, reply, stop))
	}
	return reply
}

// publishMove tells the entry hosts of a move and keeps it.
func (m *Monitor) publishMove(move *sighting.Move) {
	m.mu.Lock()
	if m.moves == nil {
		m.moves = make(map[string]*sighting.Move)
	}
	m.moves[move.GetRequestId()] = move
	m.mu.Unlock()
	m.publish(&sighting.Sighting{Move: move})
}

// publishFinal tells the entry hosts that the runs that are left are not moved
// any more, so that none of their callers waits for it.
func (m *Monitor) publishFinal() {
	for _, move := range m.unmoved() {
		m.Measure.CountMigration(moveStayed)
		m.Log.Info("run stays", "Request", move.GetRequestId(), "Copied", move.GetDestination() != "")
		m.publish(&sighting.Sighting{Move: move})
	}
}

// unmoved returns the last messages about the runs that were not stopped for a
// move.
func (m *Monitor) unmoved() []*sighting.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sighting.Move
	for _, run := range m.latest.Runs {
		known := m.moves[run.RequestID]
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

// close gives a destination no further run until there is newer advice.
func (m *Monitor) close(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advice.close(address, boottime.Now())
}

func moveOf(step migration.Step, reply platform.Copy, stop bool) *sighting.Move {
	move := &sighting.Move{RequestId: step.Run.RequestID, Stopped: stop, Handle: reply.Handle}
	if reply.Done {
		move.Destination = step.Destination.Address
	}
	return move
}
