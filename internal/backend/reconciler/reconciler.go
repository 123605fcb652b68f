// Package reconciler gives a model engine its orders: it follows the operator file
// in force, waits for the weight store, and sends one order at a time.
//
// It is the only part that sends orders to the engine, and each goes through a
// fence, because some engines ignore fencing numbers.
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
	// heartbeatMillis is the period at which the fence is kept open.
	heartbeatMillis = 1000
	// maxPauseMillis is the pause of the process after which it must learn anew
	// what number the engine has been given.
	maxPauseMillis = 3000
	// confirmMillis bounds the time in which a process learns that number; a
	// process that needs longer may have been paused meanwhile.
	confirmMillis = 6000
	// orderMillis bounds one order, and the question for the engine's state.
	orderMillis = 10000
	// inspectMillis is the mean period at which a quiet engine is looked at.
	inspectMillis = 10000
	// settleMillis is when the orders of a plan are repeated after one whose
	// answer was lost, because the engine may still have held a copy of it.
	settleMillis = 30000
	// retryMinMillis and retryMaxMillis bound the pause after a failure.
	retryMinMillis = 500
	retryMaxMillis = 30000
)

// errSuperseded ends the work on a plan when another version is in force.
var errSuperseded = errors.New("another version is in force")

// errBusy says that an engine with open requests is not put on standby.
var errBusy = errors.New("engine has open requests")

// Configuration is the operator file in force.
type Configuration interface {
	// Latest returns the one that is known. It never goes back.
	Latest() (configversion.Configuration, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Confirm returns once every version is known that was accepted before the
	// call.
	Confirm(context.Context) error
}

// Engine takes orders.
type Engine interface {
	// Order fails as engine.Client does.
	Order(context.Context, engine.Order) error
	// State fails with engine.ErrNoState when the engine does not report it.
	State(context.Context) (engine.State, error)
}

// Store hands out weights under a rate limit.
type Store interface {
	// Load fails as weights.Client does. To load again is safe.
	Load(ctx context.Context, name, version string) error
}

// Reconciler gives the orders to one engine. Its exported fields must be set
// before Run.
type Reconciler struct {
	// Model is the name of the model in the operator file.
	Model string
	// Rank returns the position among the model's live engines, or
	// instruction.RankUnknown. Nil means unknown.
	Rank func() int
	// Open returns how many requests are open at the engine.
	Open          func() int
	Configuration Configuration
	Engine        Engine
	// ChecksFencing says that the engine refuses an order with an old number.
	ChecksFencing bool
	// Store is nil when the engine needs no weights from it.
	Store Store
	// Log writes what operators need to see.
	Log *slog.Logger

	fenceOnce sync.Once
	fence     instruction.Fence

	// The fields below belong to the goroutine that works.

	// engineState is the state of the engine as far as it is known.
	engineState instruction.State
	// desired is the model as the version in work asks for it.
	desired operatorfile.Model
	// fetched holds the weights that the store has handed out for goal.
	fetched map[instruction.Weights]struct{}
	// loadAt is when the store is first asked for goal.
	loadAt time.Time
	// replanAt is when the plan is repeated after a lost answer; zero when no
	// answer is missing.
	replanAt time.Time
	// fenced is set when the engine refused a number as old, until the versions
	// in force were learnt.
	fenced bool
	// cause is the kind of the last failure that was logged.
	cause string

	mu     sync.Mutex
	status Status
}

// Run gives orders until ctx ends.
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

// extendFence extends the fence's deadline as long as the process is not paused.
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

// work brings the engine to the version in force, again and again.
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

// nextAt returns when the engine is to be looked at again.
func (r *Reconciler) nextAt(err error, delays *backoff.ExponentialBackOff) time.Time {
	now := time.Now()
	if err != nil {
		return now.Add(delays.NextBackOff())
	}
	delays.Reset()
	return now.Add(jittered(inspectMillis * time.Millisecond))
}

// jittered returns a period between half and one and a half of the given one.
func jittered(period time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(period))
}

func retryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryMinMillis * time.Millisecond
	delays.MaxInterval = retryMaxMillis * time.Millisecond
	return delays
}

// waitUntil waits for a point in time. It fails with errSuperseded when changed,
// which may be nil, is closed before, and with the error of ctx when that ends.
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
