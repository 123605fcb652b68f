// Package engineowner owns one model engine: it admits or refuses requests, runs
// them on the engine, numbers their tokens and holds the answers for replay.
//
// Because only this process speaks to the engine, its decisions need no
// agreement with other hosts.
package engineowner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/background"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// tickMillis is the period of housekeeping.
	tickMillis = 250
	// abandonedAfterSeconds is how long a repeatable generation runs on without a
	// reader.
	abandonedAfterSeconds = 60
	// initialStepMicros is the time between tokens assumed before any is measured.
	initialStepMicros = 30000
)

// Engine is the model engine that the Owner owns.
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

// Metrics measures the engine's work. It is safe for concurrent use.
type Metrics interface {
	Stalled(account, class string, since, until time.Time)
	Preempted(account, class string)
}

// Owner owns one engine. Its exported fields must be set before Run. It is
// safe for concurrent use.
type Owner struct {
	Settings process.Backend
	// Incarnation is drawn at random for each start of the process; not zero.
	Incarnation   uint64
	PermitChecker *permitcheck.Checker
	Engine        Engine
	Replay        *replay.Buffer
	Admission     *admission.Controller
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *operatorfile.Document
	// ConfigVersion returns the version in force.
	ConfigVersion func() uint64
	// VersionSeen takes the version that an asker holds and its peer address.
	VersionSeen func(version uint64, address string)
	Records     explanation.Writer
	Metrics     Metrics
	Log         *slog.Logger

	leaving atomic.Bool
	clients permitcheck.Clients

	// mu guards the admission controller and the fields below.
	mu sync.Mutex
	// jobs holds the open generations by request identity.
	jobs map[string]*job
	// applied is the document that the admission controller's policy was taken from.
	applied *operatorfile.Document
	pace    pace
	recent  cachedPrefixes
	// cacheSequence is that of the newest cache event taken.
	cacheSequence uint64
	// background runs the admitted jobs.
	background background.Group
}

// job is one open generation. The Owner's mutex guards its changing fields.
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
	// running tells that the admission controller has admitted the job.
	running bool
	// stop ends the job's run on the engine; nil before it started.
	stop context.CancelFunc
	// stopCode is the result of a job that was stopped on purpose.
	stopCode uint32
}

// Prepare sets up the state that calls need. It is called once, before Run and
// before the first call is served.
func (o *Owner) Prepare() {
	o.jobs = make(map[string]*job)
	o.background.Backlog = o.Settings.MaxRunning + o.Settings.QueueLimit + 1
	o.background.Prepare()
	o.pace = pace{micros: initialStepMicros}
}

// Run drives generations until ctx ends. Generations that are open then are
// cut; Drain avoids that.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.tick(ctx) })
	group.Go(func() error { return o.watchCache(ctx) })
	group.Go(func() error { return o.background.Run(ctx) })
	return errors.Wrap(group.Wait(), "run keeper")
}

// tick does the housekeeping that time asks for.
func (o *Owner) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			o.Replay.Evict(now)
			o.expire(ctx, now)
			o.startNext(now)
		}
	}
}

// launch hands an admitted job to the group. The caller holds the mutex; the
// group has room for every job that the admission controller holds.
func (o *Owner) launch(j *job) {
	j.running = true
	o.background.Submit(func(ctx context.Context) { o.runJob(ctx, j) })
}

// startNext starts the waiting requests that fit now.
func (o *Owner) startNext(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.adoptConfiguration()
	for _, admit := range o.Admission.Next(now) {
		j, open := o.jobs[admit.RequestID]
		if !open {
			o.Admission.Release(admit.RequestID)
			continue
		}
		o.Metrics.Stalled(j.account, j.class, admit.QueuedAt, now)
		o.Records.Record(admit.RequestID, explanation.Admitted{Reason: "memory and batch have room after a wait"})
		o.launch(j)
	}
}

// adoptConfiguration takes policy and shares from a new document. The caller
// holds the mutex.
func (o *Owner) adoptConfiguration() {
	document := o.Configuration()
	if document == nil || document == o.applied {
		return
	}
	o.applied = document
	o.Admission.SetPolicy(policyOf(document.Policy), sharesOf(document.Accounts))
}
