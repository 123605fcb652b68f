// Package background runs tasks that continue after the call that submitted them has
// returned.
package background

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group runs each submitted task in its own goroutine.
type Group struct {
	// Backlog is the number of submitted tasks that may wait to be started. It must
	// be set before Prepare.
	Backlog int

	tasks chan func(context.Context)
}

// Prepare initialises the group. It must be called once, before Submit and Run.
func (g *Group) Prepare() {
	g.tasks = make(chan func(context.Context), g.Backlog)
}

// Submit queues a task. It blocks while the backlog is full.
func (g *Group) Submit(task func(context.Context)) {
	g.tasks <- task
}

// Run starts submitted tasks until ctx ends, and returns when all started tasks have
// returned. The tasks receive ctx.
func (g *Group) Run(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case task := <-g.tasks:
			group.Go(func() error {
				task(ctx)
				return nil
			})
		}
	}
}
