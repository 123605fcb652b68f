// Package placementqueue orders the requests of one entry host that wait for an engine
// with enough free memory. In each pass every request is tried, in the order of its
// rank, so that a small request does not wait behind a large one that nothing has
// room for. The package does no I/O.
package placementqueue

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
)

const (
	// passMillis is the least pause between two passes. It grows by triedMillis for each
	// request that the pass has tried, so that many waiting requests leave the processor
	// time of a small host to the streams that it forwards.
	passMillis  = 15
	triedMillis = 1
	// maxPauseMillis is the longest pause between two passes. What holds requests back may
	// also end without a change of load.
	maxPauseMillis = 100
)

// Rank orders requests. It is immutable.
type Rank struct {
	// Account and Route are the priorities of client account and route; zero is the
	// most urgent. The account's outweighs the route's.
	Account int
	Route   int
	// AimAt is the time by which the first event of the request should come.
	AimAt boottime.Instant
}

// Compare returns a negative number if r comes before other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(
		cmp.Compare(r.Account, other.Account),
		cmp.Compare(r.Route, other.Route),
		cmp.Compare(r.AimAt, other.AimAt),
	)
}

// Queue holds the waiting requests. Its methods are safe for concurrent use. The zero
// value is ready to use; Run must run for the requests to be tried again.
type Queue struct {
	mu sync.Mutex
	// waiting holds the requests in the order of their ranks.
	waiting []*waiter
	// wake says that a pass is due.
	wake signal.Signal
}

// waiter is one waiting request.
type waiter struct {
	rank Rank
	// try places the request, or returns false when nothing has room for it. It must
	// not block.
	try func() bool
	// placed is closed when try has returned true.
	placed chan struct{}
}

// Wait tries to place a request until try returns true or ctx ends. It reports whether
// the request was placed. A request that finds others waiting is tried in the next pass,
// after those that come before it.
func (q *Queue) Wait(ctx context.Context, rank Rank, try func() bool) bool {
	w := &waiter{rank: rank, try: try, placed: make(chan struct{})}
	if q.insert(w) == 1 {
		q.Pass()
	}
	q.Signal()
	select {
	case <-w.placed:
		return true
	case <-ctx.Done():
		return !q.remove(w)
	}
}

// insert adds a request and returns the number of requests that now wait.
func (q *Queue) insert(w *waiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waiter) int {
		// A later request of the same rank comes after the earlier ones.
		return cmp.Or(a.rank.Compare(b.rank), -1)
	})
	q.waiting = slices.Insert(q.waiting, at, w)
	return len(q.waiting)
}

// remove removes a waiting request. It returns false when the request was placed
// before.
func (q *Queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Pass tries all waiting requests once and returns their number.
func (q *Queue) Pass() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	tried := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if !w.try() {
			return false
		}
		close(w.placed)
		return true
	})
	return tried
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Signal says that the load of an engine has changed.
func (q *Queue) Signal() {
	if q.Length() > 0 {
		q.wake.Set()
	}
}

// Run makes a pass after each signal, and now and then while requests wait, until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	for {
		// due is nil while nothing waits.
		var due <-chan time.Time
		if q.Length() > 0 {
			due = time.After(maxPauseMillis * time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake.C():
		case <-due:
		}
		if tried := q.Pass(); tried > 0 {
			boottime.Pause(ctx, passMillis+triedMillis*int64(tried))
		}
	}
}
