package reconciler

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
)

// reconcile carries out the plan of the version in force. It returns errSuperseded
// early when changed is closed, but it does not interrupt the loading of weights
// that the next version needs as well.
func (r *Reconciler) reconcile(ctx context.Context, changed <-chan struct{}) error {
	if err := r.refresh(ctx); err != nil {
		return err
	}
	configuration, found := r.Configuration.Latest()
	if !found {
		return nil
	}
	r.fence.Raise(configuration.Version)
	r.setDesired(configuration)
	for _, order := range r.plan(configuration) {
		if err := r.carryOut(ctx, changed, order); err != nil {
			return err
		}
	}
	return nil
}

// backend returns the backend server for which the orders are planned.
func (r *Reconciler) backend() instruction.Backend {
	b := instruction.Backend{Model: r.Model, Rank: instruction.RankUnknown}
	if r.Rank != nil {
		b.Rank = r.Rank()
	}
	return b
}

// plan returns the orders that bring the engine to the given version.
func (r *Reconciler) plan(configuration configversion.Configuration) []instruction.Order {
	return instruction.Plan(configuration.Document, configuration.Version, r.backend(), r.engineState)
}

// setDesired sets the desired model from the version in force. If the model needs
// other weights than before, setDesired clears the record of fetched weights and
// picks a new random time for the first request to the store.
func (r *Reconciler) setDesired(configuration configversion.Configuration) {
	desired, _ := configuration.Document.Model(r.Model)
	same := desired.Version == r.desired.Version && slices.Equal(desired.Adapters, r.desired.Adapters)
	r.desired = desired
	if same {
		return
	}
	r.loadAt = firstLoadAt(desired.Replicas, time.Now())
	clear(r.fetched)
}

// refresh updates the known state of the engine. When replanAt has passed, it discards
// the state known from orders first, so that the whole plan is computed again. If the
// fence is closed, or the engine has refused a fencing number as stale, refresh opens
// the fence again, if necessary after it has confirmed the versions that the engine
// can have been given.
func (r *Reconciler) refresh(ctx context.Context) error {
	if !r.replanAt.IsZero() && !time.Now().Before(r.replanAt) {
		r.replanAt = time.Time{}
		r.engineState = instruction.State{}
	}
	reported, err := r.inspect(ctx)
	if err != nil {
		return err
	}
	r.updateStatus()
	if r.fence.Open() && !r.fenced {
		return nil
	}
	// The deadline is computed before the confirmation, so that the fence is closed
	// for a process that was paused after the confirmation.
	until := time.Now().Add(confirmMillis * time.Millisecond)
	if r.needsConfirmation(reported) {
		if err := r.confirm(ctx, until); err != nil {
			return err
		}
	}
	r.fenced = false
	r.fence.OpenUntil(until)
	return nil
}

// needsConfirmation reports whether an order of this process could revert the engine
// to an older version unless the process knows every accepted version. An engine that
// checks fencing numbers refuses such an order itself; after that refusal the process
// has to read the newer version. An engine that has nothing loaded can't be reverted.
func (r *Reconciler) needsConfirmation(reported bool) bool {
	empty := reported && r.engineState.Model == "" && r.engineState.Role == ""
	return r.fenced || !r.ChecksFencing && !empty
}

// confirm waits until all versions that were accepted before the call are known, or
// until the deadline.
func (r *Reconciler) confirm(ctx context.Context, until time.Time) error {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	return errors.Wrap(r.Configuration.Confirm(ctx), "learn the versions that the engine can have been given")
}

// inspect requests the state of the engine and returns whether the engine reports
// one. If the engine does not, the known state remains the result of the orders sent.
func (r *Reconciler) inspect(ctx context.Context) (bool, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
	defer stop()
	state, err := r.Engine.State(ctx)
	if errors.Is(err, engine.ErrNoState) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "ask the engine for its state")
	}
	r.setReported(state)
	return true, nil
}

// setReported replaces the known state by the one that the engine reports. An engine
// that ignores fencing numbers does not report one, so the known number stays. A
// reported state without a model means that the engine has lost its model, so the
// weights have to be fetched again.
func (r *Reconciler) setReported(state engine.State) {
	number := r.engineState.Number
	if r.ChecksFencing {
		number = state.Fence
		r.fence.Raise(state.Fence)
	}
	if state.Model == "" && r.engineState.Model != "" {
		clear(r.fetched)
	}
	r.engineState = instruction.State{
		Number:   number,
		Model:    state.Model,
		Version:  state.Version,
		Adapters: slices.Clone(state.Adapters),
		Role:     state.Role,
	}
}
