package lifecycle

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Part is one long-running part of a process. It returns when ctx ends.
type Part func(ctx context.Context) error

// Program runs the parts of a process and drains it when the lifecycle's drain begins.
// Its fields must be set before Run.
type Program struct {
	Life Lifecycle
	Log  *slog.Logger
	// DrainSeconds limits the drain. Zero means no limit: the drain waits for all
	// requests.
	DrainSeconds int
	// StopAdmission stops the admission of new work and notifies the platform.
	StopAdmission func(ctx context.Context)
	// Open returns the number of requests that have not ended.
	Open func() int
}

// Run runs the parts until the drain has ended, Abort ends, or a part fails.
func (p Program) Run(parts ...Part) error {
	ctx, stop := context.WithCancel(p.Life.Abort)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range parts {
		group.Go(func() error { return part(ctx) })
	}
	group.Go(func() error {
		defer stop()
		return p.drain(ctx)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain waits until the lifecycle's drain begins, stops the admission of new work and
// waits for the open requests.
func (p Program) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.Life.Drain.Done():
	}
	p.StopAdmission(ctx)
	p.Log.Info("draining", "Open", p.Open())
	open := p.Life.AwaitIdle(p.Open, drainDeadline(p.DrainSeconds))
	if open > 0 {
		p.Log.Warn("aborting open requests after the drain deadline or a second signal", "Open", open)
		return nil
	}
	p.Log.Info("drained")
	return nil
}
