package lookout

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/handover"
	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
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
func (l *Lookout) takeAdvice(message *sighting.Advice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advice.take(message, moment.Now())
}

// moveAll moves runs away, one after the other, until the engine ends.
func (l *Lookout) moveAll(ctx context.Context, leavesAt moment.Moment) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(leavesAt.MillisSince(moment.Now()))*time.Millisecond))
	defer stop()
	defer l.publishFinal()
	moment.Pause(ctx, adviceMillis)
	tries := make(map[string]int)
	for ctx.Err() == nil {
		left := leavesAt.MillisSince(moment.Now())
		if left < lastMoveMillis {
			return
		}
		step, ok := l.next(tries, left)
		if !ok {
			moment.Pause(ctx, replanMillis)
			continue
		}
		tries[step.Run.RequestID]++
		if l.move(ctx, step, left) {
			tries[step.Run.RequestID] = maxTries
		}
	}
}

// next returns the move that is due, by the engine's newest report.
func (l *Lookout) next(tries map[string]int, left int64) (handover.Step, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := moment.Now()
	step, ok := handover.Next(l.movable(tries), l.advice.destinations(), left)
	if ok {
		l.advice.assign(step, now)
	}
	return step, ok
}

// movable returns the runs that may still be moved. A run can be copied only
// after its first event. The caller holds the mutex.
func (l *Lookout) movable(tries map[string]int) []handover.Run {
	var runs []handover.Run
	for _, run := range l.latest.Runs {
		if tries[run.RequestID] >= maxTries || run.Events == 0 {
			continue
		}
		runs = append(runs, l.advice.run(run))
	}
	return runs
}

// move copies a run, then stops it and copies what is new, and tells the entry
// hosts where it can go on. It reports whether the run needs no further move.
func (l *Lookout) move(ctx context.Context, step handover.Step, left int64) bool {
	started := moment.Now()
	ahead := step.CopiesAhead(left)
	copied := ""
	if ahead {
		reply := l.copyAndTell(ctx, step, false)
		if !reply.Done {
			return reply.Status == http.StatusNotFound
		}
		copied = reply.Handle
	}
	stoppedAt := moment.Now()
	aheadMillis := stoppedAt.MillisSince(started)
	reply := l.copyAndTell(ctx, step, true)
	l.count(reply, stoppedAt)
	if reply.Status == http.StatusNotFound {
		l.release(ctx, step, copied)
	}
	l.Log.Info("run moved", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
		"Tokens", step.Run.Tokens, "Remaining", step.Run.Remaining, "SameZone", step.Destination.SameZone,
		"LeftMillis", left, "Ahead", ahead, "AheadMillis", aheadMillis,
		"Millis", moment.Now().MillisSince(started), "Moved", reply.Done)
	return reply.Done || reply.Status == http.StatusNotFound
}

// count counts a run that was stopped for a move.
func (l *Lookout) count(reply platform.Copy, stoppedAt moment.Moment) {
	switch {
	case reply.Done:
		l.Measure.CountMove(moveDone)
		l.Measure.MovePause(time.Duration(moment.Now().MillisSince(stoppedAt)) * time.Millisecond)
	case reply.Status == http.StatusNotFound:
		l.Measure.CountMove(moveNeedless)
	default:
		l.Measure.CountMove(moveFailed)
	}
}

// release frees the copy of a run that has ended meanwhile.
func (l *Lookout) release(ctx context.Context, step handover.Step, handle string) {
	if handle == "" {
		return
	}
	err := l.Engines.Release(ctx, platform.Handle{Address: l.EngineAddress, ID: handle})
	if err != nil {
		l.Log.Warn("copy not released", "Request", step.Run.RequestID, "Destination", step.Destination.Address, "Error", err)
	}
}

// copyAndTell copies a run and tells the entry hosts.
func (l *Lookout) copyAndTell(ctx context.Context, step handover.Step, stop bool) platform.Copy {
	reply, err := l.Engines.Copy(ctx, l.EngineAddress, step.Run.RequestID, step.Destination.Address, stop)
	if err != nil || !reply.Done {
		l.Log.Warn("run not copied", "Request", step.Run.RequestID, "Destination", step.Destination.Address,
			"Stop", stop, "Status", reply.Status, "Error", err)
	}
	if reply.Status == http.StatusServiceUnavailable {
		l.close(step.Destination.Address)
	}
	if reply.Handle != "" {
		l.publishMove(moveOf(step, reply, stop))
	}
	return reply
}

// publishMove tells the entry hosts of a move and keeps it.
func (l *Lookout) publishMove(move *sighting.Move) {
	l.mu.Lock()
	if l.moves == nil {
		l.moves = make(map[string]*sighting.Move)
	}
	l.moves[move.GetRequestId()] = move
	l.mu.Unlock()
	l.publish(&sighting.Sighting{Move: move})
}

// publishFinal tells the entry hosts that the runs that are left are not moved
// any more, so that none of their callers waits for it.
func (l *Lookout) publishFinal() {
	for _, move := range l.unmoved() {
		l.Measure.CountMove(moveStayed)
		l.Log.Info("run stays", "Request", move.GetRequestId(), "Copied", move.GetDestination() != "")
		l.publish(&sighting.Sighting{Move: move})
	}
}

// unmoved returns the last messages about the runs that were not stopped for a
// move.
func (l *Lookout) unmoved() []*sighting.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*sighting.Move
	for _, run := range l.latest.Runs {
		known := l.moves[run.RequestID]
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
func (l *Lookout) close(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advice.close(address, moment.Now())
}

func moveOf(step handover.Step, reply platform.Copy, stop bool) *sighting.Move {
	move := &sighting.Move{RequestId: step.Run.RequestID, Stopped: stop, Handle: reply.Handle}
	if reply.Done {
		move.Destination = step.Destination.Address
	}
	return move
}
