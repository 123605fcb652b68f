package configversion

import (
	"context"
	"time"
)

// snapshotSchedule plans the next snapshot.
type snapshotSchedule struct {
	// dueAt is when a snapshot is to be published. It is drawn anew whenever
	// the latest snapshot changes.
	dueAt time.Time
	// anchoredAt is the time of the snapshot that dueAt was drawn for.
	anchoredAt time.Time
	// notBefore is set after each publication, so that a process whose clock is
	// ahead of the log's does not publish at every read.
	notBefore time.Time
}

// due reports whether a snapshot of the state is to be published now. Each
// holder draws its own time, so that usually one publishes and the others see
// its snapshot before their time comes.
func (p *snapshotSchedule) due(state State, now time.Time, period time.Duration, random float64) bool {
	delay := time.Duration(random * float64(period))
	switch {
	case state.Configuration.Version == 0:
		return false
	case state.AnchoredAt.IsZero() && p.dueAt.IsZero():
		p.dueAt = now.Add(delay)
	case !state.AnchoredAt.Equal(p.anchoredAt):
		p.anchoredAt = state.AnchoredAt
		p.dueAt = state.AnchoredAt.Add(period + delay)
	}
	return !now.Before(p.dueAt) && !now.Before(p.notBefore)
}

// publishSnapshotIfDue publishes a snapshot when one is due. The state must reach to
// the end of the stream.
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
