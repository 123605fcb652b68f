package configversion

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

// tryPublish publishes a change, with a limit of 20 s of virtual time.
func tryPublish(t *testing.T, log journal.Log, change Change) (Configuration, error) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(20*time.Second))
	defer cancel()
	publisher := Publisher{Journal: log}
	return publisher.Publish(ctx, change)
}

func recordCount(t *testing.T, log journal.Log) int {
	page, err := log.Read(t.Context(), Stream, 1, pageRecords)
	is.New(t).NoErr(err)
	return len(page.Records)
}

func TestPublishAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		first, err := tryPublish(t, store, Change{Author: "una", Text: smallDocument(1)})
		is.NoErr(err)
		is.Equal(first.Version, uint64(1))
		second, err := tryPublish(t, store, Change{Author: "una", ReplacesCurrent: true, Text: smallDocument(2)})
		is.NoErr(err)
		is.Equal(second.Version, uint64(2))
		is.Equal(second.Document.Accounts[0].Name, "account-2")
	})
}

func TestPublishConflictNamesTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		first, err := tryPublish(t, store, Change{Author: "una", Text: smallDocument(1)})
		is.NoErr(err)
		_, err = tryPublish(t, store, Change{Author: "birna", Text: smallDocument(2)})
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(*conflict, ConflictError{Replaces: 0, InForce: 1, Winner: first.ID, Author: "una"})
		is.Equal(recordCount(t, store), 1)
	})
}

func TestPublishLostAnswerAppendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		store.Faults.LoseAnswers.Store(1)
		published, err := tryPublish(t, store, Change{Text: smallDocument(1)})
		is.NoErr(err)
		is.Equal(published.Version, uint64(1))
		is.Equal(recordCount(t, store), 1)
	})
}

func TestPublishInvalidDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		_, err := tryPublish(t, store, Change{Text: []byte(`{}`)})
		var faults *operatorfile.Faults
		is.True(errors.As(err, &faults))
		is.Equal(recordCount(t, store), 0)
	})
}

func TestPublishDuringOutageIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		store.Faults.Down.Store(true)
		_, err := tryPublish(t, store, Change{Text: smallDocument(1)})
		var unknown *UnknownOutcomeError
		is.True(err != nil)
		is.True(!errors.As(err, &unknown)) // nothing was appended
	})
}

// outageAfterAppend is a log store that loses the answer of the first append and is
// unavailable afterwards.
type outageAfterAppend struct {
	*standin.Store
	once atomic.Bool
}

func (l *outageAfterAppend) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	offset, err := l.Store.Append(ctx, name, data)
	if l.once.CompareAndSwap(false, true) {
		l.Faults.Down.Store(true)
		return 0, journal.ErrUnknown
	}
	return offset, err
}

func TestPublishContinuesAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &outageAfterAppend{Store: &standin.Store{}}
		_, err := tryPublish(t, log, Change{Text: smallDocument(1)})
		var unknown *UnknownOutcomeError
		is.True(errors.As(err, &unknown))

		log.Faults.Down.Store(false)
		again := Change{ID: unknown.ID, Text: smallDocument(1)}
		published, err := tryPublish(t, log, again)
		is.NoErr(err)
		is.Equal(published.ID, unknown.ID)
		is.Equal(recordCount(t, log), 1)

		mustPublish(t, log, smallDocument(2))
		published, err = tryPublish(t, log, again)
		is.NoErr(err) // it was accepted, and replaced later
		is.Equal(published.Version, uint64(1))

		_, err = tryPublish(t, log, Change{ID: unknown.ID, ReplacesCurrent: true, Text: smallDocument(1)})
		is.True(err != nil) // would apply the change a second time
	})
}

// TestPublishAfterRecordExpired continues a change whose record has expired. The outcome
// must stay unknown and must not be reported as a conflict, because the change may have
// been accepted.
func TestPublishAfterRecordExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainRecords: 2}
		published := mustPublish(t, store, smallDocument(1))
		mustPublish(t, store, smallDocument(2))
		c := cursor{log: store}
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, c.state.Snapshot())
		mustPublish(t, store, smallDocument(3)) // only the snapshot and this record are retained
		_, err := tryPublish(t, store, Change{ID: published.ID, Text: smallDocument(1)})
		var unknown *UnknownOutcomeError
		is.True(errors.As(err, &unknown))
	})
}

// TestPublishIgnoresRecordsBeforeTheAnchor continues a rejected change. Its record is
// retained, but precedes the snapshot from which the fold starts.
func TestPublishIgnoresRecordsBeforeTheAnchor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainRecords: 2}
		mustPublish(t, store, smallDocument(1))
		c := cursor{log: store}
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, proposal("loser", 0, smallDocument(2)))
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, c.state.Snapshot())
		_, err := tryPublish(t, store, Change{ID: "loser", Text: smallDocument(2)})
		is.True(err != nil) // it is not mistaken for the version in force
	})
}

// TestPublishContinuesAcrossASnapshot continues a change that was accepted and then
// replaced. Its record lies between two snapshots; earlier records have expired.
func TestPublishContinuesAcrossASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainRecords: 4}
		mustPublish(t, store, smallDocument(1))
		c := cursor{log: store}
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, c.state.Snapshot())
		published := mustPublish(t, store, smallDocument(2))
		mustPublish(t, store, smallDocument(3))
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, c.state.Snapshot())
		again, err := tryPublish(t, store, Change{ID: published.ID, Replaces: 1, Text: smallDocument(2)})
		is.NoErr(err)
		is.Equal(again.Version, published.Version)
	})
}

// TestPublishWithoutHistoryNeedsASeed publishes after the whole history has expired. This
// fails with ErrUnanchored, unless the publisher has a state from a peer.
func TestPublishWithoutHistoryNeedsASeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainSeconds: 60}
		mustPublish(t, store, smallDocument(1))
		c := cursor{log: store}
		is.NoErr(c.advance(t.Context()))
		time.Sleep(2 * time.Minute)
		_, err := tryPublish(t, store, Change{Text: smallDocument(2)})
		is.True(errors.Is(err, ErrUnanchored))
		publisher := Publisher{Journal: store, Seed: c.state}
		published, err := publisher.Publish(t.Context(), Change{ReplacesCurrent: true, Text: smallDocument(2)})
		is.NoErr(err)
		is.Equal(published.Version, uint64(2))
	})
}

// TestRestartAfterHistoryExpired publishes a restart after the whole fleet was stopped
// for longer than the retention time of the log.
func TestRestartAfterHistoryExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainSeconds: 60}
		publisher := Publisher{Journal: store}
		_, err := publisher.Restart(t.Context(), Change{Text: smallDocument(1)}, 5)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict)) // nothing has expired yet
		mustPublish(t, store, smallDocument(1))
		time.Sleep(2 * time.Minute)

		store.Faults.LoseAnswers.Store(1)
		published, err := publisher.Restart(t.Context(), Change{ID: "again", Text: smallDocument(2)}, 5)
		is.NoErr(err)
		is.Equal(published.Version, uint64(5))
		is.Equal(recordCount(t, store), 1)
		_, err = publisher.Restart(t.Context(), Change{ID: "late", Text: smallDocument(3)}, 5)
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner, "again")

		fresh := Reader{Journal: store, Register: &Register{}, FleetSize: func() int { return 1 }}
		is.NoErr(fresh.Poll(t.Context()))
		is.Equal(fresh.Register.State().Configuration.ID, "again")
		is.Equal(mustPublish(t, store, smallDocument(4)).Version, uint64(6))
	})
}

// TestConcurrentRestarts appends two restarts that were published without knowledge of
// each other. All readers must accept the first one.
func TestConcurrentRestarts(t *testing.T) {
	is := is.New(t)
	store := &standin.Store{RetainRecords: 2}
	for range 4 {
		mustAppend(t, store, proposal("stale", 7, smallDocument(1)))
	}
	mustAppend(t, store, Restart{ID: "first", Version: 9, Document: smallDocument(1), Through: 4})
	mustAppend(t, store, Restart{ID: "second", Version: 9, Document: smallDocument(2), Through: 4})
	c := cursor{log: store}
	is.NoErr(c.advance(t.Context()))
	is.Equal(c.state.Configuration.ID, "first")
}
