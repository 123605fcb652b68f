// Package background runs tasks that continue after the call that submitted them has
// returned.
package background

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// ErrEnded is the cancellation cause of the contexts of a group when its Run ends.
var ErrEnded = errors.New("process ends")

// Group runs each submitted task in its own goroutine.
type Group struct {
	// Backlog is the number of submitted tasks that may wait to be started. It must
	// be set before Prepare.
	Backlog int

	tasks chan func(context.Context)
	// running is the context of the tasks. It ends when Run does.
	running context.Context //nolint:containedctx // its lifetime is that of the group
	end     context.CancelCauseFunc
}

// Prepare initialises the group. It must be called once, before Submit and Run.
func (g *Group) Prepare() {
	g.tasks = make(chan func(context.Context), g.Backlog)
	g.running, g.end = context.WithCancelCause(context.Background())
}

// Bind returns a context that ends with ctx, or with the cause ErrEnded when Run ends. The
// caller must call the returned function.
func (g *Group) Bind(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(g.running, func() { cancel(ErrEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// Submit queues a task. It blocks while the backlog is full. After the end of Run it runs the task itself,
// with the ended context.
func (g *Group) Submit(task func(context.Context)) {
	g.tasks <- task
	if g.running.Err() != nil {
		g.startWaiting(func(task func(context.Context)) { task(g.running) })
	}
}

// Run starts submitted tasks until ctx ends, and returns when all submitted tasks have
// returned. The context of the tasks then ends with the cause ErrEnded. Tasks that are
// still waiting are run with the ended context, so that each reports its result.
func (g *Group) Run(ctx context.Context) error {
	var group errgroup.Group
	start := func(task func(context.Context)) {
		group.Go(func() error {
			task(g.running)
			return nil
		})
	}
	for {
		select {
		case <-ctx.Done():
			g.end(ErrEnded)
			g.startWaiting(start)
			return group.Wait()
		case task := <-g.tasks:
			start(task)
		}
	}
}

// startWaiting starts the tasks that wait in the backlog.
func (g *Group) startWaiting(start func(func(context.Context))) {
	for {
		select {
		case task := <-g.tasks:
			start(task)
		default:
			return
		}
	}
}
