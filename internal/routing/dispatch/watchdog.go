package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoProgress is the cause of a path that was cut for its silence.
var errNoProgress = errors.New("no frame came before the progress deadline")

// watchdog cuts a path on which nothing comes before the progress deadline.
type watchdog struct {
	runner *Runner
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withWatchdog returns a context that ends with errNoProgress when the path is
// silent. The caller calls stop.
func (r *Runner) withWatchdog(ctx context.Context) (context.Context, *watchdog) {
	ctx, cut := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(r.progressDeadline()), func() { cut(errNoProgress) })
	return ctx, &watchdog{runner: r, timer: timer, cancel: cut}
}

// extend moves the progress deadline on.
func (w *watchdog) extend() {
	w.timer.Reset(time.Until(w.runner.progressDeadline()))
}

// stop ends the watch and the context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
