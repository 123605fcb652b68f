// Package crashlog shares the evidence on crashes of backend servers between entry hosts, and
// keeps it while all of them restart: it is recorded in a topic of the platform's store, which
// every host follows. Log records; the decisions are those of package quarantine.
package crashlog

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// batchMillis is the time for which records are collected before they are appended. The
	// requests on a server that crashes break at the same time.
	batchMillis = 10
	// clearMillis is the longest time that a clearance waits to be appended. Hosts that see an
	// answer at the same time wait for different times, and the first of them spares the others.
	clearMillis = 300
	// useMillis is the same for a use, which more hosts know.
	useMillis = 2000
	// appendMillis is the time limit of an append.
	appendMillis = 1000
	// minRetryMillis and maxRetryMillis bound the pause after a failed append, which doubles.
	minRetryMillis = 200
	maxRetryMillis = 3000
	// maxPending bounds the records that wait to be appended.
	maxPending = 512
	// maxBatch and maxBatchBytes bound the records of one append, so that it stays far below the
	// size limit of a call to the store.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
)

// Log records evidence and applies what is recorded. Its exported fields are set before Run.
type Log struct {
	Store *platform.Store
	// Readers are the addresses of other entry hosts that append records if the store refuses
	// this one.
	Readers []string
	Table   *quarantine.Table
	Log     *slog.Logger

	wake signal.Signal

	mu sync.Mutex
	// pending holds the records that are not appended yet, the oldest first. There is one of
	// each key.
	pending []pendingRecord
}

// pendingRecord is a record that waits to be appended.
type pendingRecord struct {
	key    string
	change quarantine.Change
	// dueAt is the time from which it is appended.
	dueAt boottime.Instant
}

// RecordCrash records the crash of a server that this host saw. It also deletes records that hold
// no longer.
func (l *Log) RecordCrash(crash quarantine.Crash) {
	before := l.Table.QuarantinedTraits()
	l.record(l.Table.TakeLapsed(), batchMillis)
	l.record(l.Table.RecordCrash(crash, boottime.Now()), batchMillis)
	l.logChange(before)
}

// RecordSound records that the answer of a request with these traits began and that its server
// went on.
func (l *Log) RecordSound(traits []string) {
	l.recordClearances(func(now boottime.Instant) []quarantine.Change { return l.Table.RecordSound(traits, now) })
}

// RecordSettled records that the server of an answer has stayed up.
func (l *Log) RecordSettled(answer quarantine.Answer) {
	l.recordClearances(func(now boottime.Instant) []quarantine.Change { return l.Table.RecordSettled(answer, now) })
}

// recordClearances records the changes that follow from an answer.
func (l *Log) recordClearances(settle func(now boottime.Instant) []quarantine.Change) {
	before := l.Table.QuarantinedTraits()
	changes := settle(boottime.Now())
	if len(changes) == 0 {
		return
	}
	l.record(changes, rand.Int64N(clearMillis))
	l.logChange(before)
}

// TryTrial reports whether a request with a quarantined trait may be sent to a server, to find
// out whether servers still crash under the trait.
func (l *Log) TryTrial(traits []string) bool {
	switch d := l.Table.TryTrial(traits, boottime.Now(), time.Now().UnixMilli()).(type) {
	case quarantine.PassTrial:
		return true
	case quarantine.ClaimTrial:
		l.Log.Info("trial of quarantined trait claimed", "Trait", d.Trial.Trait, "Count", d.Trial.Count)
		l.record([]quarantine.Change{d.Trial}, batchMillis)
	}
	return false
}

// MayProbe reports whether a request may be sent, as of quarantine.Table.MayProbe. A probe is recorded, so
// that the other hosts wait for its outcome.
func (l *Log) MayProbe(traits []string) bool {
	may := l.Table.MayProbe(traits, boottime.Now())
	if may && l.Table.Probed(traits) {
		l.record(l.Table.TakeProbes(time.Now().UnixMilli()), 0)
	}
	return may
}

// Apply applies records that were read from the topic. It must be called at every read, also
// without records, as evidence holds for a limited time. Restored says that the records are all
// that is left in a store that was restored from an older copy: what this host knows beyond them
// is recorded again.
func (l *Log) Apply(records []platform.Record, restored bool) {
	before := l.Table.QuarantinedTraits()
	changes := make([]quarantine.Change, 0, len(records))
	for _, record := range records {
		change, err := quarantine.Decode(record.Key, record.Value)
		if err != nil {
			l.Log.Warn("invalid crash record ignored", "Error", err)
			continue
		}
		changes = append(changes, change)
	}
	l.dropRecorded(changes)
	for _, change := range l.Table.Apply(changes, boottime.Now(), time.Now().UnixMilli()) {
		l.record([]quarantine.Change{change}, delayOf(change))
	}
	if restored {
		l.record(l.Table.Missing(changes, boottime.Now()), batchMillis)
	}
	l.logChange(before)
}

// logChange logs which traits are quarantined now and were not before, and the reverse.
func (l *Log) logChange(before []string) {
	after := l.Table.QuarantinedTraits()
	for _, trait := range after {
		if !slices.Contains(before, trait) {
			l.Log.Warn("requests with a trait quarantined, servers crash under them", "Trait", trait)
		}
	}
	for _, trait := range before {
		if !slices.Contains(after, trait) {
			l.Log.Info("requests with a trait released from quarantine", "Trait", trait)
		}
	}
}

// record adds the records of changes to those that are appended after a time. One of a key that
// waits already is replaced. It does not block.
func (l *Log) record(changes []quarantine.Change, afterMillis int64) {
	if len(changes) == 0 {
		return
	}
	dueAt := boottime.Now().AddMillis(afterMillis)
	dropped := 0
	l.mu.Lock()
	for _, change := range changes {
		key := quarantine.KeyOf(change)
		n := slices.IndexFunc(l.pending, func(p pendingRecord) bool { return p.key == key })
		if n >= 0 {
			l.pending[n].change = change
			l.pending[n].dueAt = min(l.pending[n].dueAt, dueAt)
			continue
		}
		l.pending = append(l.pending, pendingRecord{key: key, change: change, dueAt: dueAt})
	}
	if len(l.pending) > maxPending {
		dropped = len(l.pending) - maxPending
		l.pending = l.pending[dropped:]
	}
	l.mu.Unlock()
	if dropped > 0 {
		l.Log.Warn("crash records dropped, the store takes none", "Records", dropped)
	}
	l.wake.Set()
}

// delayOf returns the time for which a record waits. Hosts that know the same use wait for different
// times.
func delayOf(change quarantine.Change) int64 {
	if _, ok := change.(quarantine.Use); ok {
		return rand.Int64N(useMillis)
	}
	return batchMillis
}

// dropRecorded drops clearances and uses that wait and that another host has recorded meanwhile.
func (l *Log) dropRecorded(changes []quarantine.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range changes {
		l.pending = slices.DeleteFunc(l.pending, func(p pendingRecord) bool { return saysAsMuch(change, p.change) })
	}
}

// saysAsMuch reports whether a record that was read makes one that waits needless.
func saysAsMuch(read, waiting quarantine.Change) bool {
	switch w := waiting.(type) {
	case quarantine.Clearance:
		r, ok := read.(quarantine.Clearance)
		return ok && r.Trait == w.Trait && r.ThroughUnixMillis >= w.ThroughUnixMillis
	case quarantine.Use:
		r, ok := read.(quarantine.Use)
		return ok && r.Trait == w.Trait
	default:
		return false
	}
}

// Run appends records until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	retryMillis := int64(minRetryMillis)
	reason := storecalls.Change
	for l.awaitDue(ctx) {
		if err := l.appendDue(ctx, reason); err != nil {
			reason = storecalls.Retry
			if platform.IsRefusal(err) {
				reason = storecalls.Refused
			}
			l.Log.Warn("crash records not appended", "RetryMillis", retryMillis, "Error", err)
			boottime.Pause(ctx, retryMillis)
			retryMillis = min(2*retryMillis, maxRetryMillis)
			continue
		}
		retryMillis = minRetryMillis
		reason = storecalls.Change
	}
	return nil
}

// awaitDue waits until a record is due, and returns false when ctx ends.
func (l *Log) awaitDue(ctx context.Context) bool {
	for ctx.Err() == nil {
		dueAt, waiting := l.firstDue()
		if now := boottime.Now(); waiting && !now.Before(dueAt) {
			return true
		}
		var due <-chan time.Time
		if waiting {
			due = time.After(time.Duration(dueAt.MillisSince(boottime.Now())+1) * time.Millisecond)
		}
		select {
		case <-ctx.Done():
		case <-l.wake.C():
		case <-due:
		}
	}
	return false
}

// firstDue returns the time at which the first record is due, or false when none waits.
func (l *Log) firstDue() (boottime.Instant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return 0, false
	}
	first := slices.MinFunc(l.pending, func(a, b pendingRecord) int { return cmp.Compare(a.dueAt, b.dueAt) })
	return first.dueAt, true
}

// appendDue appends the records that wait, as soon as one of them is due. Those of a failed append
// wait again.
func (l *Log) appendDue(ctx context.Context, reason storecalls.Reason) error {
	for ctx.Err() == nil {
		taken, batch := l.take()
		if len(taken) == 0 {
			return nil
		}
		if err := l.appendBatch(ctx, batch, reason); err != nil {
			l.putBack(taken)
			return err
		}
	}
	return errors.Wrap(ctx.Err(), "append crash records")
}

func (l *Log) appendBatch(ctx context.Context, batch []platform.Record, reason storecalls.Reason) error {
	if len(batch) == 0 {
		return nil
	}
	err := l.appendDirect(ctx, batch, reason)
	if err == nil || ctx.Err() != nil || l.appendRelayed(ctx, batch) != nil {
		return err
	}
	l.Log.Info("crash records appended by another entry host", "Records", len(batch), "Error", err)
	return nil
}

func (l *Log) appendDirect(ctx context.Context, batch []platform.Record, reason storecalls.Reason) error {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(appendMillis*time.Millisecond))
	defer stop()
	return l.Store.WithReason(reason).Append(ctx, platform.CrashesTopic, batch)
}

// take removes the records of the next append, and returns them as they are appended, too. Those
// with names that can't be recorded are left out.
func (l *Log) take() (taken []pendingRecord, batch []platform.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := 0
	for _, p := range l.pending {
		if len(taken) >= maxBatch || bytes >= maxBatchBytes {
			break
		}
		taken = append(taken, p)
		if key, value, valid := quarantine.Encode(p.change); valid {
			batch = append(batch, platform.Record{Key: key, Value: value})
			bytes += len(key) + len(value)
		}
	}
	l.pending = slices.Clone(l.pending[len(taken):])
	return taken, batch
}

// putBack adds records before those that wait, but those that were replaced meanwhile.
func (l *Log) putBack(taken []pendingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken = slices.DeleteFunc(taken, func(p pendingRecord) bool {
		return slices.ContainsFunc(l.pending, func(other pendingRecord) bool { return other.key == p.key })
	})
	l.pending = append(taken, l.pending...)
}
