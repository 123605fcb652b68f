package reconciler

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
)

// causeKind returns a short name of the kind of an error, so that report can recognise
// a repeated failure. The name is empty if err is nil.
func causeKind(err error) string {
	if err == nil {
		return ""
	}
	var throttled *weights.ThrottledError
	if errors.As(err, &throttled) {
		return "throttled"
	}
	known := []error{
		errBusy,
		instruction.ErrExpired,
		instruction.ErrStaleNumber,
		engine.ErrFenced,
		engine.ErrRefused,
		engine.ErrBroken,
		weights.ErrUnknownWeights,
		weights.ErrUnavailable,
	}
	for _, k := range known {
		if errors.Is(err, k) {
			return k.Error()
		}
	}
	return err.Error()
}
