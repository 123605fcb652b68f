package reconciler

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
)

// loadMillis is the timeout of one load from the weight store.
const loadMillis = 600_000

// fetch makes the weight store load the weights that the engine needs for an order.
// It retries until that has succeeded, or until the version in force no longer needs
// the weights. Other changes of the operator file do not interrupt it.
func (r *Reconciler) fetch(ctx context.Context, order instruction.Order) error {
	needed, ok := order.Weights()
	if _, done := r.fetched[needed]; !ok || done || r.Store == nil {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	ended := make(chan struct{})
	group.Go(func() error { return r.watch(ctx, ended, needed) })
	group.Go(func() error {
		defer close(ended)
		return r.loadUntilDone(ctx, needed)
	})
	if err := group.Wait(); err != nil {
		return err
	}
	r.fetched[needed] = struct{}{}
	return nil
}

// watch fails with errSuperseded as soon as the version in force does not need the
// weights. It returns nil when the load has ended. The goroutine that runs work waits
// for watch meanwhile, so that watch may read the fields that belong to that
// goroutine.
func (r *Reconciler) watch(ctx context.Context, ended <-chan struct{}, needed instruction.Weights) error {
	for {
		changed := r.Configuration.Changed()
		if !r.needs(needed) {
			return errSuperseded
		}
		select {
		case <-changed:
		case <-ended:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// needs reports whether the plan of the version in force needs the weights.
func (r *Reconciler) needs(needed instruction.Weights) bool {
	configuration, found := r.Configuration.Latest()
	if !found {
		return false
	}
	return slices.ContainsFunc(r.plan(configuration), func(order instruction.Order) bool {
		w, ok := order.Weights()
		return ok && w == needed
	})
}

// loadUntilDone requests the weights from the store until a request succeeds. It
// sends no request before loadAt.
func (r *Reconciler) loadUntilDone(ctx context.Context, needed instruction.Weights) error {
	if err := waitUntil(ctx, nil, r.loadAt); err != nil {
		return err
	}
	pace := pacing{replicas: r.desired.Replicas}
	for {
		err := r.load(ctx, needed)
		if err == nil || ctx.Err() != nil {
			return err
		}
		r.report(ctx, err)
		if err := waitUntil(ctx, nil, pace.retryAt(err, time.Now())); err != nil {
			return err
		}
	}
}

// load requests the weights from the store once.
func (r *Reconciler) load(ctx context.Context, needed instruction.Weights) error {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(loadMillis*time.Millisecond))
	defer stop()
	return r.Store.Load(ctx, needed.Name, needed.Version)
}
