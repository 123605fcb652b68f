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

// reconcile carries out the plan of the version in force. It ends early with
// errSuperseded when changed is closed, but not in the middle of fetching weights
// that the next version needs as well.
func (r *Reconciler) reconcile(ctx context.Context, changed <-chan struct{}) error {
	if err := r.refresh(ctx); err != nil {
		return err
	}
	in, found := r.Configuration.Latest()
	if !found {
		return nil
	}
	r.fence.Raise(in.Version)
	r.setDesired(in)
	for _, order := range r.plan(in) {
		if err := r.carryOut(ctx, changed, order); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reconciler) backend() instruction.Backend {
	b := instruction.Backend{Model: r.Model, Rank: instruction.RankUnknown}
	if r.Rank != nil {
		b.Rank = r.Rank()
	}
	return b
}

// plan returns the orders that a version leaves to be sent.
func (r *Reconciler) plan(in configversion.Configuration) []instruction.Order {
	return instruction.Plan(in.Document, in.Version, r.backend(), r.engineState)
}

// setDesired takes the model from the version in force. When it asks for other
// weights, those fetched are forgotten and the store is asked at a time drawn
// anew.
func (r *Reconciler) setDesired(in configversion.Configuration) {
	goal, _ := in.Document.Model(r.Model)
	same := goal.Version == r.desired.Version && slices.Equal(goal.Adapters, r.desired.Adapters)
	r.desired = goal
	if same {
		return
	}
	r.loadAt = firstLoadAt(goal.Replicas, time.Now())
	clear(r.fetched)
}

// refresh finds out what the engine has been given, and opens the fence if it is
// not open.
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
	// The deadline counts from before the question, so that a process paused
	// after the answer finds the fence shut.
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

// needsConfirmation reports whether an order of this process could set the
// engine back unless every accepted version is known. An engine that checks
// numbers refuses such an order itself, after which the process has to learn
// the newer version; one that has nothing loaded has nothing to go back from.
func (r *Reconciler) needsConfirmation(reported bool) bool {
	empty := reported && r.engineState.Model == "" && r.engineState.Role == ""
	return r.fenced || !r.ChecksFencing && !empty
}

func (r *Reconciler) confirm(ctx context.Context, until time.Time) error {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	return errors.Wrap(r.Configuration.Confirm(ctx), "learn the versions that the engine can have been given")
}

// inspect asks the engine for its state, and reports whether it tells. Without
// an answer of its own the state stays what its orders have made of it.
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

// setReported takes the state that the engine reports. An engine that ignores numbers
// does not report one; the number that it was given stays known here.
func (r *Reconciler) setReported(state engine.State) {
	given := r.engineState.Number
	if r.ChecksFencing {
		given = state.Fence
		r.fence.Raise(state.Fence)
	}
	if state.Model == "" && r.engineState.Model != "" {
		clear(r.fetched)
	}
	r.engineState = instruction.State{
		Number:   given,
		Model:    state.Model,
		Version:  state.Version,
		Adapters: slices.Clone(state.Adapters),
		Role:     state.Role,
	}
}
