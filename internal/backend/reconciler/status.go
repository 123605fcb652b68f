package reconciler

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

// Status is the status of the orders that operators see.
type Status struct {
	// ModelVersion is the version of the model that the engine has loaded.
	ModelVersion string
	// Role is the engine's role.
	Role string
	// OrderedVersion is the highest known version of the operator file from which
	// the engine has accepted an order.
	OrderedVersion uint64
	// Waiting is the text of the error because of which an order has not been
	// carried out. It is empty if no order is pending.
	Waiting string
}

// Status returns the current status.
func (r *Reconciler) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// updateStatus copies the known state of the engine to the status.
func (r *Reconciler) updateStatus() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.ModelVersion = r.engineState.Version
	r.status.Role = r.engineState.Role
	r.status.OrderedVersion = r.engineState.Number
}

// report records why an order is pending, and logs a cause when it differs from the
// last one.
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
		log.Info("engine has carried out all orders")
		return
	}
	log.Warn("order is pending", "Cause", err)
}
