package watch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
)

// statePauseMillis is the least pause between two statements of one kind.
const statePauseMillis = 5

// repeatStatements calls state after each change, and again after as many milliseconds as it returns,
// if that is not zero, until ctx ends.
func repeatStatements(ctx context.Context, changed *signal.Signal, state func() int64) {
	// repeat is nil while there is nothing to repeat.
	var repeat <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed.C():
		case <-repeat:
		}
		repeat = nil
		if millis := state(); millis > 0 {
			repeat = time.After(time.Duration(millis) * time.Millisecond)
		}
		boottime.Pause(ctx, statePauseMillis)
	}
}
