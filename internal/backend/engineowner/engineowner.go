// Package engineowner serves requests on one model engine. It runs in the process
// beside a backend server, which is called the owner because it is the only client
// of the server's engine. Its decisions therefore need no coordination with other
// hosts.
//
// Owner handles the calls of the entry hosts. It admits or refuses each request,
// runs each admitted one on the engine as a job, numbers its tokens and keeps them
// in the replay buffer. An entry host's stream is read from that buffer, so after
// a broken connection the entry host can resume at the position it needs.
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
	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// tickMillis is the period at which expired entries are dropped, late and
	// abandoned generations are ended, and waiting requests are started.
	tickMillis = 250
	// abandonedAfterSeconds is how long an idempotent generation continues without
	// a reader before it is cancelled.
	abandonedAfterSeconds = 60
	// initialStepMicros is the assumed time between two tokens, in microseconds,
	// before any is measured.
	initialStepMicros = 30000
)

// Engine is the model engine.
type Engine interface {
	Generate(context.Context, engine.Request) (Stream, error)
	Cancel(ctx context.Context, id string) error
	// CacheEvents returns the cache events after the given sequence number. Events
	// may arrive late or get lost.
	CacheEvents(ctx context.Context, since uint64) ([]engine.CacheEvent, error)
	Order(ctx context.Context, order engine.Order) error
}

// Stream is the stream of events of one generation.
type Stream interface {
	Next() (engine.Event, error)
	Close() error
}

// Metrics records stalls and preemptions. It must be safe for concurrent use.
type Metrics interface {
	Stalled(account, class string, since, until time.Time)
	Preempted(account, class string)
}

// Owner runs requests on one engine, of which it is the only client. Its exported
// fields must be set before Prepare. It is safe for concurrent use.
type Owner struct {
	Settings process.Backend
	// Incarnation identifies one start of the process. It is random and not zero.
	Incarnation   uint64
	PermitChecker *permitcheck.Checker
	Engine        Engine
	Replay        *replay.Buffer
	Admission     *admission.Controller
	// Configuration returns the operator file in force, or nil if there is none
	// yet.
	Configuration func() *operatorfile.Document
	// ConfigVersion returns the version of the operator file in force.
	ConfigVersion func() uint64
	// VersionSeen is called with the configuration version of each client and its
	// peer address.
	VersionSeen func(version uint64, address string)
	// Crashes holds what the engine's crashes had in common.
	Crashes *crashreport.Reports
	Records explanation.Writer
	Metrics Metrics
	Log     *slog.Logger

	leaving atomic.Bool
	clients permitcheck.Clients

	// mu guards Admission and the fields below.
	mu sync.Mutex
	// jobs holds the open generations by request ID.
	jobs map[string]*job
	// ending is set when Run ends. No generation is started any more.
	ending bool
	// applied is the operator file whose policy the admission controller uses.
	applied  *operatorfile.Document
	pace     pace
	prefixes cachedPrefixes
	// cacheSequence is the sequence number of the latest cache event applied.
	cacheSequence uint64
	// background runs the admitted jobs, which continue when the calls that
	// submitted them have ended.
	background background.Group
}

// job is one open generation. Owner.mu guards the fields that change.
type job struct {
	request engine.Request
	// content is what the request consists of.
	content quarantine.Content
	account string
	class   string
	// repeatable reports whether the request is idempotent. Such a generation is
	// cancelled once it is abandoned.
	repeatable bool
	// urgent reports whether the generation may preempt others to start. It takes
	// the batch slot only of generations with a lower priority.
	urgent   bool
	priority int
	// preempted reports whether the engine has preempted the generation, or was
	// ordered to, and has not resumed it. preemptions is the number of times that
	// the engine has preempted it.
	preempted   bool
	preemptions int
	// deadline is zero if the caller has set none.
	deadline time.Time
	// sequence is the sequence number of the generation in the replay buffer.
	sequence uint64
	// readers is the number of streams that deliver this generation.
	readers int
	// abandonedAt is when the last reader disconnected, or when the job was opened
	// if there was none yet. It is zero while there is a reader.
	abandonedAt time.Time
	// running reports whether the admission controller has admitted the job.
	running bool
	// stop cancels the job's run on the engine. It is nil before the run starts.
	stop context.CancelFunc
	// engineLost reports whether the engine was lost during the run, or has lost the generation.
	// It is set by the run before its end.
	engineLost bool
	// stopCode is the result code of a job that stopJob has stopped, and 0
	// otherwise.
	stopCode uint32
}

// Prepare initialises the state that the handlers need. It must be called once,
// before Run and before the first call is served.
func (o *Owner) Prepare() {
	o.jobs = make(map[string]*job)
	o.background.Backlog = o.Settings.MaxRunning + o.Settings.QueueLimit + 1
	o.background.Prepare()
	o.pace = pace{micros: initialStepMicros}
}

// Run processes generations until ctx ends. It then refuses the requests that wait, and
// ends those that run with DrainCut. To avoid that, call Leave first and wait until Open
// returns 0.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error { return o.tick(ctx) })
	group.Go(func() error { return o.watchCache(ctx) })
	group.Go(func() error { return o.background.Run(running) })
	group.Go(func() error {
		defer stop()
		<-ctx.Done()
		o.refuseWaiting()
		return nil
	})
	return errors.Wrap(group.Wait(), "run engine owner")
}

// tick periodically drops expired entries, ends late and abandoned generations and
// starts waiting requests.
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

// launch submits an admitted job to the background group. The caller holds the
// mutex, so Submit must not block: the group's backlog has room for more than
// MaxRunning jobs, and Owner.Run takes submitted jobs from it at once.
func (o *Owner) launch(j *job) {
	j.running = true
	o.background.Submit(func(ctx context.Context) { o.runJob(ctx, j) })
}

// startNext starts the waiting requests that fit now.
func (o *Owner) startNext(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ending {
		return
	}
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

// adoptConfiguration applies the policy and the account shares of a new operator
// file. The caller holds the mutex.
func (o *Owner) adoptConfiguration() {
	document := o.Configuration()
	if document == nil || document == o.applied {
		return
	}
	o.applied = document
	o.Admission.SetPolicy(policyOf(document.Policy), sharesOf(document.Accounts))
}
