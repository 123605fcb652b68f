// Package background runs tasks that outlive the calls that brought them.
package background

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group runs submitted tasks, each in a goroutine of its group.
type Group struct {
	// Backlog bounds the tasks that were submitted and not yet started; set
	// before Prepare.
	Backlog int

	tasks chan func(context.Context)
}

// Prepare makes the group ready for Submit. It is called once.
func (g *Group) Prepare() {
	g.tasks = make(chan func(context.Context), g.Backlog)
}

// Submit hands over a task. It waits while the backlog is full.
func (g *Group) Submit(task func(context.Context)) {
	g.tasks <- task
}

// Run starts tasks until ctx ends, and returns when all have returned. Their
// context ends with ctx.
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
