package reconciler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

// carryOut fetches the weights that one order needs and sends the order.
func (r *Reconciler) carryOut(ctx context.Context, changed <-chan struct{}, order instruction.Order) error {
	if err := r.fetch(ctx, order); err != nil {
		return err
	}
	if r.wouldInterrupt(order) {
		return errBusy
	}
	select {
	case <-changed:
		return errSuperseded
	default:
	}
	if err := r.send(ctx, order); err != nil {
		return err
	}
	r.engineState = r.engineState.With(order)
	r.updateStatus()
	o := wireOrder(order)
	logging.For(r.Log, logging.Foreman).Info("engine accepted an order",
		"Kind", o.Kind, "Target", o.Target, "Version", o.Version, "Number", o.Fence)
	return nil
}

// wouldInterrupt reports whether an order could interrupt open requests.
func (r *Reconciler) wouldInterrupt(order instruction.Order) bool {
	change, ok := order.Action.(instruction.ChangeRole)
	if !ok || change.Role == r.engineState.Role || change.Role != instruction.RoleStandby {
		return false
	}
	return r.Open != nil && r.Open() > 0
}

// send sends one order through the fence. It does not stop when another version comes
// into force, so that the outcome of the order becomes known.
func (r *Reconciler) send(ctx context.Context, order instruction.Order) error {
	if configuration, found := r.Configuration.Latest(); found {
		r.fence.Raise(configuration.Version)
	}
	err := r.fence.Send(order, func(order instruction.Order) error {
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
		defer stop()
		return r.Engine.Order(ctx, wireOrder(order))
	})
	if errors.Is(err, engine.ErrBroken) {
		r.replanAt = time.Now().Add(settleMillis * time.Millisecond)
	}
	r.fenced = r.fenced || errors.Is(err, engine.ErrFenced)
	return errors.Wrap(err, "send order")
}

// wireOrder converts an order to the form that the engine's client sends.
func wireOrder(order instruction.Order) engine.Order {
	out := engine.Order{Fence: order.Number}
	switch a := order.Action.(type) {
	case instruction.LoadModel:
		out.Kind = engine.LoadModel
		out.Target = a.Model
		out.Version = a.Version
	case instruction.LoadVersion:
		out.Kind = engine.LoadVersion
		out.Target = a.Model
		out.Version = a.Version
	case instruction.LoadAdapter:
		out.Kind = engine.LoadAdapter
		out.Target = a.Adapter
		out.Version = a.Version
	case instruction.ChangeRole:
		out.Kind = engine.ChangeRole
		out.Target = a.Role
	}
	return out
}
