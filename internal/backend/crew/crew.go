// Package crew runs tasks that outlive the calls that brought them.
package crew

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Crew runs submitted tasks, each in a goroutine of its group.
type Crew struct {
	// Backlog bounds the tasks that were submitted and not yet started; set
	// before Prepare.
	Backlog int

	tasks chan func(context.Context)
}

// Prepare makes the crew ready for Submit. It is called once.
func (c *Crew) Prepare() {
	c.tasks = make(chan func(context.Context), c.Backlog)
}

// Submit hands over a task. It waits while the backlog is full.
func (c *Crew) Submit(task func(context.Context)) {
	c.tasks <- task
}

// Run starts tasks until ctx ends, and returns when all have returned. Their
// context ends with ctx.
func (c *Crew) Run(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case task := <-c.tasks:
			group.Go(func() error {
				task(ctx)
				return nil
			})
		}
	}
}
