package storewatcher

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// isOtherEra reports whether the store was restored from an older copy since the last read,
// so that the offsets of that read mean nothing any more.
func (f *follower) isOtherEra(era int64) bool {
	return f.read && era != f.era
}

// recordRestore marks a read as the first one after a restore. The entries that the copy
// lacks are then treated like those that expired during an outage.
func (f *follower) recordRestore(r *topicRead) {
	if !f.isOtherEra(r.records.Era) {
		return
	}
	r.restored = true
	f.recoveredAt = boottime.Now()
	f.watcher.Log.Warn("store was restored from an older copy; read all keys again", "Topic", f.topic,
		"Era", r.records.Era, "EraBefore", f.era, "Next", r.records.Next, "NextBefore", f.next)
}

// recordFailure handles a failed read. When the store has deleted the history, the
// next read fetches all keys again; that is not treated as an outage.
func (f *follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, errNoReader) {
		return
	}
	f.failure = failureReason(err)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.watcher.Log.Warn("store history was deleted; reading all keys again", "Topic", f.topic)
		f.synced = false
		return
	}
	// The next read uses a new connection to the store, and may read from another
	// entry host again.
	f.watcher.Store.HTTP.CloseIdleConnections()
	f.peer.directUntil = 0
	if !f.failing {
		f.watcher.Log.Warn("reading the store failed", "Topic", f.topic, "Error", err)
	}
	f.failing = true
}

// recordRecovery ends an outage after a successful read.
func (f *follower) recordRecovery() {
	if !f.failing {
		return
	}
	f.failing = false
	f.recoveredAt = boottime.Now()
	if f.interrupt == nil {
		f.watcher.longRead.fire()
	}
	f.watcher.Log.Info("reading the store succeeded again", "Topic", f.topic)
}
