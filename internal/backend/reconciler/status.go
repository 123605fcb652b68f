package reconciler

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

// Status is what operators see of the orders.
type Status struct {
	// ModelVersion is the version of the model that the engine has loaded.
	ModelVersion string
	// Role is the engine's role.
	Role string
	// OrderedVersion is the highest version of the operator file of which the
	// engine has taken an order, as far as this process knows.
	OrderedVersion uint64
	// Waiting says why an order has not been carried out; empty when none
	// waits.
	Waiting string
}

// Status returns what is known of the orders.
func (r *Reconciler) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// updateStatus shows the state reached.
func (r *Reconciler) updateStatus() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.ModelVersion = r.engineState.Version
	r.status.Role = r.engineState.Role
	r.status.OrderedVersion = r.engineState.Number
}

// report shows why an order waits, and logs each cause once.
func (r *Reconciler) report(ctx context.Context, err error) {
	if errors.Is(err, errSuperseded) || ctx.Err() != nil {
		return
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	r.mu.Lock()
	r.status.Waiting = cause
	r.mu.Unlock()
	kind := causeKind(err)
	if kind == r.cause {
		return
	}
	r.cause = kind
	log := logging.For(r.Log, logging.Foreman)
	if err == nil {
		log.Info("engine is as ordered")
		return
	}
	log.Warn("order waits", "Cause", err)
}
