// Package keeper owns one model engine: it admits or refuses requests, runs
// them on the engine, numbers their tokens and holds the answers for replay.
//
// Because only this process speaks to the engine, its decisions need no
// agreement with other hosts.
package keeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/booking"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/crew"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// tickMillis is the period of housekeeping.
	tickMillis = 250
	// abandonedSeconds is how long a repeatable generation runs on without a
	// reader.
	abandonedSeconds = 60
	// firstStepMicros is the time between tokens assumed before any is measured.
	firstStepMicros = 30000
)

// Engine is the model engine that the keeper owns.
type Engine interface {
	Generate(context.Context, engine.Request) (Stream, error)
	Cancel(ctx context.Context, id string) error
	// CacheEvents returns the cache events after the given sequence. They come
	// late, and some never come.
	CacheEvents(ctx context.Context, since uint64) ([]engine.CacheEvent, error)
	Order(ctx context.Context, order engine.Order) error
}

// Stream is the engine's side of one generation.
type Stream interface {
	Next() (engine.Event, error)
	Close() error
}

// Gauge measures the engine's work. It is safe for concurrent use.
type Gauge interface {
	Stalled(account, class string, since, until time.Time)
	Preempted(account, class string)
}

// Keeper owns one engine. Its exported fields must be set before Run. It is
// safe for concurrent use.
type Keeper struct {
	Settings process.Backend
	// Incarnation is drawn at random for each start of the process; not zero.
	Incarnation uint64
	Warden      *warden.Warden
	Engine      Engine
	Logbook     *logbook.Logbook
	Book        *booking.Book
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *agreement.Document
	// ConfigVersion returns the version in force.
	ConfigVersion func() uint64
	// VersionSeen takes the version that an asker holds and its peer address.
	VersionSeen func(version uint64, address string)
	Records     explanation.Writer
	Gauge       Gauge
	Log         *slog.Logger

	leaving atomic.Bool
	askers  warden.Askers

	// mu guards the book and the fields below.
	mu sync.Mutex
	// jobs holds the open generations by request identity.
	jobs map[string]*job
	// applied is the document that the book's policy was taken from.
	applied *agreement.Document
	pace    pace
	recent  prefixes
	// cacheSequence is that of the newest cache event taken.
	cacheSequence uint64
	// crew runs the admitted jobs.
	crew crew.Crew
}

// job is one open generation. The keeper's mutex guards its changing fields.
type job struct {
	request engine.Request
	account string
	class   string
	// repeatable generations may be cancelled once abandoned.
	repeatable bool
	// urgent generations may preempt others of a lower priority to start.
	urgent   bool
	priority int
	// preempted tells that the engine has pushed the generation aside or was told
	// to, and preemptions how often it did.
	preempted   bool
	preemptions int
	// deadline is zero when the caller set none.
	deadline time.Time
	sequence uint64
	// readers counts the streams that deliver this generation.
	readers int
	// abandonedAt is when the last reader went; zero while there is one.
	abandonedAt time.Time
	// running tells that the book has admitted the job.
	running bool
	// stop ends the job's run on the engine; nil before it started.
	stop context.CancelFunc
	// stopCode is the result of a job that was stopped on purpose.
	stopCode uint32
}

// Prepare sets up the state that calls need. It is called once, before Run and
// before the first call is served.
func (k *Keeper) Prepare() {
	k.jobs = make(map[string]*job)
	k.crew.Backlog = k.Settings.MaxRunning + k.Settings.QueueLimit + 1
	k.crew.Prepare()
	k.pace = pace{micros: firstStepMicros}
}

// Run drives generations until ctx ends. Generations that are open then are
// cut; Drain avoids that.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.tick(ctx) })
	group.Go(func() error { return k.watchCache(ctx) })
	group.Go(func() error { return k.crew.Run(ctx) })
	return errors.Wrap(group.Wait(), "run keeper")
}

// tick does the housekeeping that time asks for.
func (k *Keeper) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			k.Logbook.Evict(now)
			k.expire(ctx, now)
			k.startNext(now)
		}
	}
}

// launch hands an admitted job to the crew. The caller holds the mutex; the
// crew has room for every job that the book holds.
func (k *Keeper) launch(j *job) {
	j.running = true
	k.crew.Submit(func(ctx context.Context) { k.drive(ctx, j) })
}

// startNext starts the waiting requests that fit now.
func (k *Keeper) startNext(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.adoptConfiguration()
	for _, admit := range k.Book.Next(now) {
		j, open := k.jobs[admit.RequestID]
		if !open {
			k.Book.Release(admit.RequestID)
			continue
		}
		k.Gauge.Stalled(j.account, j.class, admit.QueuedAt, now)
		k.Records.Record(admit.RequestID, explanation.Admitted{Reason: "memory and batch have room after a wait"})
		k.launch(j)
	}
}

// adoptConfiguration takes policy and shares from a new document. The caller
// holds the mutex.
func (k *Keeper) adoptConfiguration() {
	document := k.Configuration()
	if document == nil || document == k.applied {
		return
	}
	k.applied = document
	k.Book.SetPolicy(policyOf(document.Policy), sharesOf(document.Accounts))
}
