package lifecycle

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Part is one long-running part of a process. It returns when ctx ends.
type Part func(ctx context.Context) error

// unsentMillis is the maximum time for which the servers of a process send answers after
// its other parts have ended.
const unsentMillis = 2000

// unsentPollMillis is the period at which unsent answers are counted.
const unsentPollMillis = 10

// Program runs the parts of a process and drains it when the lifecycle's drain begins.
// Its fields must be set before Run.
type Program struct {
	Life Lifecycle
	Log  *slog.Logger
	// DrainSeconds limits the drain. Zero means no limit: the drain waits for all
	// requests.
	DrainSeconds int
	// StopAdmission stops the admission of new work and notifies the platform. The
	// drain ends at endsAt, which is zero if it has no limit.
	StopAdmission func(ctx context.Context, endsAt time.Time)
	// Open returns the number of requests that have not ended.
	Open func() int
	// Servers are the parts over which other processes get answers. They end after
	// the other parts, so that the results of the requests that these cut are sent.
	Servers []Part
	// Unsent returns the number of answers that the servers have not sent. Nil means
	// that the servers end as soon as the other parts have.
	Unsent func() int
}

// Run runs the parts until the drain has ended, Abort ends, or a part fails.
func (p Program) Run(parts ...Part) error {
	serving, stop := context.WithCancel(context.WithoutCancel(p.Life.Abort))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	working, stopWork := context.WithCancel(p.Life.Abort)
	defer stopWork()
	defer context.AfterFunc(serving, stopWork)()
	for _, server := range p.Servers {
		group.Go(func() error { return server(serving) })
	}
	group.Go(func() error {
		defer stop()
		defer p.awaitSent(serving)
		return p.work(working, parts)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// work runs the parts other than servers until the drain has ended, ctx ends, or a part
// fails.
func (p Program) work(ctx context.Context, parts []Part) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range parts {
		group.Go(func() error { return part(ctx) })
	}
	group.Go(func() error {
		defer stop()
		return p.drain(ctx)
	})
	return group.Wait()
}

// drain waits until the lifecycle's drain begins, stops the admission of new work and
// waits for the open requests.
func (p Program) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.Life.Drain.Done():
	}
	endsAt := p.Life.drainDeadline(p.DrainSeconds)
	p.stopAdmission(ctx, endsAt)
	p.Log.Info("draining", "Open", p.Open())
	open := p.Life.AwaitIdle(p.Open, endsAt)
	if open > 0 {
		p.Log.Warn("aborting open requests after the drain deadline or a second signal", "Open", open)
		return nil
	}
	p.Log.Info("drained")
	return nil
}

// stopAdmission calls StopAdmission with a context that ends with the drain.
func (p Program) stopAdmission(ctx context.Context, endsAt time.Time) {
	if !endsAt.IsZero() {
		bounded, stop := context.WithDeadline(ctx, endsAt)
		defer stop()
		ctx = bounded
	}
	p.StopAdmission(ctx, endsAt)
}

// awaitSent waits a bounded time until no answer is unsent.
func (p Program) awaitSent(serving context.Context) {
	if p.Unsent == nil {
		return
	}
	deadline := time.Now().Add(unsentMillis * time.Millisecond)
	ticker := time.NewTicker(unsentPollMillis * time.Millisecond)
	defer ticker.Stop()
	for p.Unsent() > 0 && time.Now().Before(deadline) && serving.Err() == nil {
		<-ticker.C
	}
}
