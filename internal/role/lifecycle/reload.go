package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// Reload receives the hang-up signals of a process. It is created at the start of the
// process, so that a signal that arrives before the process is ready neither ends the
// process nor is lost.
type Reload struct {
	signals chan os.Signal
}

// CatchReload returns a Reload that catches hang-up signals until Stop is called.
func CatchReload() *Reload {
	r := &Reload{signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// Stop stops catching hang-up signals.
func (r *Reload) Stop() {
	signal.Stop(r.signals)
}

// Run calls reload for each caught signal until ctx ends, including signals that were
// caught before the call. Signals that arrive in quick succession may be combined. Run does
// not wait for a call that lasts longer than ctx, as the read of a file may hang.
func (r *Reload) Run(ctx context.Context, reload func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
		}
		reloaded := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			defer close(reloaded)
			reload()
			return nil
		})
		select {
		case <-ctx.Done():
			return nil
		case <-reloaded:
		}
	}
}
