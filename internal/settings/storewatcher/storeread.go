package storewatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// readStore reads from the store and adds the result to the cache. It does not wait for a change
// after other entry hosts were asked.
func (f *follower) readStore(ctx context.Context, asked bool) (topicRead, error) {
	startedAt := boottime.Now()
	waitMillis := f.waitMillis
	if f.failing || f.paused || asked {
		// An immediate answer shortens the time without a confirmed state.
		waitMillis = 0
	}
	records, err := f.readRecords(ctx, waitMillis)
	if err == nil && f.isOtherEra(records.Era) && f.synced {
		f.synced = false
		f.changed = true
		records, err = f.readRecords(ctx, 0)
	}
	if err != nil {
		return topicRead{}, err
	}
	f.peer.ahead = true
	f.watcher.Cache.Update(storecache.TopicRead{
		Topic:       f.topic,
		Records:     records,
		Complete:    !f.synced,
		ConfirmedAt: startedAt,
	})
	return topicRead{records: records, complete: !f.synced, confirmedAt: startedAt}, nil
}

// currentTimeoutMillis returns the time limit of the next call to the store, in addition to its
// wait for a change.
func (f *follower) currentTimeoutMillis() int64 {
	if f.slow {
		return maxReplyTimeoutMillis
	}
	return replyTimeoutMillis
}

// readRecords reads the newest record of each key, or the changes once synced is set.
func (f *follower) readRecords(ctx context.Context, waitMillis int64) (platform.Records, error) {
	startedAt := boottime.Now()
	records, err := f.callStore(ctx, waitMillis)
	switch {
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		f.slow = true
	case err == nil && boottime.Now().MillisSince(startedAt) <= replyTimeoutMillis:
		f.slow = false
	}
	return records, err
}

// callStore makes the call of readRecords.
func (f *follower) callStore(ctx context.Context, waitMillis int64) (platform.Records, error) {
	store := f.watcher.Store.WithReason(f.callReason())
	limitMillis := f.currentTimeoutMillis()
	if !f.synced {
		if !f.read {
			limitMillis = max(limitMillis, pageMillis)
		}
		return store.Newest(ctx, f.topic, limitMillis)
	}
	deadline := time.Now().Add(time.Duration(waitMillis+limitMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	if f.interrupt != nil {
		f.interrupt.set(stop)
		defer f.interrupt.set(nil)
	}
	return store.Read(ctx, f.topic, f.next, waitMillis)
}

// callReason returns why this host calls the store now.
func (f *follower) callReason() storecalls.Reason {
	switch {
	case f.failure != "":
		return f.failure
	case len(f.watcher.readersBefore()) > 0:
		return storecalls.Fallback
	case !f.read:
		return storecalls.Start
	case f.changed:
		return storecalls.Change
	default:
		return storecalls.PollEnded
	}
}

// failureReason returns the reason of the call that follows a failed one.
func failureReason(err error) storecalls.Reason {
	if platform.IsRefusal(err) || errors.Is(err, platform.ErrHistoryGone) {
		return storecalls.Refused
	}
	return storecalls.Retry
}
