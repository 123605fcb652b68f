package storewatcher

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// replyTimeoutMillis is the time limit of a call to the store, in addition to
	// its wait for a change. After a call that timed out it is maxReplyTimeoutMillis until a
	// call is answered in time: the short limit soon replaces a lost reply, and the longer one
	// lets a slow store answer at all.
	replyTimeoutMillis    = 700
	maxReplyTimeoutMillis = 2 * replyTimeoutMillis
	// pageMillis is the time limit of each page of the newest records in the first read of a
	// topic, as many hosts often start at once.
	pageMillis = 1300
	// stateRetryMillis is the pause after a failed read of the configuration or of the list, on
	// whose age requests depend. There is none after a call that timed out, which took longer.
	stateRetryMillis = 300
	// patientRetryMillis is the pause after a read at another entry host that is tried again
	// there.
	patientRetryMillis = 400
	// startPatienceMillis is the time for which a host that starts asks readers again that refuse
	// connections, as they may have been started at the same time, and startRetryMillis the pause
	// meanwhile.
	startPatienceMillis = 150
	startRetryMillis    = 30
	// maxAvoidMillis bounds the time for which a host whose calls to the store fail makes no
	// further one while other entry hosts answer it. It is a third of the time in which changes
	// take effect.
	maxAvoidMillis = 1000
	// pauseSlackMillis is how much longer than its time limit an operation may take in a
	// process that was not paused.
	pauseSlackMillis = 100
)

// follower reads one topic repeatedly.
type follower struct {
	topic string
	// waitMillis is how long a read waits at the store for a change.
	waitMillis int64
	// peerWaitMillis is how long a read waits at another entry host.
	peerWaitMillis int64
	// pauseMillis is the pause between reads, and retryMillis that after a failed one.
	pauseMillis int64
	retryMillis int64
	// patienceMillis is the time for which this host asks other entry hosts again before it reads
	// the store itself. It is zero for a topic on whose age requests depend.
	patienceMillis int64
	// interrupt ends a read that waits at the store; nil if nothing does.
	interrupt *interrupt
	watcher   *Watcher

	// synced is set once all keys were read. Later reads return the changes from
	// the offset next on.
	synced bool
	next   int64
	// era is the era of the store at the last read. It is valid once read is set.
	era  int64
	read bool
	// patientUntil is the time until which this host does not read the store itself; zero after a
	// read at another entry host.
	patientUntil boottime.Instant
	// extraMillis is the time limit of further calls of this read to other entry hosts.
	extraMillis int64
	// avoidUntil is the time until which this host prefers other entry hosts to the store, as
	// storeFailures calls to the store in a row failed.
	avoidUntil    boottime.Instant
	storeFailures int
	// failing is set while reads of the store fail.
	failing bool
	// failure is why the read before failed; empty if it did not.
	failure storecalls.Reason
	// changed is set when the read before returned changes.
	changed bool
	// slow is set after a call to the store timed out, until one is answered within
	// replyTimeoutMillis.
	slow bool
	// paused is set when the process was paused during the last read. What that read
	// confirmed is old, so the next one does not wait for a change.
	paused bool
	// recoveredAt is when the last failure ended.
	recoveredAt boottime.Instant
	peer        peerConn
}

// run reads the topic until ctx ends, and passes each result to update.
func (f *follower) run(ctx context.Context, update func(topicRead)) error {
	defer f.peer.close()
	for ctx.Err() == nil {
		boottime.Pause(ctx, f.readOnce(ctx, update))
	}
	return nil
}

// readOnce reads the topic once and returns the pause before the next read, in
// milliseconds.
func (f *follower) readOnce(ctx context.Context, update func(topicRead)) int64 {
	startedAt := boottime.Now()
	f.extraMillis = 0
	r, err := f.fetch(ctx)
	f.paused = pausedSince(startedAt, boottime.Now(), f.longestReadMillis()+f.extraMillis)
	if err != nil {
		f.recordFailure(ctx, err)
	} else {
		f.apply(r, update)
	}
	switch {
	case f.paused:
		return 0
	case errors.Is(err, errNoReader) && !f.read && f.patienceMillis == 0:
		return startRetryMillis
	case errors.Is(err, errNoReader):
		return patientRetryMillis
	case errors.Is(err, context.DeadlineExceeded):
		return max(f.retryMillis-replyTimeoutMillis, 0)
	case err != nil:
		return f.retryMillis
	case r.relayed && f.watcher.isReader():
		return 0 // the host that polls has batched the changes that this one passes on
	default:
		return f.pauseMillis
	}
}

// pausedSince reports whether the process was paused during an operation with a time limit:
// it took far longer than that. The clock also counts the time of a suspension.
func pausedSince(startedAt, endedAt boottime.Instant, limitMillis int64) bool {
	return endedAt.MillisSince(startedAt) > limitMillis+pauseSlackMillis
}

// longestReadMillis returns the time limit of a read at another entry host that is followed
// by one at the store.
func (f *follower) longestReadMillis() int64 {
	return max(catchUpWaitMillis, f.peerWaitMillis) + peerReplyTimeoutMillis + f.waitMillis + f.currentTimeoutMillis()
}

// apply passes the result of a read to update.
func (f *follower) apply(r topicRead, update func(topicRead)) {
	f.recordRecovery()
	f.recordRestore(&r)
	r.recoveredAt = f.recoveredAt
	update(r)
	f.failure = ""
	f.changed = !r.complete && len(r.records.List) > 0
	f.synced = true
	f.next = r.records.Next
	f.era = r.records.Era
	f.read = true
}

// errNoReader says that no other entry host returned fresh data, and that it is too early to read
// the store.
var errNoReader = errors.New("no entry host has fresh data")

// fetch reads from another entry host, or from the store when no entry host returns
// fresh data. A reader whose call to the store fails asks the other readers, which then read the
// store themselves.
func (f *follower) fetch(ctx context.Context) (topicRead, error) {
	sources := f.sources(boottime.Now())
	r, err := f.readPeers(ctx, sources)
	switch {
	case err == nil:
		f.patientUntil = 0
		return r, nil
	case f.isPatient(boottime.Now(), err) || f.avoidsStore(boottime.Now()):
		return topicRead{}, errNoReader
	}
	f.noteFallback(err)
	r, err = f.readStore(ctx, len(sources) > 0)
	if err == nil || errors.Is(err, platform.ErrHistoryGone) {
		f.storeFailures, f.avoidUntil = 0, 0
		return r, err
	}
	// A read that was interrupted says nothing of the store.
	if !errors.Is(err, context.Canceled) {
		f.noteStoreFailure(boottime.Now())
	}
	return f.readAfterStoreFailure(ctx, sources, err)
}

// readAfterStoreFailure reads at the other readers if this host is one and has not just asked all of
// them. It returns the failure of the store if none of them has fresh data.
func (f *follower) readAfterStoreFailure(ctx context.Context, asked []string, storeErr error) (topicRead, error) {
	others := f.watcher.otherReaders()
	askedAll := len(asked) == len(others)
	if !f.watcher.isReader() || askedAll {
		return topicRead{}, storeErr
	}
	f.extraMillis += f.peerWait() + peerReplyTimeoutMillis
	r, err := f.readPeers(ctx, others)
	if err != nil {
		return topicRead{}, storeErr
	}
	f.watcher.Log.Warn("reading the store failed; read at another entry host", "Topic", f.topic, "Peer", f.peer.address, "Error", storeErr)
	return r, nil
}

// isPatient reports whether another entry host is asked again before the store is read.
func (f *follower) isPatient(now boottime.Instant, err error) bool {
	patienceMillis := f.patienceMillis
	if patienceMillis == 0 && !f.read && !f.watcher.isReader() && errors.Is(err, syscall.ECONNREFUSED) {
		patienceMillis = startPatienceMillis
	}
	if patienceMillis == 0 || len(f.watcher.readersBefore()) == 0 {
		return false
	}
	if f.patientUntil == 0 {
		f.patientUntil = now.AddMillis(patienceMillis)
	}
	return now.Before(f.patientUntil)
}

// avoidsStore reports whether this host leaves it to the readers to find out when the store
// answers again: its own calls fail, and the readers answer that they have no fresh data either.
func (f *follower) avoidsStore(now boottime.Instant) bool {
	return f.peer.replied && !f.watcher.isReader() && now.Before(f.avoidUntil)
}

// noteStoreFailure makes this host prefer other entry hosts for a time that doubles with each failure
// in a row, up to maxAvoidMillis.
func (f *follower) noteStoreFailure(now boottime.Instant) {
	const maxDoublings = 8
	f.avoidUntil = now.AddMillis(min(int64(stateRetryMillis)<<min(f.storeFailures, maxDoublings), maxAvoidMillis))
	f.storeFailures++
}
