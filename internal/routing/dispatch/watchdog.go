package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoProgress is the cancellation cause of a path without frames.
var errNoProgress = errors.New("no frame came before the progress deadline")

// watchdog cancels the context of a path on which no frame arrives before the
// progress deadline.
type watchdog struct {
	runner *Runner
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withWatchdog returns a context that is cancelled with errNoProgress when no
// frame arrives before the progress deadline. The caller must call stop.
func (r *Runner) withWatchdog(ctx context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(r.progressDeadline()), func() { cancel(errNoProgress) })
	return ctx, &watchdog{runner: r, timer: timer, cancel: cancel}
}

// extend resets the progress deadline after a frame.
func (w *watchdog) extend() {
	w.timer.Reset(time.Until(w.runner.progressDeadline()))
}

// stop stops the timer and cancels the context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
