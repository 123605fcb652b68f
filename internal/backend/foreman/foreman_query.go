package foreman

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/diary"
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
func (f *Foreman) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// note shows the state reached.
func (f *Foreman) note() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.ModelVersion = f.reached.Version
	f.status.Role = f.reached.Role
	f.status.OrderedVersion = f.reached.Number
}

// report shows why an order waits, and logs each cause once.
func (f *Foreman) report(ctx context.Context, err error) {
	if errors.Is(err, errSuperseded) || ctx.Err() != nil {
		return
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	f.mu.Lock()
	f.status.Waiting = cause
	f.mu.Unlock()
	kind := causeKind(err)
	if kind == f.cause {
		return
	}
	f.cause = kind
	log := diary.For(f.Log, diary.Foreman)
	if err == nil {
		log.Info("engine is as ordered")
		return
	}
	log.Warn("order waits", "Cause", err)
}
