package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Reload carries the hang-up signals of a process from its start on, so that one
// that comes before the process is ready neither ends it nor is lost.
type Reload struct {
	signals chan os.Signal
}

// CatchReload catches hang-up signals until Stop.
func CatchReload() *Reload {
	r := &Reload{signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// Stop catches no further signals.
func (r *Reload) Stop() {
	signal.Stop(r.signals)
}

// Run calls reload for the signals that came and come, until ctx ends.
func (r *Reload) Run(ctx context.Context, reload func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			reload()
		}
	}
}
