package configversion

import (
	"context"
	"time"
)

// snapshotSchedule determines when a reader publishes its next snapshot.
type snapshotSchedule struct {
	// dueAt is when the next snapshot is due. It is chosen at random, again
	// whenever the latest snapshot changes.
	dueAt time.Time
	// anchoredAt is the time of the latest snapshot when dueAt was chosen.
	anchoredAt time.Time
	// notBefore is the earliest time of the next publication. It is set after each
	// publication, because a process whose clock is ahead of the log's would
	// otherwise publish at every read.
	notBefore time.Time
}

// due reports whether a snapshot of the state is due now. Each reader chooses its own
// random time, so that usually one reader publishes and the others read its snapshot
// before theirs is due. The argument random is from [0, 1).
func (s *snapshotSchedule) due(state State, now time.Time, period time.Duration, random float64) bool {
	delay := time.Duration(random * float64(period))
	switch {
	case state.Configuration.Version == 0:
		return false
	case state.AnchoredAt.IsZero() && s.dueAt.IsZero():
		s.dueAt = now.Add(delay)
	case !state.AnchoredAt.Equal(s.anchoredAt):
		s.anchoredAt = state.AnchoredAt
		s.dueAt = state.AnchoredAt.Add(period + delay)
	}
	return !now.Before(s.dueAt) && !now.Before(s.notBefore)
}

// publishSnapshotIfDue publishes a snapshot of the state when one is due. The state must
// cover the whole stream.
func (r *Reader) publishSnapshotIfDue(ctx context.Context, state State) error {
	seconds := r.RepublishSeconds
	if seconds == 0 {
		seconds = DefaultRepublishSeconds
	}
	period := time.Duration(seconds) * time.Second
	if !r.schedule.due(state, time.Now(), period, r.random()) {
		return nil
	}
	if err := publishSnapshot(ctx, r.Journal, state); err != nil {
		return err
	}
	r.schedule.notBefore = time.Now().Add(period)
	return nil
}
