// Package reconciler brings a model engine to the state that the operator file in
// force requires. A Reconciler runs in the process beside the backend server. It
// plans the orders with package instruction, waits for the weight store to load the
// weights, and sends one order at a time to the engine.
//
// Only this package sends such orders, and each goes through an instruction.Fence,
// because some engines do not check the fencing numbers of the orders.
package reconciler

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

const (
	// heartbeatMillis is the period at which the deadline of the fence is extended.
	heartbeatMillis = 1000
	// maxPauseMillis is the pause of the process after which the fence is closed and
	// the process must confirm again which fencing number the engine has been given.
	maxPauseMillis = 3000
	// confirmMillis is the timeout of that confirmation. A process that needs longer
	// may have been paused in the meantime.
	confirmMillis = 6000
	// orderMillis is the timeout of one order and of one request for the engine's
	// state.
	orderMillis = 10000
	// inspectMillis is the mean period at which the state of an engine is checked when
	// nothing changes.
	inspectMillis = 10000
	// settleMillis is the delay after which the plan is computed and sent again when
	// the answer to an order was lost, because the engine may still have held a copy
	// of the order and may have carried it out late.
	settleMillis = 30000
	// retryMinMillis and retryMaxMillis bound the pause after a failure.
	retryMinMillis = 500
	retryMaxMillis = 30000
)

// errSuperseded means that another version is in force, so that the current plan is
// abandoned.
var errSuperseded = errors.New("another version is in force")

// errBusy means that the engine is not put on standby because it has open requests.
var errBusy = errors.New("engine has open requests")

// Configuration provides the operator file in force.
type Configuration interface {
	// Latest returns the latest known version, and false if there is none. The
	// version never decreases.
	Latest() (configversion.Configuration, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Confirm waits until every version that was accepted before the call is known.
	Confirm(context.Context) error
}

// Engine is the client of the model engine.
type Engine interface {
	// Order sends an order. It returns the same errors as engine.Client.Order.
	Order(context.Context, engine.Order) error
	// State returns the state of the engine. It fails with engine.ErrNoState if the
	// engine does not report its state.
	State(context.Context) (engine.State, error)
}

// Store is the client of the weight store, which limits the rate of requests.
type Store interface {
	// Load makes the store load the weights. It returns the same errors as
	// weights.Client.Load, and may safely be called again.
	Load(ctx context.Context, name, version string) error
}

// Reconciler sends the orders to one engine. Its exported fields must be set before
// Run.
type Reconciler struct {
	// Model is the name of the model in the operator file.
	Model string
	// Rank returns the position among the model's live engines, or
	// instruction.RankUnknown. Nil means unknown.
	Rank func() int
	// Open returns the number of requests that are open at the engine. Nil means
	// none.
	Open          func() int
	Configuration Configuration
	Engine        Engine
	// ChecksFencing reports whether the engine refuses an order with a stale fencing
	// number.
	ChecksFencing bool
	// Store is the weight store. It is nil if the engine needs no weights from it.
	Store Store
	// Log receives the messages for operators.
	Log *slog.Logger

	fenceOnce sync.Once
	fence     instruction.Fence

	// The fields below belong to the goroutine that runs work.

	// engineState is the known state of the engine.
	engineState instruction.State
	// desired is the model as the version that is being carried out describes it.
	desired operatorfile.Model
	// fetched holds the weights that the store has loaded for desired.
	fetched map[instruction.Weights]struct{}
	// loadAt is when the first request to the store for desired is sent.
	loadAt time.Time
	// replanAt is when the plan is computed again after a lost answer. It is zero if
	// no answer was lost.
	replanAt time.Time
	// fenced is set when the engine has refused an order because of a stale fencing
	// number. It is cleared by the next confirmation.
	fenced bool
	// cause is the kind of the last failure that was logged.
	cause string

	mu     sync.Mutex
	status Status
}

// Run reconciles the engine with the operator file in force until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	r.prepare()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.extendFence(ctx) })
	group.Go(func() error { return r.work(ctx) })
	return group.Wait()
}

func (r *Reconciler) prepare() {
	r.fenceOnce.Do(func() { r.fence.Now = time.Now })
	r.fetched = make(map[instruction.Weights]struct{})
}

// extendFence periodically extends the deadline of the fence until ctx ends. While the
// process is paused it does not run, so that the fence expires.
func (r *Reconciler) extendFence(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.fence.Extend(time.Now().Add(maxPauseMillis * time.Millisecond))
		}
	}
}

// work reconciles the engine at each change of the operator file, after failures and
// periodically until ctx ends.
func (r *Reconciler) work(ctx context.Context) error {
	delays := retryDelays()
	for ctx.Err() == nil {
		changed := r.Configuration.Changed()
		err := r.reconcile(ctx, changed)
		r.report(ctx, err)
		if errors.Is(err, errSuperseded) {
			delays.Reset()
			continue
		}
		_ = waitUntil(ctx, changed, r.nextAt(err, delays))
	}
	return nil
}

// nextAt returns when to reconcile next, unless the operator file changes before.
func (r *Reconciler) nextAt(err error, delays *backoff.ExponentialBackOff) time.Time {
	now := time.Now()
	if err != nil {
		return now.Add(delays.NextBackOff())
	}
	delays.Reset()
	return now.Add(jittered(inspectMillis * time.Millisecond))
}

// jittered returns a random period between 0.5 and 1.5 times the given one.
func jittered(period time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(period))
}

func retryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryMinMillis * time.Millisecond
	delays.MaxInterval = retryMaxMillis * time.Millisecond
	return delays
}

// waitUntil waits until the given time. It fails with errSuperseded if changed, which
// may be nil, is closed before, and with the error of ctx if ctx ends.
func waitUntil(ctx context.Context, changed <-chan struct{}, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return errSuperseded
	case <-timer.C:
		return nil
	}
}
