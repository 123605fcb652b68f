package foreman

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/edition"
)

// pursue carries out the plan of the version in force. It ends early with
// errSuperseded when changed is closed, but not in the middle of fetching weights
// that the next version needs as well.
func (f *Foreman) pursue(ctx context.Context, changed <-chan struct{}) error {
	if err := f.learn(ctx); err != nil {
		return err
	}
	in, found := f.Configuration.Edition()
	if !found {
		return nil
	}
	f.fence.Raise(in.Version)
	f.adoptGoal(in)
	for _, order := range f.plan(in) {
		if err := f.carryOut(ctx, changed, order); err != nil {
			return err
		}
	}
	return nil
}

func (f *Foreman) backend() instruction.Backend {
	b := instruction.Backend{Model: f.Model, Rank: instruction.RankUnknown}
	if f.Rank != nil {
		b.Rank = f.Rank()
	}
	return b
}

// plan returns the orders that a version leaves to be sent.
func (f *Foreman) plan(in edition.Edition) []instruction.Order {
	return instruction.Plan(in.Document, in.Version, f.backend(), f.reached)
}

// adoptGoal takes the model from the version in force. When it asks for other
// weights, those fetched are forgotten and the store is asked at a time drawn
// anew.
func (f *Foreman) adoptGoal(in edition.Edition) {
	goal, _ := in.Document.Model(f.Model)
	same := goal.Version == f.goal.Version && slices.Equal(goal.Adapters, f.goal.Adapters)
	f.goal = goal
	if same {
		return
	}
	f.spreadAt = firstAt(goal.Replicas, time.Now())
	clear(f.fetched)
}

// learn finds out what the engine has been given, and opens the fence if it is
// not open.
func (f *Foreman) learn(ctx context.Context) error {
	if !f.repeatAt.IsZero() && !time.Now().Before(f.repeatAt) {
		f.repeatAt = time.Time{}
		f.reached = instruction.Reached{}
	}
	reported, err := f.inspect(ctx)
	if err != nil {
		return err
	}
	f.note()
	if f.fence.Open() && !f.fenced {
		return nil
	}
	// The deadline counts from before the question, so that a process paused
	// after the answer finds the fence shut.
	until := time.Now().Add(confirmMillis * time.Millisecond)
	if f.needsConfirmation(reported) {
		if err := f.confirm(ctx, until); err != nil {
			return err
		}
	}
	f.fenced = false
	f.fence.Trust(until)
	return nil
}

// needsConfirmation reports whether an order of this process could set the
// engine back unless every accepted version is known. An engine that checks
// numbers refuses such an order itself, after which the process has to learn
// the newer version; one that has nothing loaded has nothing to go back from.
func (f *Foreman) needsConfirmation(reported bool) bool {
	empty := reported && f.reached.Model == "" && f.reached.Role == ""
	return f.fenced || !f.ChecksFencing && !empty
}

func (f *Foreman) confirm(ctx context.Context, until time.Time) error {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	return errors.Wrap(f.Configuration.Confirm(ctx), "learn the versions that the engine can have been given")
}

// inspect asks the engine for its state, and reports whether it tells. Without
// an answer of its own the state stays what its orders have made of it.
func (f *Foreman) inspect(ctx context.Context) (bool, error) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
	defer stop()
	state, err := f.Engine.State(ctx)
	if errors.Is(err, engine.ErrNoState) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "ask the engine for its state")
	}
	f.adopt(state)
	return true, nil
}

// adopt takes the state that the engine reports. An engine that ignores numbers
// does not report one; the number that it was given stays known here.
func (f *Foreman) adopt(state engine.State) {
	given := f.reached.Number
	if f.ChecksFencing {
		given = state.Fence
		f.fence.Raise(state.Fence)
	}
	if state.Model == "" && f.reached.Model != "" {
		clear(f.fetched)
	}
	f.reached = instruction.Reached{
		Number:   given,
		Model:    state.Model,
		Version:  state.Version,
		Adapters: slices.Clone(state.Adapters),
		Role:     state.Role,
	}
}
